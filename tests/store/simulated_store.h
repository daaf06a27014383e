#ifndef BRIARPOINT_TESTS_STORE_SIMULATED_STORE_H
#define BRIARPOINT_TESTS_STORE_SIMULATED_STORE_H

#include "store/object_api.h"
#include "store/scheduler.h"

#include <map>
#include <string>
#include <vector>

namespace briarpoint {

/// Simulated time. Actions run when their time is reached.
class simulated_clock {
public:
  instant now() const { return Now; }
  void at(instant Time, std::function<void()> Action) { Actions.emplace(Time, std::move(Action)); }
  void after(duration Delay, std::function<void()> Action) { at(Now + Delay, std::move(Action)); }
  /// Advances to \p Time and runs the actions that are due until then.
  void runUntil(instant Time);

private:
  instant Now{std::chrono::seconds(100)};
  std::multimap<instant, std::function<void()>> Actions;
};

class simulated_scheduler final : public scheduler {
public:
  explicit simulated_scheduler(simulated_clock &Clock) : Clock(Clock) {}
  instant now() override { return Clock.now(); }
  void runAt(instant Time, std::function<void()> NewAction) override;

private:
  simulated_clock &Clock;
  std::uint64_t Current = 0;
};

class simulated_connection;

/// The platform's store, with the failures that it may have. Each kind of objects has one object,
/// and a write changes it.
class simulated_store {
public:
  explicit simulated_store(simulated_clock &Clock) : Clock(Clock) {}

  /// Changes the object of a kind and answers the watches that wait for it.
  void write(const std::string &Kind);
  /// Revision of the last change of a kind before \p Before.
  std::uint64_t lastChange(const std::string &Kind, instant Before = Never) const;

  /// While the store is silent, connections stay open, but calls that arrive are never answered.
  void setSilent(bool IsSilent) { Silent = IsSilent; }
  void setRefusing(bool IsRefusing) { Refusing = IsRefusing; }
  /// Age of the data of stale reads.
  void setStaleLag(duration Lag) { ReplicaLags = {Lag}; }
  /// Maximum number of changes in an answer to a watch. A longer answer ends after that many, with
  /// the revision of the last one.
  void setMaxChanges(std::size_t Count) { MaxChanges = Count; }
  /// Stale reads go to replicas with data of these ages, in turn.
  void setReplicaLags(std::vector<duration> Lags) { ReplicaLags = std::move(Lags); }

  /// The three phases in which the platform's store drops its history: watches report no changes;
  /// waiting watches are cut; the changes written before are gone. A watch that is sent between the
  /// last two continues to wait and is refused at the next change of its kind.
  void withholdChanges();
  void cutWatches();
  void dropHistory();

  /// Comes back from a copy of the state at \p CopiedAt, with an era higher by one: later changes
  /// are lost, and their revisions are given out again. Waiting watches are cut.
  void comeBackFromCopy(instant CopiedAt);
  std::uint64_t era() const { return Era; }

private:
  friend class simulated_connection;

  struct change {
    std::string Kind;
    std::uint64_t Revision = 0;
    instant At{};
  };
  /// Number of a replica, or Leader.
  using replica = std::size_t;
  static constexpr replica Leader = ~replica{0};

  struct waiting_watch {
    simulated_connection *Connection = nullptr;
    std::uint64_t Call = 0;
    std::string Kind;
    std::uint64_t Revision = 0;
    replica Replica = Leader;
  };

  /// Returns the replica that answers the next call with \p Consistency.
  replica chooseReplica(read_consistency Consistency);
  /// Returns the changes that a replica has.
  std::vector<object_change> changesAfter(const std::string &Kind, std::uint64_t Revision,
                                          replica Replica) const;
  /// Returns the answer of a replica with these changes.
  watch_answer answerWith(std::vector<object_change> Found, replica Replica) const;
  std::uint64_t revisionOf(replica Replica) const;
  bool isVisible(const change &Change, replica Replica) const;
  /// Answers the waiting watches that see a change of their kind.
  void answerWatches();
  list_answer list(const std::string &Kind, read_consistency Consistency);
  /// Answers a stale watch that doesn't wait.
  watch_answer check(const std::string &Kind, std::uint64_t After);
  /// Answers the watch at once if there are changes or no history; otherwise it waits.
  void receiveWatch(const waiting_watch &Watch);
  void answerWatch(const waiting_watch &Watch) const;
  void endWait(const simulated_connection &Connection, std::uint64_t Call);

  simulated_clock &Clock;
  std::vector<change> Changes;
  std::vector<waiting_watch> Watches;
  std::uint64_t Revision = 1;
  std::uint64_t HistoryBegin = 0;
  std::uint64_t Era = 0;
  /// Revision that watches report while their changes are withheld.
  std::uint64_t WithheldAtRevision = 0;
  bool ChangesWithheld = false;
  bool Silent = false;
  bool Refusing = false;
  std::vector<duration> ReplicaLags{duration::zero()};
  std::size_t MaxChanges = ~std::size_t{0};
  /// Number of stale calls so far.
  std::size_t StaleCalls = 0;
};

/// A connection to the store over a path that may be cut or go silent.
class simulated_connection final : public object_api {
public:
  /// Latency of one direction between the process and the store.
  static constexpr duration Latency = std::chrono::milliseconds(5);
  /// Time limits of the real connection: for connecting, for an answer to a call that does not
  /// wait, for a list, and for a peer that doesn't acknowledge.
  static constexpr duration ConnectTimeout = std::chrono::milliseconds(1000);
  static constexpr duration CallTimeout = std::chrono::milliseconds(1500);
  static constexpr duration ListTimeout = std::chrono::milliseconds(5000);
  static constexpr duration DeadPeerTimeout = std::chrono::milliseconds(3000);

  /// \p ListLimit is the time limit of lists.
  simulated_connection(simulated_clock &Clock, simulated_store &Store,
                       duration ListLimit = ListTimeout)
      : Clock(Clock), Store(Store), ListLimit(ListLimit) {}

  /// Cuts or restores the path. An open connection ends if the path is still cut after
  /// DeadPeerTimeout.
  void setCut(bool IsCut);
  /// While answers are lost, the connection stays open.
  void setAnswersLost(bool AreLost) { AnswersLost = AreLost; }
  /// The open connection transports nothing any more; a new one works.
  void silence();

  void list(const std::string &Kind, const std::string &After, read_consistency Consistency,
            std::function<void(list_answer)> Done) override;
  void watch(const std::string &Kind, std::uint64_t Revision, duration Wait,
             read_consistency Consistency, std::function<void(watch_answer)> Done) override;
  void check(const std::string &Kind, std::uint64_t Revision,
             std::function<void(watch_answer)> Done) override;
  std::size_t receivedBytes() const override { return 0; }
  void cancel() override;

private:
  friend class simulated_store;

  /// Starts a call: runs \p Arrive when it reaches the store, and \p Fail if it has not ended after
  /// \p Limit.
  void start(duration Limit, std::function<void()> Arrive, std::function<void()> Fail);
  void fail(std::uint64_t Call);
  /// Delivers an answer unless the call has ended.
  void deliver(std::uint64_t Call, std::function<void()> Answer);
  void deliverWatch(std::uint64_t Call, watch_answer Answer);

  simulated_clock &Clock;
  simulated_store &Store;
  duration ListLimit;
  /// Number of the call in progress; 0 if there is none.
  std::uint64_t Current = 0;
  std::uint64_t Calls = 0;
  std::function<void()> Fail;
  std::function<void(watch_answer)> WatchDone;
  /// Number of the last check; the answer to an earlier one is dropped.
  std::uint64_t Checks = 0;
  bool Connected = false;
  bool Cut = false;
  bool AnswersLost = false;
  bool Silent = false;
};

} // namespace briarpoint

#endif // BRIARPOINT_TESTS_STORE_SIMULATED_STORE_H
