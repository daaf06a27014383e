#include "soak/store_drill.h"

#include <algorithm>
#include <utility>

namespace briarpoint::soak {

using std::chrono::milliseconds;

namespace {

/// Time in which hosts and the operator write again, as the platform specifies.
constexpr duration WriteAgainPeriod = milliseconds(2000);
/// Combined with the seed, so that the other faults of a run don't depend on the drills.
constexpr std::uint64_t SeedSalt = 0x6472'696c'6cULL;

} // namespace

store_drill::store_drill(standins::platform_server &Store, std::uint64_t Seed, std::size_t Parts,
                         actions Actions)
    : Store(Store), Random(Seed ^ SeedSalt), Parts(Parts), Actions(std::move(Actions)) {}

void store_drill::start(instant Now) { NextPhaseAt = Now + milliseconds(300 + Random.below(1200)); }

void store_drill::step(instant Now, bool MayKeepCopy, bool MayStart) {
  for (std::size_t I = 0; I < WrittenAgainAt.size(); ++I)
    if (Phase == phase::WritingAgain && Now >= WrittenAgainAt[I]) {
      WrittenAgainAt[I] = Never;
      Actions.WriteAgain(I);
    }
  if (Now < NextPhaseAt)
    return;
  switch (Phase) {
  case phase::Idle:
    if (!MayKeepCopy)
      return;
    Quiet = Random.below(2) == 0;
    Store.keepCopy();
    Actions.WriteAfterCopy(Random);
    Phase = phase::CopyKept;
    NextPhaseAt = Now + milliseconds(3000 + Random.below(1500));
    break;
  case phase::CopyKept:
    if (!MayStart)
      return;
    BeganAt = Now;
    ++Count;
    ReturnedAt = Never;
    Store.setAway(true);
    Actions.OnAway();
    Phase = phase::Unavailable;
    NextPhaseAt = Now + milliseconds(300 + Random.below(1000));
    break;
  case phase::Unavailable:
    Store.comeBackFromCopy();
    Store.setAway(false);
    ReturnedAt = Now;
    Actions.CutConnections();
    WrittenAgainAt.clear();
    for (std::size_t I = 0; I < Parts; ++I)
      WrittenAgainAt.push_back(
          Now + milliseconds(Random.below(static_cast<std::uint64_t>(
                    std::chrono::duration_cast<milliseconds>(WriteAgainPeriod).count()))));
    Phase = phase::WritingAgain;
    NextPhaseAt = Now + WriteAgainPeriod;
    break;
  case phase::WritingAgain:
    Phase = phase::Idle;
    NextPhaseAt = Now + milliseconds(2000 + Random.below(6000));
  }
}

} // namespace briarpoint::soak
