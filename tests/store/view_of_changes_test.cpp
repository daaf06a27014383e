#include "base/seeded_random.h"
#include "forwarder/watch_settings.h"
#include "simulated_store.h"
#include "store/object_watcher.h"
#include "store/store_revision_reader.h"

#include <gtest/gtest.h>

#include <array>
#include <optional>

namespace briarpoint {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Time limits that a platform states.
struct platform_case {
  const char *Name;
  /// Time limit after which a change in the store must be known.
  duration ChangeTime;
  /// Time limit after which changes must be known once all failures have ended.
  duration ContactTime;
  /// Time limit of an evacuation; zero if evacuations aren't watched.
  duration EvacuationTime{};
};

/// Records the revision of the last reported change.
class view final : public object_listener {
public:
  void onList(const std::vector<stored_object> &Objects, const store_position &) override {
    for (const stored_object &Object : Objects)
      LastRevision = Object.Revision;
  }
  void onChanges(const std::vector<object_change> &Changes, const store_position &) override {
    for (const object_change &Change : Changes)
      LastRevision = Change.Object.Revision;
  }
  void onContactChanged(bool, call_outcome) override {}
  void onEraRose(instant) override {}
  std::uint64_t LastRevision = 0;
};

class ignored_calls final : public call_listener {
public:
  void onCallSent(const store_call &) override {}
  void onCallEnded(const store_call &, call_outcome, std::uint64_t, std::size_t) override {}
  void onCallDropped(const store_call &) override {}
  void onCheckEnded(const store_position &, const watch_answer &) override {}
};

/// Makes every random delay as long as possible.
class longest_delays final : public random_source {
public:
  std::uint64_t next() override { return ~std::uint64_t{0}; }
};

/// A forwarder's two or three watchers and its reader of the store's revision, each with its own
/// connection.
class watching_process {
public:
  watching_process(simulated_clock &Clock, simulated_store &Store,
                   const forwarder_settings &Settings, random_source &Random)
      : RevisionConnection(Clock, Store, simulated_connection::CallTimeout),
        RevisionScheduler(Clock), GroupScheduler(Clock),
        Revisions("config", revisionTimes(Settings).MinCallInterval, RevisionConnection, Era,
                  RevisionScheduler),
        Group(revisionTimes(Settings).Interval, Revisions, Era, GroupScheduler, Random),
        Targets(Clock, Store, "servers", registrationWatchSettings(Settings), Group, Random),
        Routes(Clock, Store, "config", configurationWatchSettings(Settings), Group, Random) {
    Targets.Watcher.start();
    Routes.Watcher.start();
    if (Settings.EvacuationTime == duration::zero())
      return;
    Evacuations.emplace(Clock, Store, "evacuations", evacuationWatchSettings(Settings), Group,
                        Random);
    Evacuations->Watcher.start();
  }

  struct watch {
    watch(simulated_clock &Clock, simulated_store &Store, const std::string &Kind,
          const object_watcher_settings &Settings, watch_group &Group, random_source &Random)
        : Connection(Clock, Store), Scheduler(Clock),
          Watcher(Kind, Settings, Connection, View, Calls, Group, Scheduler, Random) {}
    simulated_connection Connection;
    simulated_scheduler Scheduler;
    view View;
    ignored_calls Calls;
    object_watcher Watcher;
  };

  simulated_connection RevisionConnection;
  simulated_scheduler RevisionScheduler;
  simulated_scheduler GroupScheduler;
  store_era Era;
  store_revision_reader Revisions;
  watch_group Group;
  watch Targets;
  watch Routes;
  std::optional<watch> Evacuations;

  /// Calls \p Run with each connection to the store.
  template <typename T> void forEachConnection(T &&Run) {
    Run(Targets.Connection);
    Run(Routes.Connection);
    if (Evacuations)
      Run(Evacuations->Connection);
    Run(RevisionConnection);
  }
};

/// A store with one target and one configuration, and a process that watches them.
class view_of_changes : public testing::TestWithParam<platform_case> {
protected:
  view_of_changes() {
    Settings.DrainTime = Settings.ConfigurationTime = ChangeTime;
    Settings.ContactTime = ContactTime;
    Settings.EvacuationTime = GetParam().EvacuationTime;
    reset();
  }

  /// Starts again with a new store and a process that has watched for 8 s.
  void reset() {
    Process = nullptr;
    Clock.reset();
    Processes.clear();
    Clock = std::make_unique<simulated_clock>();
    Store = std::make_unique<simulated_store>(*Clock);
    changeAll();
    advance(seconds(10));
    start();
    advance(seconds(8));
  }
  void start() {
    Processes.push_back(std::make_unique<watching_process>(*Clock, *Store, Settings, Random));
    Process = Processes.back().get();
  }
  void advance(duration Time) { Clock->runUntil(Clock->now() + Time); }
  void changeAll() {
    Store->write("servers");
    Store->write("config");
    if (Settings.EvacuationTime != duration::zero())
      Store->write("evacuations");
  }
  /// One of the kinds wasn't read yet, so the process forwards nothing.
  bool hasUnreadKind() const {
    return Process->Targets.View.LastRevision == 0 || Process->Routes.View.LastRevision == 0 ||
           (Process->Evacuations && Process->Evacuations->View.LastRevision == 0);
  }
  bool isCurrent() const {
    return Process->Targets.View.LastRevision == Store->lastChange("servers") &&
           Process->Routes.View.LastRevision == Store->lastChange("config") &&
           (!Process->Evacuations ||
            Process->Evacuations->View.LastRevision == Store->lastChange("evacuations"));
  }

  /// Returns whether everything was reported that the store had at the time as of which the view of
  /// a kind is proven complete.
  bool isProofTrue(const std::string &Kind, const watching_process::watch &Watch) const {
    return Store->lastChange(Kind, Watch.Watcher.upToDateAt()) <= Watch.View.LastRevision;
  }
  bool areProofsTrue() const {
    return isProofTrue("servers", Process->Targets) && isProofTrue("config", Process->Routes) &&
           (!Process->Evacuations || isProofTrue("evacuations", *Process->Evacuations));
  }
  /// Advances in small steps, and expects that each proof is true.
  void advanceAndCheckProofs(duration Time) {
    for (const instant End = Clock->now() + Time; Clock->now() < End;) {
      advance(milliseconds(10));
      ASSERT_TRUE(areProofsTrue()) << Clock->now().time_since_epoch().count();
    }
  }

  const duration ChangeTime = GetParam().ChangeTime;
  const duration ContactTime = GetParam().ContactTime;
  forwarder_settings Settings;
  longest_delays Random;
  std::unique_ptr<simulated_clock> Clock;
  std::unique_ptr<simulated_store> Store;
  /// All processes, because actions of the clock refer to them. The last one is tested.
  std::vector<std::unique_ptr<watching_process>> Processes;
  watching_process *Process = nullptr;
};

// Guards against changes that are reported later than the change time allows.
TEST_P(view_of_changes, isCurrentSoonAfterEachChange) {
  for (int I = 0; I < 20; ++I) {
    changeAll();
    advance(milliseconds(150 * I));
    changeAll();
    advance(ChangeTime);
    EXPECT_TRUE(isCurrent()) << I;
  }
}

class view_after_a_silent_store : public view_of_changes {};

// Guards against waiting for the answer to a watch that the store never received.
TEST_P(view_after_a_silent_store, isCurrentWheneverTheWatchWasSent) {
  for (duration Offset{}; Offset < seconds(2); Offset += milliseconds(5)) {
    reset();
    changeAll();
    advance(Offset);
    Store->setSilent(true);
    advance(seconds(3));
    Store->setSilent(false);
    advance(ContactTime);
    changeAll();
    advance(ChangeTime);
    EXPECT_TRUE(isCurrent()) << Offset.count();
  }
}

// Guards against a retry delay after unanswered calls that exceeds the contact time.
TEST_P(view_after_a_silent_store, isCurrentHoweverLongTheSilenceLasted) {
  for (duration Length = milliseconds(500); Length < seconds(20); Length += milliseconds(50)) {
    reset();
    changeAll();
    advance(seconds(1));
    changeAll();
    Store->setSilent(true);
    advance(Length);
    Store->setSilent(false);
    advance(ContactTime);
    EXPECT_TRUE(isCurrent()) << Length.count();
  }
}

// Guards against outdated data in a process that started while the store was silent.
TEST_P(view_after_a_silent_store, isCurrentOrIncompleteWheneverTheProcessStarted) {
  for (duration Length = milliseconds(5); Length < seconds(10); Length += milliseconds(50)) {
    reset();
    Store->setSilent(true);
    start();
    advance(Length);
    Store->setSilent(false);
    advance(ContactTime);
    EXPECT_TRUE(isCurrent() || hasUnreadKind()) << Length.count();
  }
}

class view_during_loss_of_history : public view_of_changes {
protected:
  /// The store loses its history within LossTime. Stale reads are 6 s behind from the moment when
  /// watches are cut.
  void loseHistory() {
    Clock->after(milliseconds(0), [this] { Store->withholdChanges(); });
    Clock->after(milliseconds(600), [this] { changeAll(); });
    Clock->after(milliseconds(1200), [this] {
      Store->cutWatches();
      Store->setStaleLag(seconds(6));
    });
    Clock->after(milliseconds(1260), [this] { Store->dropHistory(); });
  }
  static constexpr duration LossTime = milliseconds(1260);
};

// Guards against a watch from the revision of a stale list that waits although the store has
// dropped the changes after that revision.
TEST_P(view_during_loss_of_history, isCurrentWheneverTheProcessStarts) {
  for (duration Offset{}; Offset < seconds(2); Offset += milliseconds(5)) {
    reset();
    loseHistory();
    advance(Offset);
    start();
    advance(std::max(Offset, LossTime) - Offset + ContactTime);
    EXPECT_TRUE(isCurrent()) << Offset.count();
  }
}

// Guards against the same failure of a watch that starts after a pause for batching changes.
TEST_P(view_during_loss_of_history, isCurrentWheneverAChangeCameBefore) {
  for (duration Offset{}; Offset < seconds(2); Offset += milliseconds(5)) {
    reset();
    changeAll();
    advance(Offset);
    loseHistory();
    advance(LossTime + ContactTime);
    EXPECT_TRUE(isCurrent()) << Offset.count();
  }
}

// Guards against waiting for the answer to a list that the store never received.
TEST_P(view_during_loss_of_history, isCurrentIfTheStoreGoesSilentAfterwards) {
  for (duration Offset{}; Offset < seconds(1); Offset += milliseconds(5)) {
    reset();
    loseHistory();
    advance(LossTime + Offset);
    Store->setSilent(true);
    advance(milliseconds(500));
    changeAll();
    Store->setSilent(false);
    advance(ContactTime);
    EXPECT_TRUE(isCurrent()) << Offset.count();
  }
}

class view_after_a_cut : public view_of_changes {
protected:
  void setCut(bool IsCut) {
    Process->forEachConnection([&](auto &Connection) { Connection.setCut(IsCut); });
  }
};

// Guards against a retry delay after failed connections that exceeds the contact time.
TEST_P(view_after_a_cut, isCurrentHoweverLongItLasted) {
  for (duration Length = seconds(1); Length < seconds(20); Length += milliseconds(50)) {
    reset();
    setCut(true);
    advance(Length);
    changeAll();
    setCut(false);
    advance(ContactTime);
    EXPECT_TRUE(isCurrent()) << Length.count();
  }
}

// Guards against a dead connection that is detected too late because its last call was sent late.
TEST_P(view_after_a_cut, isCurrentAfterConnectionsWentSilent) {
  for (duration Offset{}; Offset < seconds(2); Offset += milliseconds(20)) {
    reset();
    changeAll();
    advance(Offset);
    Process->forEachConnection([](auto &Connection) { Connection.silence(); });
    changeAll();
    advance(ContactTime);
    EXPECT_TRUE(isCurrent()) << Offset.count();
  }
}

class view_after_lost_answers : public view_of_changes {};

// Guards against an answer that is lost on a connection that stays open.
TEST_P(view_after_lost_answers, isCurrentWheneverTheyWereLost) {
  for (duration Length = milliseconds(50); Length < seconds(8); Length += milliseconds(50)) {
    reset();
    Process->forEachConnection([](auto &Connection) { Connection.setAnswersLost(true); });
    advance(Length / 2);
    changeAll();
    advance(Length / 2);
    Process->forEachConnection([](auto &Connection) { Connection.setAnswersLost(false); });
    advance(ContactTime);
    EXPECT_TRUE(isCurrent()) << Length.count();
  }
}

class view_from_stale_reads : public view_of_changes {};

// Guards against a stale watch that reports a change too late, because stale reads are behind.
TEST_P(view_from_stale_reads, isCurrentHoweverFarTheyAreBehind) {
  for (duration Lag = milliseconds(100); Lag < seconds(20); Lag += milliseconds(100)) {
    reset();
    Store->setStaleLag(Lag);
    advance(milliseconds(700));
    changeAll();
    advance(ChangeTime);
    EXPECT_TRUE(isCurrent()) << Lag.count();
    changeAll();
    advance(ChangeTime);
    EXPECT_TRUE(isCurrent()) << Lag.count();
  }
}

// Guards against the same failure of a process that starts from a stale list.
TEST_P(view_from_stale_reads, isCurrentSoonAfterTheProcessStarts) {
  for (duration Lag = milliseconds(100); Lag < seconds(20); Lag += milliseconds(100)) {
    reset();
    Store->setStaleLag(Lag);
    changeAll();
    start();
    advance(ChangeTime);
    EXPECT_TRUE(isCurrent()) << Lag.count();
  }
}

// Guards against a watch that is restarted again and again at a replica that is behind, while
// checks reach another one that has the changes.
TEST_P(view_from_stale_reads, isCurrentIfReplicasAreOfDifferentAge) {
  for (duration Offset{}; Offset < seconds(4); Offset += milliseconds(50)) {
    reset();
    Store->setReplicaLags({duration::zero(), seconds(20)});
    for (int I = 0; I < 4; ++I) {
      advance(Offset);
      changeAll();
      advance(ChangeTime);
      EXPECT_TRUE(isCurrent()) << Offset.count() << " " << I;
    }
  }
}

class proof_of_a_view : public view_of_changes {
protected:
  /// Changes some kinds at random times, and requests the store's revision as a packet of a flow
  /// does that needs a proof.
  void changeAtRandom(std::uint64_t Seed) {
    seeded_random Times(Seed);
    for (int I = 0; I < 12; ++I) {
      for (const char *Kind : {"servers", "config", "evacuations"})
        if (Times.below(2) == 0)
          Store->write(Kind);
      ASSERT_NO_FATAL_FAILURE(advanceAndCheckProofs(milliseconds(10 * Times.below(60))));
      Process->Group.readRevision();
      ASSERT_NO_FATAL_FAILURE(advanceAndCheckProofs(milliseconds(10 * Times.below(60))));
    }
  }
};

// Guards against resets of open flows by a false proof that the routes or targets are current: a
// check had shown a change that the watch hadn't reported (review, case 6).
TEST_P(proof_of_a_view, isTrueIfReplicasAreOfDifferentAge) {
  for (std::uint64_t Seed = 1; Seed <= 60; ++Seed) {
    SCOPED_TRACE(Seed);
    reset();
    Store->setReplicaLags({duration::zero(), milliseconds(50 * Seed), milliseconds(3000)});
    ASSERT_NO_FATAL_FAILURE(changeAtRandom(Seed));
  }
}

// Guards against the same after a linearizable watch whose answer has only the first changes.
TEST_P(proof_of_a_view, isTrueIfAnswersEndEarly) {
  for (std::uint64_t Seed = 1; Seed <= 60; ++Seed) {
    SCOPED_TRACE(Seed);
    reset();
    Store->setMaxChanges(2);
    Store->setReplicaLags({duration::zero(), milliseconds(50 * Seed)});
    for (int I = 0; I < 6; ++I)
      Clock->after(milliseconds(10 * Seed * I), [this] {
        for (int Change = 0; Change < 3; ++Change)
          changeAll();
        Process->Targets.Watcher.refresh();
      });
    ASSERT_NO_FATAL_FAILURE(changeAtRandom(Seed));
  }
}

// Guards against the same of a process that has just started from stale lists.
TEST_P(proof_of_a_view, isTrueAfterAStart) {
  for (std::uint64_t Seed = 1; Seed <= 60; ++Seed) {
    SCOPED_TRACE(Seed);
    reset();
    Store->setReplicaLags({milliseconds(1500), duration::zero(), milliseconds(50 * Seed)});
    changeAll();
    advance(milliseconds(20 * Seed));
    start();
    ASSERT_NO_FATAL_FAILURE(changeAtRandom(Seed));
  }
}

// Guards against the same after watches were cut and the store has dropped its history.
TEST_P(proof_of_a_view, isTrueAfterALossOfHistory) {
  for (std::uint64_t Seed = 1; Seed <= 60; ++Seed) {
    SCOPED_TRACE(Seed);
    reset();
    Store->setReplicaLags({duration::zero(), milliseconds(50 * Seed)});
    Clock->after(milliseconds(50 * Seed), [this] { Store->cutWatches(); });
    Clock->after(milliseconds(50 * Seed + 60), [this] { Store->dropHistory(); });
    ASSERT_NO_FATAL_FAILURE(changeAtRandom(Seed));
  }
}

// Guards against the same after connections went silent and answers were lost.
TEST_P(proof_of_a_view, isTrueAfterFailedConnections) {
  for (std::uint64_t Seed = 1; Seed <= 60; ++Seed) {
    SCOPED_TRACE(Seed);
    reset();
    Store->setReplicaLags({duration::zero(), milliseconds(50 * Seed)});
    Clock->after(milliseconds(50 * Seed), [this] { Process->Routes.Connection.silence(); });
    Clock->after(milliseconds(30 * Seed), [this] { Process->Targets.Connection.setCut(true); });
    Clock->after(milliseconds(60 * Seed), [this] { Process->Targets.Connection.setCut(false); });
    ASSERT_NO_FATAL_FAILURE(changeAtRandom(Seed));
  }
}

// Guards against the same across a return of the store from an older copy.
TEST_P(proof_of_a_view, isTrueAfterAReturn) {
  for (std::uint64_t Seed = 1; Seed <= 60; ++Seed) {
    SCOPED_TRACE(Seed);
    reset();
    Store->setReplicaLags({duration::zero(), milliseconds(50 * Seed)});
    const instant CopiedAt = Clock->now();
    Clock->after(milliseconds(50 * Seed), [this, CopiedAt] { Store->comeBackFromCopy(CopiedAt); });
    ASSERT_NO_FATAL_FAILURE(changeAtRandom(Seed));
  }
}

class view_after_refusals : public view_of_changes {};

// Guards against a retry delay after refused calls that exceeds the contact time.
TEST_P(view_after_refusals, isCurrentHoweverLongTheyLasted) {
  for (duration Length{}; Length < seconds(10); Length += milliseconds(50)) {
    reset();
    Store->setRefusing(true);
    advance(Length);
    Store->setRefusing(false);
    changeAll();
    advance(ContactTime);
    EXPECT_TRUE(isCurrent()) << Length.count();
  }
}

/// The store is unavailable for a moment and comes back from a copy, with the writes since the copy
/// lost.
class view_after_a_return : public view_of_changes {
protected:
  /// \p Age is that of the copy, \p Away the time for which the store refuses calls.
  void comeBack(duration Age, duration Away) {
    const instant CopiedAt = Clock->now();
    advance(Age / 2);
    changeAll();
    advance(Age / 2);
    Store->setRefusing(true);
    advance(Away);
    Store->comeBackFromCopy(CopiedAt);
    Store->setRefusing(false);
  }
};

// Guards against a process that keeps the state of the era before, or misses what is written again:
// the revisions go back and are given out again, possibly up to the same number.
TEST_P(view_after_a_return, isCurrentWhateverTheAgeOfTheCopy) {
  for (duration Age = milliseconds(100); Age < seconds(8); Age += milliseconds(100))
    for (const duration Away : {milliseconds(10), milliseconds(700)}) {
      reset();
      comeBack(Age, Away);
      advance(ContactTime);
      EXPECT_EQ(Process->Era.current(), 1U) << Age.count();
      EXPECT_TRUE(isCurrent()) << Age.count();
      changeAll();
      advance(ChangeTime);
      EXPECT_TRUE(isCurrent()) << Age.count();
    }
}

// Guards against what is written again at once, so that the store's revision is the same as before.
TEST_P(view_after_a_return, isCurrentIfTheRevisionIsReachedAgain) {
  for (duration Age = milliseconds(100); Age < seconds(4); Age += milliseconds(100)) {
    reset();
    comeBack(Age, milliseconds(500));
    changeAll();
    advance(ContactTime);
    EXPECT_TRUE(isCurrent()) << Age.count();
    EXPECT_EQ(Process->Era.current(), 1U) << Age.count();
  }
}

// Guards against resets by proof of a state that lacks what is still to be written again, and
// against a view that never counts as current again.
TEST_P(view_after_a_return, isProvenOnlyAfterTheRecoveryTime) {
  comeBack(seconds(1), milliseconds(500));
  while (Process->Era.current() == 0)
    advance(milliseconds(10));
  const instant RoseAt = Clock->now();
  for (duration Time{}; Time < seconds(5); Time += milliseconds(100)) {
    EXPECT_LT(Process->Routes.Watcher.upToDateAt(), RoseAt);
    if (Time < seconds(2)) {
      EXPECT_LT(Process->Targets.Watcher.upToDateAt(), RoseAt);
    }
    advance(milliseconds(100));
  }
  advance(ContactTime + seconds(1));
  EXPECT_GE(Process->Routes.Watcher.upToDateAt(), RoseAt + seconds(5));
  EXPECT_GE(Process->Targets.Watcher.upToDateAt(), RoseAt + seconds(2));
}

/// Time limits of the small, the grown and the large sites, and of a small one with evacuations.
constexpr platform_case Platforms[] = {{"small", seconds(3), seconds(4)},
                                       {"evacuating", seconds(3), seconds(4), seconds(3)},
                                       {"grown", seconds(5), seconds(5)},
                                       {"large", seconds(6), seconds(6)}};
std::string nameOf(const testing::TestParamInfo<platform_case> &Info) { return Info.param.Name; }

INSTANTIATE_TEST_SUITE_P(platform, view_of_changes, testing::ValuesIn(Platforms), nameOf);
INSTANTIATE_TEST_SUITE_P(platform, view_after_a_silent_store, testing::ValuesIn(Platforms), nameOf);
INSTANTIATE_TEST_SUITE_P(platform, view_during_loss_of_history, testing::ValuesIn(Platforms),
                         nameOf);
INSTANTIATE_TEST_SUITE_P(platform, view_after_a_cut, testing::ValuesIn(Platforms), nameOf);
INSTANTIATE_TEST_SUITE_P(platform, view_after_lost_answers, testing::ValuesIn(Platforms), nameOf);
INSTANTIATE_TEST_SUITE_P(platform, view_from_stale_reads, testing::ValuesIn(Platforms), nameOf);
INSTANTIATE_TEST_SUITE_P(platform, proof_of_a_view, testing::ValuesIn(Platforms), nameOf);
INSTANTIATE_TEST_SUITE_P(platform, view_after_a_return, testing::ValuesIn(Platforms), nameOf);
INSTANTIATE_TEST_SUITE_P(platform, view_after_refusals, testing::ValuesIn(Platforms), nameOf);

} // namespace
} // namespace briarpoint
