#include "watcher_support.h"

namespace briarpoint {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Guards against waiting for the answer to a watch that the store never received (incident DRAIN).
TEST_F(watching_listed_objects, restartsTheWatchIfTheStoreDoesNotAnswerACheck) {
  Api.Check({call_outcome::Unanswered, {}, 0});
  EXPECT_EQ(Api.Cancelled, 1);
  EXPECT_EQ(Listener.Events, std::vector<std::string>{"lost"});
  EXPECT_LE(Scheduler.runNext(), object_watcher_settings().StartupBackoff.Base);
  EXPECT_EQ(Api.Calls.front().Revision, 10U);
  EXPECT_LE(Api.Calls.front().Wait, object_watcher_settings().ProbeTimeout);
}

// Guards against dropping a working watch because of a check that succeeded, or of one that failed
// after the watch had ended.
TEST_F(watching_listed_objects, keepsAWatchWhoseCheckSucceedsOrFailsTooLate) {
  Api.Check({call_outcome::Done, {}, 10});
  EXPECT_EQ(Api.Calls.size(), 1U);
  const auto LateCheck = Api.Check;
  answerWatch(1, 11);
  LateCheck({call_outcome::Unanswered, {}, 0});
  EXPECT_TRUE(Api.Calls.empty());
  Scheduler.runNext();
  LateCheck({call_outcome::Unanswered, {}, 0});
  EXPECT_EQ(Api.Calls.size(), 1U);
  EXPECT_EQ(Api.Cancelled, 0);
}

// Guards against an answer that was lost on a connection that stays open (soak, seeds 337 and 345).
TEST_F(watching_listed_objects, restartsTheWatchIfACheckReportsAChangeThatItDidNot) {
  Api.Check({call_outcome::Done, {}, 17});
  EXPECT_EQ(Scheduler.runNext(), object_watcher_settings().CheckInterval);
  EXPECT_EQ(Api.CheckedRevision, 17U);
  Api.Check({call_outcome::Done, std::vector<object_change>(1), 18});
  EXPECT_EQ(Scheduler.runNext(), object_watcher_settings().ProbeTimeout);
  EXPECT_EQ(Api.Cancelled, 1);
  EXPECT_EQ(Api.Calls.front().Revision, 10U);
  EXPECT_LE(Api.Calls.front().Wait, object_watcher_settings().ProbeTimeout);
}

// Guards against dropping a working watch because a later check wasn't answered.
TEST_F(watching_listed_objects, checksSoonerAfterALaterCheckThatFailed) {
  Api.Check({call_outcome::Done, {}, 10});
  Scheduler.runNext();
  Api.Check({call_outcome::Unanswered, {}, 0});
  EXPECT_EQ(Scheduler.runNext(), object_watcher_settings().ProbeTimeout);
  EXPECT_EQ(Api.Calls.size(), 1U);
  EXPECT_EQ(Api.Cancelled, 0);
}

// Guards against a watch that waits in vain because it was sent just after the store had cut the
// others.
TEST_F(watching_listed_objects, restartsTheWatchAfterAnotherWatcherWasInterrupted) {
  Watcher.invalidatePosition();
  EXPECT_EQ(Scheduler.runNext(), object_watcher_settings().ProbeTimeout);
  EXPECT_EQ(Api.Cancelled, 1);
  EXPECT_EQ(Api.Calls.front().Revision, 10U);
  EXPECT_LE(Api.Calls.front().Wait, object_watcher_settings().ProbeTimeout);
}

// Guards against the same failure if the store cut the others while changes were batched.
TEST_F(watching_listed_objects, confirmsThePositionIfAnotherWatcherWasInterruptedBetweenWatches) {
  answerWatch(1, 11);
  Watcher.invalidatePosition();
  EXPECT_EQ(Scheduler.runNext(), object_watcher_settings().BatchingDelay);
  EXPECT_EQ(Api.Calls.front().Revision, 11U);
  EXPECT_LE(Api.Calls.front().Wait, object_watcher_settings().ProbeTimeout);
}

} // namespace
} // namespace briarpoint
