#include "tests/platform/http_harness.h"

#include <gtest/gtest.h>

namespace briarpoint {
namespace {

using test::http_harness;

/// A store in which the object "head" has value "one". Its version is the store's revision, which
/// starts above 0.
class http_store_with_an_object : public testing::Test {
protected:
  http_store_with_an_object() : Head(Harness.put("head", 0, "one").Version) {}

  object_status watchStatus() {
    std::optional<object_result> Result;
    Harness.store().watch("head", Head, [&](const object_result &R) { Result = R; });
    Harness.await(Result);
    return Result ? Result->Status : object_status::Ok;
  }

  http_harness Harness;
  object_version Head;
};

// Guards against a watch that misses a change because the object is on a later page of the list
// that follows a loss of history.
TEST_F(http_store_with_an_object, WatchFindsAChangeOnALaterPageOfTheList) {
  constexpr int MoreThanAPage = 520;
  for (int I = 0; I < MoreThanAPage; ++I)
    Harness.put("a" + std::to_string(I), 0, "x");
  Harness.put("head", Head, "two");
  // The store has lost the history after the watch's revision.
  Harness.server().setFaults({.HistoryGone = true});
  EXPECT_EQ(watchStatus(), object_status::Ok);
}

// Guards against a fault that is reported as another one. A put that is reported as refused
// although it took effect would be repeated under another version. A put that is reported as
// unknown although it was refused would make an operator wait without need.
TEST_F(http_store_with_an_object, EachFaultOfThePlatformGivesItsStatus) {
  struct row {
    const char *Name;
    standins::platform_faults Faults;
    object_status Get;
    object_status Put;
    /// Empty if the watch would end only at its timeout.
    std::optional<object_status> Watch;
    const char *ValueAfter;
  };
  constexpr auto Unavailable = object_status::Unavailable;
  const row Rows[] = {
      {"slow, within the time-out",
       {.DelayMs = 20},
       object_status::Ok,
       object_status::Ok,
       object_status::Ok,
       "two"},
      {"down", {.Down = true}, Unavailable, Unavailable, Unavailable, "one"},
      {"over the rate", {.RateLimited = true}, Unavailable, Unavailable, Unavailable, "one"},
      {"lost answer of a put",
       {.LosePutAnswers = true},
       object_status::Ok,
       object_status::Unknown,
       object_status::Ok,
       "two"},
      {"slow, beyond the time-out",
       {.DelayMs = 60'000},
       Unavailable,
       object_status::Unknown,
       std::nullopt,
       "two"},
      {"no answer", {.Hang = true}, Unavailable, object_status::Unknown, std::nullopt, "one"},
  };
  object_version Version = Head;
  for (const row &Row : Rows) {
    SCOPED_TRACE(Row.Name);
    Harness.server().setFaults({});
    Version = Harness.put("head", Version, "one").Version;
    Harness.server().setFaults(Row.Faults);
    EXPECT_EQ(Harness.get("head").Status, Row.Get);
    EXPECT_EQ(Harness.put("head", Version, "two").Status, Row.Put);
    if (Row.Watch) {
      EXPECT_EQ(watchStatus(), *Row.Watch);
    }
    Harness.server().setFaults({});
    const object_result After = Harness.get("head");
    EXPECT_EQ(After.Value, Row.ValueAfter);
    Version = After.Version;
  }
}

// Guards against a refused connection that is reported as an unknown outcome.
TEST_F(http_store_with_an_object, ARefusedConnectionIsUnavailable) {
  Harness.stopServer();
  EXPECT_EQ(Harness.get("head").Status, object_status::Unavailable);
  EXPECT_EQ(Harness.put("head", Head, "two").Status, object_status::Unavailable);
  EXPECT_EQ(watchStatus(), object_status::Unavailable);
  EXPECT_EQ(Harness.listInstances().first, object_status::Unavailable);
}

// Guards against a callback that never runs because the connection ended during the call.
TEST_F(http_store_with_an_object, AConnectionThatEndsGivesNoAnswer) {
  Harness.server().setFaults({.Hang = true});
  std::optional<object_result> Put;
  std::optional<object_result> Get;
  Harness.store().put("head", Head, "two", [&](const object_result &R) { Put = R; });
  Harness.store().get("head", [&](const object_result &R) { Get = R; });
  while (Harness.server().calls().Writes < 2 || Harness.server().calls().Reads < 1)
    Harness.step();
  Harness.stopServer();
  Harness.await(Put);
  Harness.await(Get);
  EXPECT_EQ(Put->Status, object_status::Unknown);
  EXPECT_EQ(Get->Status, object_status::Unavailable);
}

// Guards against unbounded use of sockets and memory while the platform is slow.
TEST_F(http_store_with_an_object, CallsBeyondTheLimitAreRefused) {
  Harness.server().setFaults({.Hang = true});
  for (int I = 0; I < 8; ++I)
    Harness.store().watch("head", Head, [](const object_result &) {});
  EXPECT_EQ(Harness.put("head", Head, "two").Status, object_status::Unavailable);
  EXPECT_EQ(Harness.server().calls().Writes, 1U);
}

// Guards against use of the store after a callback destroyed it.
TEST_F(http_store_with_an_object, ACallbackMayDestroyTheStore) {
  bool Answered = false;
  bool Other = false;
  Harness.store().get("head", [&](const object_result &) {
    Answered = true;
    Harness.destroyStore();
  });
  Harness.store().watch("head", Head, [&](const object_result &) { Other = true; });
  while (!Answered)
    Harness.step();
  EXPECT_FALSE(Other);
}

// Guards against malformed lists that keep a balancer from finding its peers, or crash it.
TEST_F(http_store_with_an_object, MalformedInstancesAreSkipped) {
  struct row {
    const char *Body;
    object_status Status;
    std::size_t Entries;
  };
  const row Rows[] = {
      {R"({"instances":[{"name":"a","control":"10.0.0.1:1","zone":"x"},{"name":"b"},
          {"name":"c","control":"here"},{"name":3,"control":"10.0.0.1:1"},7]})",
       object_status::Ok, 1},
      {R"({"instances":[],"next":null})", object_status::Ok, 0},
  };
  for (const row &Row : Rows) {
    SCOPED_TRACE(Row.Body);
    ASSERT_EQ(Harness.post("/instances", Row.Body).first, 200);
    const auto Listed = Harness.listInstances();
    EXPECT_EQ(Listed.first, Row.Status);
    EXPECT_EQ(Listed.second.size(), Row.Entries);
  }
}

// Guards against a client that doesn't send its token, and a stand-in that doesn't check it.
TEST(http_store_token, IsRequiredAndSent) {
  http_harness Right("token-of-the-platform", "token-of-the-platform");
  EXPECT_EQ(Right.put("k", 0, "v").Status, object_status::Ok);
  http_harness Wrong("token-of-the-platform", "another");
  EXPECT_EQ(Wrong.put("k", 0, "v").Status, object_status::Unavailable);
  http_harness None("token-of-the-platform");
  EXPECT_EQ(None.get("k").Status, object_status::Unavailable);
}

// Guards against a stand-in whose fault switches or counters don't work. Tests of the daemon
// against it would be meaningless.
TEST_F(http_store_with_an_object, TheStandInIsControlledByHttp) {
  std::optional<object_result> Watch;
  Harness.store().watch("head", Head, [&](const object_result &R) { Watch = R; });
  Harness.get("head");
  EXPECT_EQ(Harness.fetch("/calls").second, R"({"reads":2,"waiting_watches":1,"writes":1})");
  EXPECT_EQ(Harness.post("/faults", R"({"down":true})").first, 200);
  EXPECT_EQ(Harness.get("head").Status, object_status::Unavailable);
  EXPECT_EQ(Harness.post("/faults", "{}").first, 200);
  EXPECT_EQ(Harness.get("head").Status, object_status::Ok);
  EXPECT_EQ(Harness.post("/faults", R"({"dwon":true})").first, 422);
  EXPECT_EQ(Harness.post("/faults", "{").first, 422);
  EXPECT_EQ(Harness.fetch("/v2").first, 404);
}

// Guards against a stand-in that shows new instances without the configured delay, or never.
TEST_F(http_store_with_an_object, TheStandInsListLags) {
  ASSERT_EQ(Harness.post("/faults", R"({"instances_lag_ms":50})").first, 200);
  Harness.setInstances({{"a", "10.0.0.1:1", false}});
  EXPECT_TRUE(Harness.listInstances().second.empty());
  while (Harness.listInstances().second.empty())
    Harness.step();
}

// Guards against watches that are counted as waiting after their connection has ended.
TEST_F(http_store_with_an_object, TheStandInRemovesWatchesOfEndedConnections) {
  Harness.store().watch("head", Head, [](const object_result &) {});
  while (Harness.server().calls().WaitingWatches == 0)
    Harness.step();
  Harness.destroyStore();
  while (Harness.server().calls().WaitingWatches != 0)
    Harness.step();
}

} // namespace
} // namespace briarpoint
