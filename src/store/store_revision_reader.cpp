#include "store/store_revision_reader.h"

#include <algorithm>
#include <utility>

namespace briarpoint {

namespace {

/// Sorts after the names of all objects, so the answer to a list has no objects. Unlike a watch, a
/// list shows the revision also when the store has dropped its history.
constexpr const char *AfterAllNames = "~";

} // namespace

void store_revision_reader::read(callback Done) {
  Waiting.push_back(std::move(Done));
  if (CallScheduled || !Sharing.empty())
    return;
  CallScheduled = true;
  Scheduler.runAt(std::max(NextCallAt, Scheduler.now()), [this] { send(); });
}

void store_revision_reader::send() {
  CallScheduled = false;
  NextCallAt = Scheduler.now() + MinInterval;
  ++Calls;
  Sharing = std::exchange(Waiting, {});
  Api.list(Kind, AfterAllNames, read_consistency::Linearizable,
           [this](const list_answer &Answer) { finish(Answer); });
}

void store_revision_reader::finish(const list_answer &Answer) {
  std::optional<store_position> Position;
  if (Answer.Outcome == call_outcome::Done && Era.observe(Answer.Era) != era_observation::Outdated)
    Position = Answer.position();
  else
    ++Failures;
  const std::vector<callback> Done = std::exchange(Sharing, {});
  if (!Waiting.empty()) {
    CallScheduled = true;
    Scheduler.runAt(std::max(NextCallAt, Scheduler.now()), [this] { send(); });
  }
  for (const callback &Call : Done)
    Call(Position);
}

} // namespace briarpoint
