#include "watcher_support.h"

namespace briarpoint {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Guards against changes between the pages of a list that are reported by no watch.
TEST_F(watching_objects, readsAllPagesAndWatchesFromTheFirstPage) {
  EXPECT_EQ(Api.Calls.front().Consistency, read_consistency::Stale);
  answerList({object("a"), object("b")}, 10, true);
  EXPECT_EQ(Api.Calls.front().After, "b");
  EXPECT_TRUE(Listener.Events.empty());
  answerList({object("c")}, 14);
  Scheduler.runNext();
  EXPECT_EQ(Api.Calls.front().Revision, 10U);
  EXPECT_EQ(Listener.Events, std::vector<std::string>{"list 3 at 10"});
}

// Guards against missed changes when a later page is older than an earlier one, as stale reads may
// be.
TEST_F(watching_objects, watchesFromTheOldestPage) {
  answerList({object("a")}, 14, true);
  answerList({object("b")}, 10);
  Scheduler.runNext();
  EXPECT_EQ(Api.Calls.front().Revision, 10U);
  EXPECT_EQ(Listener.Events, std::vector<std::string>{"list 2 at 10"});
}

// Guards against a list that never completes while the store is overloaded. Only the page that
// failed is requested again, and the list isn't reported before it is complete.
TEST_F(watching_objects, retriesAPageThatFailed) {
  answerList({object("a")}, 10, true);
  Api.take().List({});
  EXPECT_EQ(Listener.Events, std::vector<std::string>{"lost"});
  Scheduler.runNext();
  EXPECT_EQ(Api.Calls.front().After, "a");
  answerList({object("b")}, 15);
  EXPECT_EQ(Listener.Events, (std::vector<std::string>{"lost", "regained", "list 2 at 10"}));
  Scheduler.runNext();
  EXPECT_EQ(Api.Calls.front().Revision, 10U);
}

// Guards against a long watch from the revision of a stale list while the store drops the history
// after it (incident DRAIN). A check from the same revision follows after ProbeTimeout, and must
// reach the revision that the store had meanwhile.
TEST_F(watching_objects, confirmsThePositionOfAStaleList) {
  answerList({object("a")}, 10);
  Scheduler.runNext();
  EXPECT_GT(Api.Calls.front().Wait, seconds(20));
  Revisions.answer(17);
  EXPECT_FALSE(Api.Check);
  EXPECT_EQ(Scheduler.runNext(), object_watcher_settings().ProbeTimeout);
  EXPECT_EQ(Api.CheckedRevision, 10U);
  Api.Check({call_outcome::Done, {}, 16});
  EXPECT_EQ(Api.Calls.front().Consistency, read_consistency::Linearizable);
  EXPECT_EQ(Api.Calls.front().Revision, 10U);
}

// Guards against a stale list that counts as current although nobody could read the revision.
TEST_F(watching_objects, watchesLinearizablyIfTheRevisionIsUnknown) {
  answerList({object("a")}, 10);
  Scheduler.runNext();
  Revisions.answer(std::nullopt);
  EXPECT_EQ(Api.Calls.front().Consistency, read_consistency::Linearizable);
  EXPECT_LE(Api.Calls.front().Wait, object_watcher_settings().ProbeTimeout);
}

// Guards against a watch that is repeated until the history is gone, because its answer with large
// entries of another writer is refused each time (review, case 14). A list comes in pages.
TEST_F(watching_listed_objects, listsAfterChangesThatAreTooLargeForOneAnswer) {
  failWatch(call_outcome::TooLarge);
  EXPECT_TRUE(Listener.Events.empty());
  EXPECT_EQ(Scheduler.runNext(), duration::zero());
  EXPECT_TRUE(Api.Calls.front().List);
  EXPECT_EQ(Api.Calls.front().Consistency, read_consistency::Linearizable);
  answerList({object("a")}, 12);
  EXPECT_EQ(Listener.Events, std::vector<std::string>{"list 1 at 12"});
}

// Guards against one priced call for each of many changes in a group.
TEST_F(watching_listed_objects, batchesChangesBeforeTheNextWatch) {
  answerWatch(2, 12);
  EXPECT_EQ(Listener.Events, std::vector<std::string>{"changes 2 at 12"});
  EXPECT_TRUE(Api.Calls.empty());
  EXPECT_EQ(Scheduler.runNext(), object_watcher_settings().BatchingDelay);
  EXPECT_EQ(Api.Calls.front().Revision, 12U);
}

// Guards against changes that are held up on a connection that went silent (soak, seed 1). A
// refresh restarts the watch on a new connection, but at most once per RefreshInterval.
TEST_F(watching_listed_objects, restartsTheWatchOnANewConnectionWhenRefreshed) {
  Watcher.refresh();
  EXPECT_EQ(Api.Cancelled, 1);
  ASSERT_EQ(Api.Calls.size(), 1U);
  EXPECT_EQ(Api.Calls.front().Revision, 10U);
  EXPECT_LE(Api.Calls.front().Wait, object_watcher_settings().ProbeTimeout);
  Watcher.refresh();
  EXPECT_EQ(Api.Cancelled, 1);
  Scheduler.Now += seconds(2);
  Watcher.refresh();
  EXPECT_EQ(Api.Cancelled, 2);
  GroupScheduler.Now = Scheduler.Now;
  answerWatch(1, 11);
  ASSERT_EQ(Revisions.Reads.size(), 1U);
  Revisions.answer(11);
  EXPECT_EQ(Watcher.upToDateAt(), GroupScheduler.Now);
}

// Guards against treating an empty answer as proof that no change was missed. While the store drops
// its history, its watches report no changes (soak, seed 14).
TEST_F(watching_listed_objects, listsIfARefreshReportsNothing) {
  Watcher.refresh();
  const instant RefreshedAt = Scheduler.Now;
  Scheduler.Now += milliseconds(300);
  answerWatch(0, 10);
  EXPECT_LT(Watcher.upToDateAt(), RefreshedAt);
  Scheduler.runNext();
  EXPECT_EQ(Api.Calls.front().Consistency, read_consistency::Linearizable);
  const instant SentAt = Scheduler.Now;
  Scheduler.Now += milliseconds(50);
  answerList({object("b")}, 12);
  EXPECT_EQ(Watcher.upToDateAt(), SentAt);
  Scheduler.runNext();
  EXPECT_GT(Api.Calls.front().Wait, seconds(20));
}

// Guards against a list that counts as newer than it is: the store may have read the objects of an
// answer that is delayed, or of the first page, when the call was sent.
TEST_F(watching_listed_objects, isCurrentAsOfTheTimeAtWhichTheFirstPageWasRequested) {
  failWatch(call_outcome::HistoryGone);
  Scheduler.runNext();
  const instant SentAt = Scheduler.Now;
  Scheduler.Now += seconds(1);
  answerList({object("a")}, 12, true);
  Scheduler.Now += seconds(1);
  answerList({object("b")}, 14);
  EXPECT_EQ(Watcher.upToDateAt(), SentAt);
}

// Guards against a proof by a list of which one page was a stale read: the next page came from
// before a return of the store, so the rest was read linearizably.
TEST_F(watching_objects, isNotCurrentByAListWithAStalePage) {
  Era.observe(1);
  answerList({object("a")}, 10, true, 1);
  EXPECT_EQ(Api.Calls.front().Consistency, read_consistency::Stale);
  answerList({object("b")}, 20, false, 0);
  Scheduler.runNext();
  EXPECT_EQ(Api.Calls.front().After, "a");
  EXPECT_EQ(Api.Calls.front().Consistency, read_consistency::Linearizable);
  answerList({object("b")}, 12, false, 1);
  EXPECT_EQ(Watcher.upToDateAt(), instant{});
  // The position after the list is confirmed like that of any stale one.
  Scheduler.runNext();
  ASSERT_EQ(Revisions.Reads.size(), 1U);
  Revisions.answer(12, 1);
  Scheduler.runNext();
  EXPECT_EQ(Api.CheckedRevision, 10U);
}

// Guards against a position, and a proof, by an empty answer to a watch whose position isn't
// confirmed: the store may have dropped the changes after it.
TEST_F(watching_objects, keepsThePositionAfterAnEmptyAnswerUntilItIsConfirmed) {
  answerList({object("a")}, 10);
  Scheduler.runNext();
  answerWatch(0, 12);
  EXPECT_EQ(Watcher.revision(), 10U);
  Revisions.answer(12);
  EXPECT_EQ(Watcher.upToDateAt(), instant{});
  Scheduler.runNext();
  EXPECT_EQ(Api.Calls.front().Revision, 10U);
  EXPECT_EQ(Api.Calls.front().Consistency, read_consistency::Linearizable);
}

// Guards against a delay between two watches, and against a watch from an outdated revision.
TEST_F(watching_listed_objects, watchesAgainAtOnceIfNothingChanged) {
  answerWatch(0, 17);
  EXPECT_EQ(Scheduler.runNext(), duration::zero());
  EXPECT_EQ(Api.Calls.front().Revision, 17U);
  EXPECT_TRUE(Listener.Events.empty());
}

// Guards against reporting a list that is older than what was reported before. After a compaction,
// stale reads are seconds behind, and a version in force must not be replaced by an older one.
TEST_F(watching_listed_objects, listsAgainAndIgnoresAnOlderListWhenTheHistoryIsGone) {
  answerWatch(1, 20);
  Scheduler.runNext();
  failWatch(call_outcome::HistoryGone);
  EXPECT_EQ(Scheduler.runNext(), duration::zero());
  EXPECT_EQ(Api.Calls.front().Consistency, read_consistency::Linearizable);
  answerList({object("old")}, 15);
  Scheduler.runNext();
  EXPECT_EQ(Listener.Events, std::vector<std::string>{"changes 1 at 20"});
  answerList({object("new")}, 25);
  EXPECT_EQ(Listener.Events.back(), "list 1 at 25");
}

// Guards against calls to the store without a delay while it refuses each watch (soak, seed 6).
TEST_F(watching_listed_objects, backsOffBetweenListsWithoutASuccessfulWatch) {
  duration Total{};
  for (int I = 0; I < 40; ++I) {
    failWatch(call_outcome::HistoryGone);
    Total += Scheduler.runNext();
    answerList({object("a")}, 10);
    Scheduler.runNext();
  }
  EXPECT_GT(Total, seconds(30));
  answerWatch(0, 10);
  Scheduler.runNext();
  failWatch(call_outcome::HistoryGone);
  EXPECT_EQ(Scheduler.runNext(), duration::zero());
}

struct failure_case {
  const char *Name;
  call_outcome Outcome;
};

// Guards against calls without a delay while the store is unavailable, and against a long watch on
// a connection that may not work: a check follows each watch after a failure.
TEST_F(watching_listed_objects, backsOffAndChecksTheWatchAfterEachKindOfFailure) {
  for (const failure_case &Case : {failure_case{"refused", call_outcome::Refused},
                                   failure_case{"unanswered", call_outcome::Unanswered},
                                   failure_case{"malformed", call_outcome::Malformed}}) {
    SCOPED_TRACE(Case.Name);
    Listener.Events.clear();
    duration Total{};
    for (int I = 0; I < 40; ++I) {
      EXPECT_GT(Api.Calls.front().Wait, duration::zero());
      failWatch(Case.Outcome);
      const duration Delay = Scheduler.runNext();
      EXPECT_GE(Delay, object_watcher_settings().Backoff.Base / 2);
      Total += Delay;
    }
    // The delays are uniform between 1.5 and 3 s, so about 90 s are expected.
    EXPECT_GT(Total, seconds(60));
    EXPECT_LT(Total, seconds(120));
    EXPECT_EQ(Listener.Events, std::vector<std::string>{"lost"});
    EXPECT_EQ(Scheduler.runNext(), object_watcher_settings().ProbeTimeout);
    Api.Check({call_outcome::Done, {}, 10});
    EXPECT_EQ(Listener.Events.back(), "regained");
    Revisions.answer(10);
  }
}

// Guards against a balancer that serves nothing for seconds after the store has recovered: delays
// are shorter before the first list.
TEST_F(watching_objects, retriesSoonerBeforeTheFirstList) {
  duration Total{};
  for (int I = 0; I < 40; ++I) {
    Api.take().List({call_outcome::Refused, {}, false, 0});
    const duration Pause = Scheduler.runNext();
    EXPECT_LE(Pause, seconds(1));
    Total += Pause;
  }
  EXPECT_LT(Total, seconds(30));
}

// Guards against priced calls that no counter shows.
TEST_F(watching_listed_objects, countsCallsByKindAndOutcome) {
  answerWatch(0, 10);
  Scheduler.runNext();
  failWatch(call_outcome::Refused);
  const watch_counters &Counters = Watcher.counters();
  EXPECT_EQ(Counters.StaleLists, 1U);
  EXPECT_EQ(Counters.StaleWatches, 2U);
  EXPECT_EQ(Counters.Watches, 0U);
  EXPECT_EQ(Counters.Checks, 1U);
  EXPECT_EQ(Counters.Outcomes[static_cast<std::size_t>(call_outcome::Done)], 2U);
  EXPECT_EQ(Counters.Outcomes[static_cast<std::size_t>(call_outcome::Refused)], 1U);
}

// Guards against a log without the revision of a watch that waits for a change that it will never
// report (incident DRAIN).
TEST_F(watching_listed_objects, reportsEachCallAndItsOutcome) {
  answerWatch(0, 12);
  Scheduler.runNext();
  Watcher.refresh();
  failWatch(call_outcome::Refused);
  EXPECT_EQ(Calls.Lines,
            (std::vector<std::string>{"sent stale_list from 0", "done after 0: 1 at 10",
                                      "sent stale_watch from 10", "done after 10: 0 at 12",
                                      "sent stale_watch from 12", "dropped 12",
                                      "sent watch from 12", "refused after 12: 0 at 0"}));
}

} // namespace
} // namespace briarpoint
