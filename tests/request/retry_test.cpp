#include "base/seeded_random.h"
#include "core/request/backoff.h"
#include "core/request/retry_budget.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace briarpoint {
namespace {

using std::chrono::milliseconds;

// Guards against more than one retry per ten requests, for any order of requests and retries, and
// against a saved budget that allows a burst.
RC_GTEST_PROP(retry_budget_schedule, AllowsOneRetryPerTenRequests,
              (const std::vector<bool> &Retry)) {
  retry_budget Budget(0.1, 2.0);
  std::size_t Requests = 0;
  std::size_t Retries = 0;
  for (const bool IsRetry : Retry) {
    if (IsRetry)
      Retries += Budget.tryRetry() ? 1 : 0;
    else
      ++Requests, Budget.recordRequest();
    RC_ASSERT(Retries * 10 <= Requests);
  }
}

// Guards against retries without requests, and against a budget that saves more than its limit.
TEST(retry_budget, AllowsUnusedRetriesUpToTheLimit) {
  retry_budget Budget(0.1, 2.0);
  EXPECT_FALSE(Budget.tryRetry());
  for (int I = 0; I < 10; ++I)
    Budget.recordRequest();
  EXPECT_TRUE(Budget.tryRetry());
  EXPECT_FALSE(Budget.tryRetry());
  for (int I = 0; I < 1000; ++I)
    Budget.recordRequest();
  EXPECT_TRUE(Budget.tryRetry());
  EXPECT_TRUE(Budget.tryRetry());
  EXPECT_FALSE(Budget.tryRetry());
}

// Guards against synchronized retries (no jitter), bounds that don't grow, and retries after the
// deadline.
TEST(backoff, DelaysFillTheExponentialBound) {
  const backoff_settings Settings;
  const instant Now{std::chrono::seconds(5)};
  seeded_random Random{3};
  const struct {
    std::uint32_t Retry;
    duration Bound;
  } Rows[] = {{0, milliseconds(50)},
              {1, milliseconds(100)},
              {4, milliseconds(800)},
              {6, milliseconds(2000)},
              {4'000'000'000, milliseconds(2000)}};
  for (const auto &Row : Rows) {
    SCOPED_TRACE(Row.Retry);
    duration Low = duration::max();
    duration High{};
    for (int I = 0; I < 1000; ++I) {
      const auto When = nextRetry(Settings, Row.Retry, Now, Never, Random);
      ASSERT_TRUE(When.has_value());
      Low = std::min(Low, *When - Now);
      High = std::max(High, *When - Now);
    }
    EXPECT_LT(Low, Row.Bound / 50);
    EXPECT_GT(High, Row.Bound * 49 / 50);
    EXPECT_LT(High, Row.Bound);
  }
  EXPECT_FALSE(nextRetry(Settings, 0, Now, Now, Random).has_value());
  for (int I = 0; I < 1000; ++I) {
    const auto When = nextRetry(Settings, 9, Now, Now + milliseconds(100), Random);
    EXPECT_TRUE(!When || *When < Now + milliseconds(100));
  }
}

} // namespace
} // namespace briarpoint
