#include "platform/http_object_api.h"

#include "standins/platform_server.h"

#include <gtest/gtest.h>

#include <optional>

namespace briarpoint::platform {
namespace {

/// Timeout of calls that are answered immediately; long enough for a busy machine.
constexpr duration Timeout = std::chrono::seconds(20);

/// A client and the platform stand-in, which holds one target's entry, in one event loop.
class store_of_one_target : public testing::Test {
protected:
  store_of_one_target() {
    Store.writeObject("servers", "i-1", "{}");
    Settings.Store = Store.address();
    Settings.CallTimeout = Settings.ListTimeout = Timeout;
    Api = std::make_unique<http_object_api>(Loop, Settings);
  }

  template <typename T> T wait(const std::optional<T> &Answer) {
    while (!Answer)
      Loop.runOnce(true);
    return *Answer;
  }
  list_answer list(read_consistency Consistency) {
    std::optional<list_answer> Result;
    Api->list("servers", "", Consistency, [&](list_answer Answer) { Result = std::move(Answer); });
    return wait(Result);
  }
  void watch(std::uint64_t Revision) {
    WatchResult.reset();
    Api->watch("servers", Revision, Timeout, read_consistency::Linearizable,
               [&](const watch_answer &Answer) { WatchResult = Answer; });
    while (Store.calls().WaitingWatches == 0 && !WatchResult)
      Loop.runOnce(true);
  }
  watch_answer check(std::uint64_t Revision) {
    std::optional<watch_answer> Result;
    Api->check("servers", Revision, [&](watch_answer Answer) { Result = std::move(Answer); });
    return wait(Result);
  }

  event_loop Loop;
  standins::platform_server Store{Loop.base(), {*parseIpAddress("127.0.0.1"), 0}};
  http_object_api_settings Settings;
  std::unique_ptr<http_object_api> Api;
  std::optional<watch_answer> WatchResult;
};

// Guards against an incomplete list, and against a watch that reports changes of other kinds.
TEST_F(store_of_one_target, listsAndReportsTheNextChange) {
  const list_answer List = list(read_consistency::Linearizable);
  EXPECT_EQ(List.Outcome, call_outcome::Done);
  ASSERT_EQ(List.Objects.size(), 1U);
  watch(List.Revision);
  Store.writeObject("config", "main", "{}");
  Store.writeObject("servers", "i-1", R"({"state":"draining"})");
  EXPECT_EQ(wait(WatchResult).Changes.size(), 1U);
}

// Guards against a check that disturbs a concurrent watch, or that ends only when the watch does.
TEST_F(store_of_one_target, answersChecksDuringAWatch) {
  const list_answer List = list(read_consistency::Stale);
  watch(List.Revision);
  EXPECT_EQ(check(List.Revision).Outcome, call_outcome::Done);
  EXPECT_TRUE(check(List.Revision).Changes.empty());
  Store.writeObject("servers", "i-1", R"({"state":"draining"})");
  EXPECT_EQ(wait(WatchResult).Outcome, call_outcome::Done);
  EXPECT_EQ(check(List.Revision).Changes.size(), 1U);
}

// Guards against a refused check that is reported as successful or unanswered.
TEST_F(store_of_one_target, reportsARefusedCheckAsRefused) {
  standins::platform_faults Faults;
  Faults.RateLimited = true;
  Store.setFaults(Faults);
  EXPECT_EQ(check(1).Outcome, call_outcome::Refused);
}

// Guards against a check that reports a store as working because it accepts connections.
TEST_F(store_of_one_target, reportsACheckWithoutAnswerAsUnanswered) {
  Settings.CallTimeout = std::chrono::milliseconds(50);
  Api = std::make_unique<http_object_api>(Loop, Settings);
  standins::platform_faults Faults;
  Faults.Hang = true;
  Store.setFaults(Faults);
  EXPECT_EQ(check(1).Outcome, call_outcome::Unanswered);
}

// Guards against changes that exceed the limit of an answer and are then never read (review, case
// 14), and against a check that reads as much as the watch beside it.
TEST_F(store_of_one_target, listsWhatIsTooLargeForAWatch) {
  const list_answer List = list(read_consistency::Linearizable);
  watch(List.Revision);
  Store.writeObject("servers", "i-2", '"' + std::string(100'000, 'a') + '"');
  EXPECT_EQ(wait(WatchResult).Outcome, call_outcome::Done);
  EXPECT_EQ(check(List.Revision).Outcome, call_outcome::TooLarge);
  for (int I = 3; I < 8; ++I)
    Store.writeObject("servers", "i-" + std::to_string(I), '"' + std::string(900'000, 'a') + '"');
  watch(List.Revision);
  EXPECT_EQ(wait(WatchResult).Outcome, call_outcome::TooLarge);
  EXPECT_EQ(list(read_consistency::Linearizable).Objects.size(), 7U);
}

class store_that_loses_its_history : public store_of_one_target {
protected:
  store_that_loses_its_history() {
    Store.withholdWatchEvents();
    Store.writeObject("servers", "i-1", R"({"state":"draining"})");
    Store.setStaleReads(true);
  }
};

// Guards against a stand-in that is more lenient than the platform. There, a watch whose changes
// were discarded from the history keeps waiting without them until the next change (incident
// DRAIN).
TEST_F(store_that_loses_its_history, refusesAWatchOnlyAtTheNextChange) {
  const list_answer Old = list(read_consistency::Stale);
  EXPECT_LT(Old.Revision, list(read_consistency::Linearizable).Revision);
  watch(Old.Revision);
  Store.dropHistory();
  Store.writeObject("config", "main", "{}");
  EXPECT_EQ(check(Old.Revision).Outcome, call_outcome::HistoryGone);
  EXPECT_FALSE(WatchResult);
  Store.writeObject("servers", "i-2", "{}");
  EXPECT_EQ(wait(WatchResult).Outcome, call_outcome::HistoryGone);
}

// Guards against a rise of the store's era that the adapter misses, and against an answer that
// can't be used because a header is missing or odd.
TEST(store_eras, areReadFromTheHeader) {
  std::vector<std::string> Reported;
  store_era_header Header([&](const std::string &Text) { Reported.push_back(Text); });
  const auto Read = [&](const std::string &Text) {
    return Header.read({http_answer::outcome::Answered, 200, {{"store-era", Text}}, ""});
  };
  const http_answer Missing{http_answer::outcome::Answered, 200, {}, ""};
  EXPECT_EQ(Header.read(Missing), 0U);
  EXPECT_EQ(Read("4"), 4U);
  EXPECT_EQ(Header.read(Missing), 4U);
  for (const char *Odd : {"", "-1", "5x", "99999999999999999999"}) {
    EXPECT_EQ(Read(Odd), 4U) << Odd;
    EXPECT_EQ(Read(Odd), 4U) << Odd;
  }
  EXPECT_EQ(Reported, (std::vector<std::string>{"", "-1", "5x", "99999999999999999999"}));
  EXPECT_EQ(Read("3"), 3U);
  EXPECT_EQ(Header.read(Missing), 4U);
}

// Guards against an era that is lost because the history is gone, which is how a watch learns of
// it.
TEST(store_eras, arePassedOnWithEachAnswer) {
  const http_answer Gone{http_answer::outcome::Answered, 410, {}, ""};
  EXPECT_EQ(parseWatchAnswer(Gone, {}, 6).Era, 6U);
  const http_answer List{
      http_answer::outcome::Answered, 200, {}, R"({"items":[],"has_more":false,"current_rev":3})"};
  EXPECT_EQ(parseListAnswer(List, {}, 6).position(), (store_position{6, 3}));
}

// Guards against a stand-in or an adapter that hides the return of the store from a copy: a watch
// from a revision that the store lost is refused, with the new era.
TEST_F(store_of_one_target, refusesAWatchFromALostRevisionInTheNewEra) {
  Store.keepCopy();
  Store.writeObject("servers", "i-2", "{}");
  const list_answer Before = list(read_consistency::Linearizable);
  EXPECT_EQ(Before.Era, 0U);
  Store.comeBackFromCopy();
  std::optional<watch_answer> Answer;
  Api->watch("servers", Before.Revision, Timeout, read_consistency::Linearizable,
             [&](const watch_answer &Received) { Answer = Received; });
  EXPECT_EQ(toString(wait(Answer).Outcome), toString(call_outcome::HistoryGone));
  EXPECT_EQ(Answer->Era, 1U);
  const list_answer After = list(read_consistency::Stale);
  EXPECT_EQ(After.Objects.size(), 1U);
  EXPECT_GT(After.position(), Before.position());
}

} // namespace
} // namespace briarpoint::platform
