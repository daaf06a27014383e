#include "soak/history_loss.h"

namespace briarpoint::soak {

using std::chrono::milliseconds;

namespace {

/// Lengths of the phases on the users' platform.
constexpr duration MutedTime = milliseconds(1200);
constexpr duration CutTime = milliseconds(60);
/// Mixed into the seed, so that the other faults of a seed don't depend on the losses of history.
constexpr std::uint64_t SeedMix = 0x6869'7374'6f72'79ULL;

} // namespace

history_loss::history_loss(standins::platform_server &Store, std::uint64_t Seed,
                           std::function<void(random_source &)> OnCut)
    : Store(Store), Random(Seed ^ SeedMix), OnCut(std::move(OnCut)) {}

void history_loss::start(instant Now) { NextPhase = Now + milliseconds(2000 + Random.below(6000)); }

void history_loss::step(instant Now, bool MayBegin) {
  if (Now < NextPhase)
    return;
  switch (Phase) {
  case phase::Kept:
    if (!MayBegin)
      return;
    Store.withholdWatchEvents();
    Phase = phase::Muted;
    NextPhase = Now + MutedTime;
    break;
  case phase::Muted:
    Store.setStaleReads(true);
    OnCut(Random);
    Phase = phase::Cut;
    NextPhase = Now + CutTime;
    break;
  case phase::Cut:
    Store.dropHistory();
    Phase = phase::Dropped;
    NextPhase = Now + milliseconds(1000 + Random.below(3000));
    break;
  case phase::Dropped:
    Store.setStaleReads(false);
    Phase = phase::Kept;
    NextPhase = Now + milliseconds(Random.below(8000));
  }
}

} // namespace briarpoint::soak
