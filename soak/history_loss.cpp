#include "soak/history_loss.h"

namespace briarpoint::soak {

using std::chrono::milliseconds;

namespace {

/// Durations of the phases on the users' platform.
constexpr duration WithheldPeriod = milliseconds(1200);
constexpr duration CutPeriod = milliseconds(60);
/// Combined with the seed, so that the other faults of a run don't depend on the losses of history.
constexpr std::uint64_t SeedSalt = 0x6869'7374'6f72'79ULL;

} // namespace

history_loss::history_loss(standins::platform_server &Store, std::uint64_t Seed,
                           std::function<void(random_source &)> OnConnectionsCut)
    : Store(Store), Random(Seed ^ SeedSalt), OnConnectionsCut(std::move(OnConnectionsCut)) {}

void history_loss::start(instant Now) {
  NextPhaseAt = Now + milliseconds(2000 + Random.below(6000));
}

void history_loss::step(instant Now, bool MayStart) {
  if (Now < NextPhaseAt)
    return;
  switch (Phase) {
  case phase::Available:
    if (!MayStart)
      return;
    Store.withholdWatchEvents();
    Phase = phase::EventsWithheld;
    NextPhaseAt = Now + WithheldPeriod;
    break;
  case phase::EventsWithheld:
    Store.setStaleReads(true);
    OnConnectionsCut(Random);
    Phase = phase::ConnectionsCut;
    NextPhaseAt = Now + CutPeriod;
    break;
  case phase::ConnectionsCut:
    Store.dropHistory();
    Phase = phase::HistoryDiscarded;
    NextPhaseAt = Now + milliseconds(1000 + Random.below(3000));
    break;
  case phase::HistoryDiscarded:
    Store.setStaleReads(false);
    Phase = phase::Available;
    NextPhaseAt = Now + milliseconds(Random.below(8000));
  }
}

} // namespace briarpoint::soak
