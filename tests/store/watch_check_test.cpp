#include "watcher_support.h"

namespace briarpoint {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// A long watch waits, and the store has had no chance to show that it received it.
class watching_after_a_change : public watching_listed_objects {
protected:
  watching_after_a_change() {
    answerWatch(1, 11);
    Scheduler.runNext();
    Listener.Events.clear();
    Api.Check = nullptr;
  }
};

// Guards against a priced call for each watch from a confirmed position.
TEST_F(watching_after_a_change, isNotCheckedWhileTheStoreHasNoFurtherChange) {
  EXPECT_EQ(Api.Calls.front().Consistency, read_consistency::Stale);
  Watcher.onRevisionRead(store_position{0, 11}, Scheduler.Now);
  EXPECT_FALSE(Api.Check);
  Watcher.onRevisionRead(store_position{0, 12}, Scheduler.Now);
  EXPECT_TRUE(Api.Check);
  EXPECT_EQ(Api.CheckedRevision, 11U);
}

// Guards against a log that doesn't show which changes a check saw before the watch reported them.
TEST_F(watching_after_a_change, reportsTheEndOfEachCheck) {
  Calls.Checks.clear();
  Watcher.onRevisionRead(store_position{0, 12}, Scheduler.Now);
  Api.Check({call_outcome::Done, std::vector<object_change>(1), 12});
  EXPECT_EQ(Calls.Checks, std::vector<std::string>{"done from 11: 1 at 12"});
}

// Guards against waiting for the answer to a watch that the store never received (incident DRAIN).
TEST_F(watching_after_a_change, isRestartedIfTheStoreDoesNotAnswerACheck) {
  Watcher.onRevisionRead(std::nullopt, Scheduler.Now);
  Api.Check({call_outcome::Unanswered, {}, 0});
  EXPECT_EQ(Api.Cancelled, 1);
  EXPECT_EQ(Listener.Events, std::vector<std::string>{"lost"});
  EXPECT_LE(Scheduler.runNext(), object_watcher_settings().Backoff.Base);
  EXPECT_EQ(Api.Calls.front().Revision, 11U);
}

// Guards against dropping a working watch because of a check that succeeded, or of one that failed
// after the watch had ended.
TEST_F(watching_after_a_change, staysIfACheckSucceedsOrFailsTooLate) {
  Watcher.onRevisionRead(store_position{0, 12}, Scheduler.Now);
  Api.Check({call_outcome::Done, {}, 12});
  EXPECT_EQ(Api.Calls.size(), 1U);
  const auto LateCheck = Api.Check;
  answerWatch(1, 13);
  LateCheck({call_outcome::Unanswered, {}, 0});
  EXPECT_TRUE(Api.Calls.empty());
  Scheduler.runNext();
  LateCheck({call_outcome::Unanswered, {}, 0});
  EXPECT_EQ(Api.Calls.size(), 1U);
  EXPECT_EQ(Api.Cancelled, 0);
}

// Guards against an answer that was lost on a connection that stays open (soak, seeds 337 and 345).
TEST_F(watching_after_a_change, isRestartedIfACheckReportsAChangeThatItDidNot) {
  Watcher.onRevisionRead(store_position{0, 17}, Scheduler.Now);
  Api.Check({call_outcome::Done, {}, 17});
  Watcher.onRevisionRead(store_position{0, 18}, Scheduler.Now);
  EXPECT_EQ(Api.CheckedRevision, 17U);
  Api.Check({call_outcome::Done, std::vector<object_change>(1), 18});
  EXPECT_EQ(Scheduler.runNext(), object_watcher_settings().ProbeTimeout);
  EXPECT_EQ(Api.Cancelled, 1);
  EXPECT_EQ(Api.Calls.front().Revision, 11U);
}

// Guards against a check whose changes are too large to be read, and which then counts as one that
// the store didn't answer.
TEST_F(watching_after_a_change, isRestartedIfACheckHasChangesThatAreTooLarge) {
  Watcher.onRevisionRead(store_position{0, 18}, Scheduler.Now);
  Api.Check({call_outcome::TooLarge, {}, 0});
  EXPECT_EQ(Api.Cancelled, 0);
  EXPECT_TRUE(Listener.Events.empty());
  EXPECT_EQ(Scheduler.runNext(), object_watcher_settings().ProbeTimeout);
  EXPECT_EQ(Api.Cancelled, 1);
  EXPECT_EQ(Api.Calls.front().Revision, 11U);
}

// Guards against dropping a working watch because a later check wasn't answered.
TEST_F(watching_after_a_change, isCheckedSoonerAfterALaterCheckThatFailed) {
  Watcher.onRevisionRead(store_position{0, 12}, Scheduler.Now);
  Api.Check({call_outcome::Done, {}, 12});
  Watcher.onRevisionRead(store_position{0, 13}, Scheduler.Now);
  Api.Check({call_outcome::Unanswered, {}, 0});
  EXPECT_EQ(Scheduler.runNext(), object_watcher_settings().ProbeTimeout);
  EXPECT_EQ(Api.Calls.size(), 1U);
  EXPECT_EQ(Api.Cancelled, 0);
}

// Guards against a stale watch that waits although stale reads are behind the store's revision.
// Linearizable watches are used until a check has caught up.
TEST_F(watching_after_a_change, becomesLinearizableWhileStaleReadsAreBehind) {
  Watcher.onRevisionRead(store_position{0, 20}, Scheduler.Now);
  Api.Check({call_outcome::Done, {}, 12});
  EXPECT_EQ(Api.Cancelled, 1);
  EXPECT_EQ(Api.Calls.front().Consistency, read_consistency::Linearizable);
  EXPECT_LE(Api.Calls.front().Wait, object_watcher_settings().ProbeTimeout);
  answerWatch(1, 20);
  Scheduler.runNext();
  EXPECT_EQ(Api.Calls.front().Consistency, read_consistency::Linearizable);
  EXPECT_GT(Api.Calls.front().Wait, seconds(20));
  Watcher.onRevisionRead(store_position{0, 21}, Scheduler.Now);
  Api.Check({call_outcome::Done, {}, 12});
  EXPECT_EQ(Api.Cancelled, 1);
  Watcher.onRevisionRead(store_position{0, 22}, Scheduler.Now);
  Api.Check({call_outcome::Done, {}, 22});
  answerWatch(1, 23);
  Scheduler.runNext();
  EXPECT_EQ(Api.Calls.front().Consistency, read_consistency::Stale);
}

// Guards against a change from a stale read, or from a linearizable one whose answer may end before
// the last change, that is taken as proof that nothing was missed.
TEST_F(watching_after_a_change, isUpToDateOnlyAfterTheRevisionThatItHasReached) {
  const instant Before = Watcher.upToDateAt();
  answerWatch(1, 12);
  EXPECT_EQ(Watcher.upToDateAt(), Before);
  Scheduler.runNext();
  Watcher.refresh();
  Scheduler.Now += milliseconds(50);
  answerWatch(1, 13);
  EXPECT_EQ(Watcher.upToDateAt(), Before);
  // The refresh requests the proof.
  ASSERT_EQ(Revisions.Reads.size(), 1U);
  const instant RequestedAt = Group.revisionRequestedAt();
  Revisions.answer(14);
  EXPECT_EQ(Watcher.upToDateAt(), Before);
  Scheduler.runNext();
  answerWatch(1, 14);
  EXPECT_EQ(Watcher.upToDateAt(), RequestedAt);
}

// Guards against a view that counts as current later than the read of the revision that it has
// reached was requested, and against one that never counts as current because its reads are stale.
TEST_F(watching_after_a_change, isCurrentAsOfTheReadOfARevisionThatItHasReached) {
  const instant RequestedAt = Scheduler.Now;
  Scheduler.Now += milliseconds(500);
  Watcher.onRevisionRead(store_position{0, 12}, RequestedAt);
  EXPECT_LT(Watcher.upToDateAt(), RequestedAt);
  answerWatch(1, 12);
  EXPECT_EQ(Watcher.upToDateAt(), RequestedAt);
  // While no call is in progress, the revision that was reached is enough.
  Watcher.onRevisionRead(store_position{0, 12}, RequestedAt + milliseconds(100));
  EXPECT_EQ(Watcher.upToDateAt(), RequestedAt + milliseconds(100));
  Scheduler.runNext();
  // Changes of other kinds are no reason to wait: a check shows that there were none of this one.
  Watcher.onRevisionRead(store_position{0, 15}, RequestedAt + milliseconds(200));
  EXPECT_EQ(Watcher.upToDateAt(), RequestedAt + milliseconds(100));
  Api.Check({call_outcome::Done, {}, 15});
  EXPECT_EQ(Watcher.upToDateAt(), RequestedAt + milliseconds(200));
  // A read that failed proves nothing.
  Watcher.onRevisionRead(std::nullopt, RequestedAt + milliseconds(300));
  EXPECT_EQ(Watcher.upToDateAt(), RequestedAt + milliseconds(200));
}

// Guards against a change that waits for the end of the batching delay although it is as old as the
// read of the revision before the one that showed it (review, case 3).
TEST_F(watching_after_a_change, endsTheBatchingDelayWhenTheStoreIsAhead) {
  answerWatch(1, 12);
  Watcher.onRevisionRead(store_position{0, 12}, Scheduler.Now);
  EXPECT_GT(Scheduler.DueAt, Scheduler.Now);
  Watcher.onRevisionRead(store_position{0, 13}, Scheduler.Now);
  EXPECT_EQ(Scheduler.runNext(), duration::zero());
  EXPECT_EQ(Api.Calls.front().Revision, 12U);
  EXPECT_EQ(Api.CheckedRevision, 12U);
  // The stale watch reports an older change only.
  Watcher.onRevisionRead(store_position{0, 20}, Scheduler.Now);
  answerWatch(1, 15);
  EXPECT_EQ(Scheduler.runNext(), duration::zero());
  Api.Check({call_outcome::Done, {}, 15});
  EXPECT_EQ(Api.Calls.front().Consistency, read_consistency::Linearizable);
}

// Guards against priced calls in quick succession: a delay after a failure isn't ended.
TEST_F(watching_after_a_change, keepsTheDelayAfterAFailureWhenTheStoreIsAhead) {
  failWatch(call_outcome::Refused);
  const instant DueAt = Scheduler.DueAt;
  Watcher.onRevisionRead(store_position{0, 20}, Scheduler.Now);
  EXPECT_EQ(Scheduler.DueAt, DueAt);
  EXPECT_TRUE(Api.Calls.empty());
}

// Guards against a reset by a false proof: a check shows changes that the watch hasn't reported,
// and a read of the revision ends before the watch is restarted (review, case 6).
TEST_F(watching_after_a_change, isNotCurrentByACheckThatShowsChanges) {
  const instant RequestedAt = Scheduler.Now;
  Watcher.onRevisionRead(store_position{0, 13}, RequestedAt);
  Api.Check({call_outcome::Done, std::vector<object_change>(1), 13});
  Watcher.onRevisionRead(store_position{0, 13}, RequestedAt + milliseconds(100));
  EXPECT_LT(Watcher.upToDateAt(), RequestedAt);
  EXPECT_EQ(Scheduler.runNext(), object_watcher_settings().ProbeTimeout);
  EXPECT_EQ(Api.Calls.front().Revision, 11U);
  answerWatch(1, 13);
  EXPECT_EQ(Watcher.upToDateAt(), RequestedAt + milliseconds(100));
}

// Guards against the same after a second check, which a replica answers that lacks the changes.
TEST_F(watching_after_a_change, isNotCurrentByALaterCheckWithoutTheChanges) {
  const instant RequestedAt = Scheduler.Now;
  Watcher.onRevisionRead(store_position{0, 13}, RequestedAt);
  Api.Check({call_outcome::Done, std::vector<object_change>(1), 13});
  Scheduler.runNext();
  Scheduler.runNext();
  EXPECT_EQ(Api.CheckedRevision, 11U);
  Api.Check({call_outcome::Done, {}, 12});
  EXPECT_LT(Watcher.upToDateAt(), RequestedAt);
  EXPECT_EQ(Api.Calls.front().Consistency, read_consistency::Linearizable);
}

// Guards against a view that never counts as current again after one wrong read of the revision.
TEST_F(watching_after_a_change, isCurrentAgainAfterAWrongRevision) {
  Watcher.onRevisionRead(store_position{0, ~std::uint64_t{0}}, Scheduler.Now);
  Api.Check({call_outcome::Done, {}, 12});
  const instant RequestedAt = Scheduler.Now + seconds(1);
  Watcher.onRevisionRead(store_position{0, 12}, RequestedAt);
  answerWatch(1, 12);
  EXPECT_EQ(Watcher.upToDateAt(), RequestedAt);
}

// Guards against a watch that waits in vain because it was sent just after the store had cut the
// others. The check that confirms its position follows after the store has dropped its history.
TEST_F(watching_listed_objects, restartsTheWatchAfterAnotherWatcherWasInterrupted) {
  Watcher.invalidatePosition();
  EXPECT_EQ(Scheduler.runNext(), object_watcher_settings().ProbeTimeout);
  EXPECT_EQ(Api.Cancelled, 1);
  EXPECT_EQ(Api.Calls.front().Revision, 10U);
  EXPECT_EQ(Scheduler.runNext(), object_watcher_settings().ProbeTimeout);
  EXPECT_EQ(Api.CheckedRevision, 10U);
  Api.Check({call_outcome::HistoryGone, {}, 0});
  Scheduler.runNext();
  EXPECT_TRUE(Api.Calls.front().List);
  EXPECT_EQ(Api.Calls.front().Consistency, read_consistency::Linearizable);
}

// Guards against a proof by a check that was answered after the store had cut the watches and
// before it dropped its history: changes may be missing in the answer.
TEST_F(watching_listed_objects, isNotProvenByAChecksAnswerBeforeTheRestart) {
  const instant RequestedAt = Scheduler.Now;
  Watcher.onRevisionRead(store_position{0, 12}, RequestedAt);
  Watcher.invalidatePosition();
  Api.Check({call_outcome::Done, {}, 12});
  Watcher.onRevisionRead(store_position{0, 12}, RequestedAt);
  EXPECT_LT(Watcher.upToDateAt(), RequestedAt);
  EXPECT_EQ(Scheduler.runNext(), object_watcher_settings().ProbeTimeout);
  EXPECT_EQ(Api.Calls.front().Revision, 10U);
  Scheduler.runNext();
  EXPECT_EQ(Api.CheckedRevision, 10U);
  Api.Check({call_outcome::Done, {}, 12});
  EXPECT_EQ(Watcher.upToDateAt(), RequestedAt);
}

// Guards against the same failure if the store cut the others while changes were batched.
TEST_F(watching_listed_objects, confirmsThePositionIfAnotherWatcherWasInterruptedBetweenWatches) {
  answerWatch(1, 11);
  Watcher.invalidatePosition();
  EXPECT_EQ(Scheduler.runNext(), object_watcher_settings().BatchingDelay);
  EXPECT_EQ(Api.Calls.front().Revision, 11U);
  EXPECT_EQ(Scheduler.runNext(), object_watcher_settings().ProbeTimeout);
  EXPECT_EQ(Api.CheckedRevision, 11U);
}

// Guards against a stale watch that stays behind for a whole interval, because the store's revision
// was read between two watches.
TEST_F(watching_listed_objects, checksTheNextWatchIfTheStoreWasAheadBetweenWatches) {
  answerWatch(1, 11);
  Api.Check = nullptr;
  Watcher.onRevisionRead(store_position{0, 15}, Scheduler.Now);
  EXPECT_FALSE(Api.Check);
  Scheduler.runNext();
  EXPECT_TRUE(Api.Check);
  EXPECT_EQ(Api.CheckedRevision, 11U);
}

/// After a failure, the answer to the watch is large, and the first part of it has arrived when the
/// check is due.
class watching_a_large_answer : public watching_listed_objects {
protected:
  watching_a_large_answer() {
    failWatch(call_outcome::Unanswered);
    Scheduler.runNext();
    Api.Check = nullptr;
    Api.Received = 1000;
    Scheduler.runNext();
  }
};

// Guards against an answer that never arrives: a check requests the same content, and takes half of
// a slow link (review, case 8).
TEST_F(watching_a_large_answer, sendsNoCheckWhileTheAnswerArrives) {
  for (int I = 0; I < 20; ++I) {
    EXPECT_FALSE(Api.Check);
    Api.Received += 1000;
    EXPECT_EQ(Scheduler.runNext(), object_watcher_settings().ProbeTimeout);
  }
  Watcher.onRevisionRead(store_position{0, 20}, Scheduler.Now);
  EXPECT_FALSE(Api.Check);
  answerWatch(3, 20);
  EXPECT_EQ(Listener.Events.back(), "changes 3 at 20");
}

// Guards against waiting for the rest of an answer on a connection that went silent.
TEST_F(watching_a_large_answer, sendsTheCheckOnceTheAnswerStops) {
  duration Total{};
  while (!Api.Check && Total < seconds(10))
    Total += Scheduler.runNext();
  EXPECT_GE(Total, object_watcher_settings().StallTimeout);
  EXPECT_LE(Total, object_watcher_settings().StallTimeout + milliseconds(600));
  Api.Check({call_outcome::Unanswered, {}, 0});
  EXPECT_EQ(Api.Cancelled, 1);
}

// Guards against dropping an answer because a check was sent before its first part arrived.
TEST_F(watching_after_a_change, keepsAWatchWhoseAnswerArrivesIfItsCheckTimesOut) {
  Watcher.onRevisionRead(std::nullopt, Scheduler.Now);
  ASSERT_TRUE(Api.Check);
  Api.Received = 1000;
  Api.Check({call_outcome::Unanswered, {}, 0});
  ASSERT_EQ(Api.Cancelled, 0);
  EXPECT_TRUE(Listener.Events.empty());
  answerWatch(1, 12);
  EXPECT_EQ(Listener.Events.back(), "changes 1 at 12");
}

/// The store refused a call of another watcher, which retries, and then one of this watcher.
class watching_beside_a_retry : public watching_listed_objects {
protected:
  watching_beside_a_retry() {
    Other.start();
    OtherApi.take().List({call_outcome::Done, {}, false, 10});
    OtherScheduler.runNext();
    OtherApi.take().Watch({call_outcome::Refused, {}, 0});
    Scheduler.Action = nullptr;
    failWatch(call_outcome::Refused);
  }
  fake_api OtherApi;
  fake_scheduler OtherScheduler;
  object_watcher Other{"others", {}, OtherApi, Listener, Calls, Group, OtherScheduler, Random};
};

// Guards against a watcher that waits for ever for another one whose answers can't be parsed: the
// store answers.
TEST_F(watching_beside_a_retry, retriesOnceTheOtherWatcherGetsAMalformedAnswer) {
  OtherScheduler.runNext();
  OtherApi.take().Watch({call_outcome::Malformed, {}, 0});
  ASSERT_TRUE(Scheduler.Action);
  EXPECT_EQ(Scheduler.runNext(), duration::zero());
  EXPECT_EQ(Api.Calls.front().Revision, 10U);
}

// Guards against a watcher that waits for as long as another one fails for a reason of its own,
// such as an answer that is too large for the link (review, case 7). The retries take turns.
TEST_F(watching_beside_a_retry, retriesOnceARetryOfTheOtherWatcherFails) {
  OtherScheduler.runNext();
  OtherApi.take().Watch({call_outcome::Unanswered, {}, 0});
  OtherScheduler.runNext();
  EXPECT_TRUE(OtherApi.Calls.empty());
  ASSERT_TRUE(Scheduler.Action);
  EXPECT_GE(Scheduler.runNext(), object_watcher_settings().Backoff.Base);
  EXPECT_EQ(Api.Calls.front().Revision, 10U);
  // The delay grows with each retry of either watcher.
  duration Total{};
  for (int I = 0; I < 20; ++I) {
    failWatch(call_outcome::Unanswered);
    Total += OtherScheduler.runNext();
    OtherApi.take().Watch({call_outcome::Unanswered, {}, 0});
    Total += Scheduler.runNext();
  }
  EXPECT_GT(Total, seconds(60));
  // One that succeeds ends the wait of the others.
  answerWatch(1, 11);
  ASSERT_TRUE(OtherScheduler.Action);
  EXPECT_EQ(OtherScheduler.runNext(), duration::zero());
}

// Guards against two retries for one failure of the store. Refused calls are priced, too.
TEST_F(watching_beside_a_retry, leavesRetriesToTheOtherWatcherUntilTheStoreAnswers) {
  EXPECT_FALSE(Scheduler.Action);
  OtherScheduler.runNext();
  OtherScheduler.runNext();
  OtherApi.Check({call_outcome::Done, {}, 10});
  EXPECT_EQ(Scheduler.runNext(), duration::zero());
  EXPECT_EQ(Api.Calls.front().Revision, 10U);
}

} // namespace
} // namespace briarpoint
