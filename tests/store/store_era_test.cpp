#include "store/store_era.h"

#include "store/recovering_names.h"
#include "watcher_support.h"

#include <gtest/gtest.h>

namespace briarpoint {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class rise_recorder final : public era_listener {
public:
  void onEraRose(std::uint64_t Previous, std::uint64_t Era) override {
    Rises.emplace_back(Previous, Era);
  }
  void onRemoteRise(instant RoseAt) override { Reported.push_back(RoseAt); }
  std::vector<std::pair<std::uint64_t, std::uint64_t>> Rises;
  std::vector<instant> Reported;
};

// Guards against a comparison of revisions of different eras, which are given out again.
TEST(store_positions, areOrderedByEraFirst) {
  EXPECT_LT((store_position{0, 900}), (store_position{1, 5}));
  EXPECT_LT((store_position{1, 5}), (store_position{1, 6}));
}

// Guards against a recovery time of each process that starts in a higher era, and against one in
// deployments that have no eras.
TEST(the_era_of_a_store, doesNotRiseWithTheFirstAnswer) {
  for (const std::uint64_t First : {0U, 7U}) {
    store_era Era;
    rise_recorder Recorder;
    Era.join(Recorder);
    EXPECT_EQ(Era.observe(First), era_observation::Current);
    EXPECT_EQ(Era.observe(First), era_observation::Current);
    EXPECT_TRUE(Recorder.Rises.empty());
    EXPECT_EQ(Era.current(), First);
  }
}

// Guards against a rise that is missed or reported twice, and a late answer that counts.
TEST(the_era_of_a_store, risesOnceAndNeverFalls) {
  store_era Era;
  rise_recorder Recorder;
  Era.join(Recorder);
  Era.observe(3);
  EXPECT_EQ(Era.observe(4), era_observation::Rose);
  EXPECT_EQ(Era.observe(3), era_observation::Outdated);
  EXPECT_EQ(Era.observe(4), era_observation::Current);
  EXPECT_EQ(Recorder.Rises, (std::vector<std::pair<std::uint64_t, std::uint64_t>>{{3, 4}}));
}

// Guards against a recovery time that begins again with each answer of another process, or after a
// rise that was seen here.
TEST(the_era_of_a_store, countsARiseThatAnotherProcessReportsOnce) {
  store_era Era;
  rise_recorder Recorder;
  Era.join(Recorder);
  const instant RoseAt{seconds(50)};
  Era.observe(3);
  Era.observeRemoteRise(RoseAt);
  Era.observeRemoteRise(RoseAt + seconds(1));
  EXPECT_EQ(Recorder.Reported, std::vector<instant>{RoseAt});
  Era.observe(4);
  Era.observeRemoteRise(RoseAt + seconds(2));
  EXPECT_EQ(Recorder.Reported.size(), 1U);
}

// Guards against resets by a proof of the copy in a process that has started since the return of
// the store (review, case 9).
TEST_F(watching_listed_objects, provesNothingAfterARiseBeforeItsStartIsReported) {
  EXPECT_NE(Watcher.upToDateAt(), instant{});
  const instant RoseAt = Scheduler.Now - seconds(1);
  Era.observeRemoteRise(RoseAt);
  EXPECT_EQ(Listener.Events, std::vector<std::string>{"era rose"});
  EXPECT_EQ(Listener.RecoveryEnd, RoseAt + seconds(2));
  EXPECT_EQ(Watcher.upToDateAt(), instant{});
  Watcher.onRevisionRead(store_position{0, 10}, RoseAt + milliseconds(1999));
  EXPECT_EQ(Watcher.upToDateAt(), instant{});
  Watcher.onRevisionRead(store_position{0, 10}, RoseAt + seconds(2));
  EXPECT_EQ(Watcher.upToDateAt(), RoseAt + seconds(2));
}

// Guards against a recovery time that is over when the rise is reported.
TEST_F(watching_listed_objects, keepsItsProofIfTheRecoveryTimeIsOver) {
  const instant Proven = Watcher.upToDateAt();
  Era.observeRemoteRise(Scheduler.Now - seconds(2));
  EXPECT_TRUE(Listener.Events.empty());
  EXPECT_EQ(Watcher.upToDateAt(), Proven);
}

/// The watch that waited at revision 10 is answered by a store that came back from a copy, at
/// revision 7, while the check of another watcher is not in progress.
class watching_a_store_that_came_back : public watching_listed_objects {
protected:
  watching_a_store_that_came_back() {
    ProvenBefore = Watcher.upToDateAt();
    Scheduler.Now += seconds(1);
    Api.take().Watch({call_outcome::HistoryGone, {}, 0, 1});
  }
  instant ProvenBefore;
};

// Guards against a watcher that keeps the state of the era before, because the revisions of the
// copy are below its own.
TEST_F(watching_a_store_that_came_back, listsAnewAtOnce) {
  EXPECT_EQ(Listener.Events, (std::vector<std::string>{"era rose"}));
  EXPECT_EQ(Scheduler.runNext(), duration::zero());
  ASSERT_TRUE(Api.Calls.front().List);
  EXPECT_EQ(Api.Calls.front().Consistency, read_consistency::Linearizable);
  answerList({object("a")}, 7, false, 1);
  EXPECT_EQ(Listener.Events.back(), "list 1 at 7 of era 1");
  EXPECT_EQ(Watcher.revision(), 7U);
}

// Guards against resets by a proof from the recovery time, in which the store lacks what it lost.
TEST_F(watching_a_store_that_came_back, provesNothingDuringTheRecoveryTime) {
  const instant RoseAt = Scheduler.Now;
  EXPECT_EQ(Listener.RecoveryEnd, RoseAt + seconds(2));
  Scheduler.runNext();
  answerList({object("a")}, 7, false, 1);
  EXPECT_EQ(Watcher.upToDateAt(), ProvenBefore);
  Scheduler.Now = RoseAt + milliseconds(2500);
  // The read was requested during the recovery time.
  Watcher.onRevisionRead(store_position{1, 7}, RoseAt + milliseconds(1999));
  EXPECT_EQ(Watcher.upToDateAt(), ProvenBefore);
  Watcher.onRevisionRead(store_position{1, 7}, RoseAt + seconds(2));
  EXPECT_EQ(Watcher.upToDateAt(), RoseAt + seconds(2));
}

// Guards against state of the era before that an answer brings back, which was on its way during
// the return of the store.
TEST_F(watching_a_store_that_came_back, treatsAnswersOfTheEraBeforeAsFailures) {
  Scheduler.runNext();
  answerList({object("a"), object("b")}, 20, false, 0);
  EXPECT_EQ(Listener.Events.back(), "lost");
  Scheduler.runNext();
  answerList({object("a")}, 7, false, 1);
  EXPECT_EQ(Listener.Events.back(), "list 1 at 7 of era 1");
  Scheduler.runNext();
  answerWatch(1, 21, 0);
  EXPECT_EQ(Listener.Events.back(), "lost");
  EXPECT_EQ(Watcher.revision(), 7U);
}

// Guards against a watcher whose own calls are silent and that learns nothing of the rise that
// another client of the store has seen.
TEST_F(watching_listed_objects, listsAnewIfAnotherClientSeesTheRise) {
  EXPECT_EQ(Era.observe(1), era_observation::Rose);
  EXPECT_EQ(Api.Cancelled, 1);
  EXPECT_EQ(Calls.Lines.back(), "dropped 10");
  EXPECT_EQ(Scheduler.runNext(), duration::zero());
  EXPECT_TRUE(Api.Calls.front().List);
}

// Guards against pages of two eras in one list.
TEST_F(watching_objects, beginsAListAnewIfTheEraRisesBetweenItsPages) {
  answerList({object("a")}, 10, true);
  answerList({object("b")}, 4, false, 1);
  Scheduler.runNext();
  EXPECT_EQ(Api.Calls.front().After, "");
  answerList({object("b")}, 4, false, 1);
  EXPECT_EQ(Listener.Events.back(), "list 1 at 4 of era 1");
}

// Guards against changes of the new era that are reported on top of the state of the one before.
TEST_F(watching_listed_objects, dropsTheChangesThatShowTheRise) {
  answerWatch(2, 12, 1);
  EXPECT_EQ(Listener.Events, (std::vector<std::string>{"era rose"}));
  Scheduler.runNext();
  EXPECT_TRUE(Api.Calls.front().List);
}

// Guards against a revision read that ended before the rise and counts for the new era.
TEST_F(watching_listed_objects, ignoresARevisionOfTheEraBefore) {
  GroupScheduler.runNext();
  Era.observe(1);
  const instant Before = Watcher.upToDateAt();
  Revisions.answer(10, 0);
  EXPECT_EQ(Watcher.upToDateAt(), Before);
}

/// The operator has withdrawn "old" and holds "kept" when the store comes back older.
class names_after_a_return : public testing::Test {
protected:
  names_after_a_return() {
    Names.replaceAll({"old", "kept"}, Now);
    Names.remove("old", Now);
    Names.beginRecovery(End);
  }
  instant Now{seconds(100)};
  instant End = Now + seconds(5);
  recovering_names Names;
};

// Guards against an evacuation that ends, or returns, because the copy is older.
TEST_F(names_after_a_return, stayAsTheyWereDuringTheRecoveryTime) {
  Names.replaceAll({"old"}, Now);
  EXPECT_EQ(Names.all(End - milliseconds(1)), std::set<std::string>{"kept"});
}

// Guards against names that stay for ever although the operator didn't write them again.
TEST_F(names_after_a_return, areThoseOfTheStoreAfterwards) {
  Names.replaceAll({"old"}, Now);
  EXPECT_EQ(Names.all(End), std::set<std::string>{"old"});
}

// Guards against a delay of what operators write in the new era.
TEST_F(names_after_a_return, followChangesOfTheNewEraAtOnce) {
  Names.replaceAll({"old", "new"}, Now);
  EXPECT_TRUE(Names.contains("new", Now));
  Names.remove("kept", Now);
  EXPECT_FALSE(Names.contains("kept", Now));
  Names.add("old");
  EXPECT_TRUE(Names.contains("old", Now));
}

// Guards against a second list of the recovery time that undoes what the first one held back.
TEST_F(names_after_a_return, surviveFurtherLists) {
  Names.replaceAll({"old"}, Now);
  Names.replaceAll({"old"}, Now + seconds(1));
  EXPECT_EQ(Names.all(End - milliseconds(1)), std::set<std::string>{"kept"});
  Names.replaceAll({"kept"}, Now + seconds(2));
  EXPECT_EQ(Names.all(End), std::set<std::string>{"kept"});
}

} // namespace
} // namespace briarpoint
