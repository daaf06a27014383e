#include "simulated_store.h"

#include <algorithm>
#include <utility>

namespace briarpoint {

void simulated_clock::runUntil(instant Time) {
  while (!Actions.empty() && Actions.begin()->first <= Time) {
    const auto First = Actions.extract(Actions.begin());
    Now = std::max(Now, First.key());
    First.mapped()();
  }
  Now = Time;
}

void simulated_scheduler::runAt(instant Time, std::function<void()> NewAction) {
  const std::uint64_t ActionNumber = ++Current;
  Clock.at(Time, [this, ActionNumber, Action = std::move(NewAction)] {
    if (ActionNumber == Current)
      Action();
  });
}

void simulated_store::write(const std::string &Kind) {
  Changes.push_back({Kind, ++Revision, Clock.now()});
  answerWatches();
  for (const duration Lag : ReplicaLags)
    if (Lag > duration::zero())
      Clock.after(Lag, [this] { answerWatches(); });
}

void simulated_store::answerWatches() {
  if (ChangesWithheld)
    return;
  std::erase_if(Watches, [&](const waiting_watch &Watch) {
    if (changesAfter(Watch.Kind, Watch.Revision, Watch.Replica).empty())
      return false;
    answerWatch(Watch);
    return true;
  });
}

simulated_store::replica simulated_store::chooseReplica(read_consistency Consistency) {
  return Consistency == read_consistency::Linearizable ? Leader : StaleCalls++;
}

bool simulated_store::isVisible(const change &Change, replica Replica) const {
  return Replica == Leader || Change.At + ReplicaLags[Replica % ReplicaLags.size()] <= Clock.now();
}

std::uint64_t simulated_store::revisionOf(replica Replica) const {
  std::uint64_t Result = 1;
  for (const change &Change : Changes)
    if (isVisible(Change, Replica))
      Result = Change.Revision;
  return Result;
}

std::uint64_t simulated_store::lastChange(const std::string &Kind, instant Before) const {
  std::uint64_t Last = 0;
  for (const change &Change : Changes)
    if (Change.Kind == Kind && Change.At < Before)
      Last = Change.Revision;
  return Last;
}

void simulated_store::withholdChanges() {
  ChangesWithheld = true;
  WithheldAtRevision = Revision;
}

void simulated_store::cutWatches() {
  for (const waiting_watch &Watch : std::exchange(Watches, {}))
    Clock.after(simulated_connection::Latency, [Watch] { Watch.Connection->fail(Watch.Call); });
}

void simulated_store::comeBackFromCopy(instant CopiedAt) {
  ++Era;
  std::erase_if(Changes, [&](const change &Change) { return Change.At > CopiedAt; });
  Revision = Changes.empty() ? 1 : Changes.back().Revision;
  HistoryBegin = std::min(HistoryBegin, Revision);
  cutWatches();
}

void simulated_store::dropHistory() {
  ChangesWithheld = false;
  HistoryBegin = Revision;
}

std::vector<object_change>
simulated_store::changesAfter(const std::string &Kind, std::uint64_t After, replica Replica) const {
  std::vector<object_change> Result;
  for (const change &Change : Changes)
    if (Change.Kind == Kind && Change.Revision > After && isVisible(Change, Replica))
      Result.push_back({{"x", 1, Change.Revision, {}}, false});
  return Result;
}

watch_answer simulated_store::answerWith(std::vector<object_change> Found, replica Replica) const {
  if (Found.size() <= MaxChanges)
    return {call_outcome::Done, std::move(Found), revisionOf(Replica), Era};
  Found.resize(MaxChanges);
  const std::uint64_t LastRevision = Found.back().Object.Revision;
  return {call_outcome::Done, std::move(Found), LastRevision, Era};
}

list_answer simulated_store::list(const std::string &Kind, read_consistency Consistency) {
  const replica Replica = chooseReplica(Consistency);
  list_answer Result;
  Result.Outcome = call_outcome::Done;
  Result.Revision = revisionOf(Replica);
  Result.Era = Era;
  for (const change &Change : Changes)
    if (Change.Kind == Kind && isVisible(Change, Replica))
      Result.Objects = {{"x", 1, Change.Revision, {}}};
  return Result;
}

watch_answer simulated_store::check(const std::string &Kind, std::uint64_t After) {
  if (Refusing)
    return {call_outcome::Refused, {}, 0};
  if (After < HistoryBegin || After > Revision)
    return {call_outcome::HistoryGone, {}, 0, Era};
  // While changes are withheld, the answer has the revision of the last one all the same.
  const replica Replica = chooseReplica(read_consistency::Stale);
  if (ChangesWithheld)
    return answerWith({}, Replica);
  return answerWith(changesAfter(Kind, After, Replica), Replica);
}

void simulated_store::receiveWatch(const waiting_watch &Watch) {
  const bool Gone = Watch.Revision < HistoryBegin || Watch.Revision > Revision;
  if (Gone ||
      (!ChangesWithheld && !changesAfter(Watch.Kind, Watch.Revision, Watch.Replica).empty()))
    answerWatch(Watch);
  else
    Watches.push_back(Watch);
}

void simulated_store::answerWatch(const waiting_watch &Watch) const {
  if (Watch.Revision < HistoryBegin || Watch.Revision > Revision)
    Watch.Connection->deliverWatch(Watch.Call, {call_outcome::HistoryGone, {}, 0, Era});
  else
    Watch.Connection->deliverWatch(
        Watch.Call,
        answerWith(changesAfter(Watch.Kind, Watch.Revision, Watch.Replica), Watch.Replica));
}

void simulated_store::endWait(const simulated_connection &Connection, std::uint64_t Call) {
  std::erase_if(Watches, [&](const waiting_watch &Watch) {
    if (Watch.Connection != &Connection || Watch.Call != Call)
      return false;
    const std::uint64_t ReportedRevision =
        ChangesWithheld ? std::max(WithheldAtRevision, Watch.Revision) : revisionOf(Watch.Replica);
    Watch.Connection->deliverWatch(Call, {call_outcome::Done, {}, ReportedRevision, Era});
    return true;
  });
}

void simulated_connection::setCut(bool IsCut) {
  Cut = IsCut;
  if (!Cut)
    return;
  Clock.after(DeadPeerTimeout, [this, Call = Current] {
    if (!Cut)
      return;
    Connected = false;
    fail(Call);
  });
}

void simulated_connection::silence() {
  if (!Connected)
    return;
  Silent = true;
  Clock.after(DeadPeerTimeout, [this, Call = Current] { fail(Call); });
}

void simulated_connection::start(duration Limit, std::function<void()> Arrive,
                                 std::function<void()> NewFail) {
  const std::uint64_t Call = ++Calls;
  Current = Call;
  Fail = std::move(NewFail);
  const bool Opens = !Connected;
  Clock.after(Limit, [this, Call] { fail(Call); });
  if (Silent || Cut) {
    Clock.after(Opens ? ConnectTimeout : DeadPeerTimeout, [this, Call] { fail(Call); });
    return;
  }
  Connected = true;
  Clock.after(Opens ? 3 * Latency : Latency, [this, Call, Arrive = std::move(Arrive)] {
    if (Call != Current || Store.Silent || Cut)
      return;
    if (Store.Refusing)
      deliver(Call, [this] { std::exchange(Fail, nullptr)(); });
    else
      Arrive();
  });
}

void simulated_connection::fail(std::uint64_t Call) {
  if (Call != Current || Current == 0)
    return;
  cancel();
  std::exchange(Fail, nullptr)();
}

void simulated_connection::deliver(std::uint64_t Call, std::function<void()> Answer) {
  Clock.after(Latency, [this, Call, Answer = std::move(Answer)] {
    if (Call != Current || Silent || Cut || AnswersLost)
      return;
    Current = 0;
    Answer();
  });
}

void simulated_connection::deliverWatch(std::uint64_t Call, watch_answer Answer) {
  deliver(Call, [this, Answer = std::move(Answer)] { std::exchange(WatchDone, nullptr)(Answer); });
}

void simulated_connection::list(const std::string &Kind, const std::string &,
                                read_consistency Consistency,
                                std::function<void(list_answer)> Done) {
  start(
      ListLimit,
      [this, Kind, Consistency, Done] {
        deliver(Current, [Answer = Store.list(Kind, Consistency), Done] { Done(Answer); });
      },
      [Done] { Done({}); });
}

void simulated_connection::watch(const std::string &Kind, std::uint64_t Revision, duration Wait,
                                 read_consistency Consistency,
                                 std::function<void(watch_answer)> Done) {
  WatchDone = Done;
  start(
      CallTimeout + Wait,
      [this, Kind, Revision, Wait, Consistency] {
        const std::uint64_t Call = Current;
        Store.receiveWatch({this, Call, Kind, Revision, Store.chooseReplica(Consistency)});
        Clock.after(Wait, [this, Call] { Store.endWait(*this, Call); });
      },
      [Done] { Done({}); });
}

void simulated_connection::check(const std::string &Kind, std::uint64_t Revision,
                                 std::function<void(watch_answer)> Done) {
  const std::uint64_t Check = ++Checks;
  const auto Answer = [this, Check, Done](const watch_answer &Result) {
    if (Check == Checks)
      Done(Result);
  };
  if (Silent || Cut) {
    Clock.after(Silent ? CallTimeout : ConnectTimeout, [Answer] { Answer({}); });
    return;
  }
  Clock.after(2 * Latency, [this, Kind, Revision, Answer] {
    if (Store.Silent || AnswersLost)
      Clock.after(CallTimeout, [Answer] { Answer({}); });
    else
      Clock.after(Latency, [Result = Store.check(Kind, Revision), Answer] { Answer(Result); });
  });
}

void simulated_connection::cancel() {
  ++Checks;
  Current = 0;
  Connected = false;
  Silent = false;
}

} // namespace briarpoint
