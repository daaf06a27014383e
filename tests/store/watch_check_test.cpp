#include "watcher_support.h"

namespace briarpoint {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Guards against a watch that the store never received and that is waited for (incident DRAIN).
TEST_F(watching_listed_objects, asksAgainIfTheStoreDoesNotAnswerACheck) {
  Api.Check({call_outcome::Unanswered, {}, 0});
  EXPECT_EQ(Api.Cancelled, 1);
  EXPECT_EQ(Listener.Events, std::vector<std::string>{"lost"});
  EXPECT_LE(Scheduler.runNext(), object_watcher_settings().StartupBackoff.Base);
  EXPECT_EQ(Api.Calls.front().Revision, 10U);
  EXPECT_LE(Api.Calls.front().Wait, object_watcher_settings().ProbeTimeout);
}

// Guards against watches that work and are dropped: checks that are answered or come too late.
TEST_F(watching_listed_objects, keepsAWatchWhoseCheckTellsNothingBad) {
  Api.Check({call_outcome::Done, {}, 10});
  EXPECT_EQ(Api.Calls.size(), 1U);
  const auto Late = Api.Check;
  answerWatch(1, 11);
  Late({call_outcome::Unanswered, {}, 0});
  EXPECT_TRUE(Api.Calls.empty());
  Scheduler.runNext();
  Late({call_outcome::Unanswered, {}, 0});
  EXPECT_EQ(Api.Calls.size(), 1U);
  EXPECT_EQ(Api.Cancelled, 0);
}

// Guards against an answer that was lost on a connection that lives on (soak, seeds 337 and 345).
TEST_F(watching_listed_objects, asksAgainIfACheckReportsWhatTheWatchDidNot) {
  Api.Check({call_outcome::Done, {}, 17});
  EXPECT_EQ(Scheduler.runNext(), object_watcher_settings().CheckInterval);
  EXPECT_EQ(Api.CheckedRevision, 17U);
  Api.Check({call_outcome::Done, std::vector<object_change>(1), 18});
  EXPECT_EQ(Scheduler.runNext(), object_watcher_settings().ProbeTimeout);
  EXPECT_EQ(Api.Cancelled, 1);
  EXPECT_EQ(Api.Calls.front().Revision, 10U);
  EXPECT_LE(Api.Calls.front().Wait, object_watcher_settings().ProbeTimeout);
}

// Guards against a watch that works and is dropped because a later check wasn't answered.
TEST_F(watching_listed_objects, checksSoonerAfterALaterCheckThatFailed) {
  Api.Check({call_outcome::Done, {}, 10});
  Scheduler.runNext();
  Api.Check({call_outcome::Unanswered, {}, 0});
  EXPECT_EQ(Scheduler.runNext(), object_watcher_settings().ProbeTimeout);
  EXPECT_EQ(Api.Calls.size(), 1U);
  EXPECT_EQ(Api.Cancelled, 0);
}

// Guards against a watch that was asked just after the store had cut the others.
TEST_F(watching_listed_objects, asksAgainAfterAnotherWatcherWasInterrupted) {
  Watcher.invalidatePosition();
  EXPECT_EQ(Scheduler.runNext(), object_watcher_settings().ProbeTimeout);
  EXPECT_EQ(Api.Cancelled, 1);
  EXPECT_EQ(Api.Calls.front().Revision, 10U);
  EXPECT_LE(Api.Calls.front().Wait, object_watcher_settings().ProbeTimeout);
}

// Guards against the same after a pause in which changes are gathered.
TEST_F(watching_listed_objects, confirmsThePositionIfAnotherWatcherWasInterruptedMeanwhile) {
  answerWatch(1, 11);
  Watcher.invalidatePosition();
  EXPECT_EQ(Scheduler.runNext(), object_watcher_settings().BatchingDelay);
  EXPECT_EQ(Api.Calls.front().Revision, 11U);
  EXPECT_LE(Api.Calls.front().Wait, object_watcher_settings().ProbeTimeout);
}

} // namespace
} // namespace briarpoint
