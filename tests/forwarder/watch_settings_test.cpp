#include "forwarder/watch_settings.h"

#include <gtest/gtest.h>

namespace briarpoint {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

forwarder_settings platformOf(duration ChangeTime, duration ContactTime, duration HistoryTime) {
  forwarder_settings Result;
  Result.DrainTime = Result.ConfigurationTime = ChangeTime;
  Result.ContactTime = ContactTime;
  Result.HistoryTime = HistoryTime;
  return Result;
}

// Guards against a list of everything after each watch: one that outlives the store's history ends
// without the changes since its revision.
TEST(watch_settings, waitsForLessThanTheHistoryLasts) {
  EXPECT_LT(registrationWatchSettings(platformOf(seconds(3), seconds(4), seconds(20))).WatchTimeout,
            seconds(19));
  EXPECT_EQ(
      configurationWatchSettings(platformOf(seconds(3), seconds(4), seconds(600))).WatchTimeout,
      object_watcher_settings().WatchTimeout);
}

struct contact_case {
  const char *Name;
  duration ChangeTime;
  duration ContactTime;
};

// Guards against pauses that, with the calls around them, last longer than the contact time.
TEST(watch_settings, keepsPausesWithinTheContactTime) {
  constexpr contact_case Cases[] = {
      {"small sites", seconds(3), seconds(4)},
      {"grown sites", seconds(5), seconds(5)},
      {"short contact", seconds(3), milliseconds(500)},
      {"long", seconds(60), seconds(60)},
  };
  for (const contact_case &Case : Cases) {
    SCOPED_TRACE(Case.Name);
    const object_watcher_settings Settings =
        registrationWatchSettings(platformOf(Case.ChangeTime, Case.ContactTime, seconds(20)));
    EXPECT_LE(Settings.Backoff.Limit, Case.ContactTime);
    EXPECT_LE(Settings.StartupBackoff.Limit, Case.ContactTime);
    EXPECT_LE(Settings.BatchingDelay, Case.ContactTime);
    EXPECT_LT(Settings.BatchingDelay, Case.ChangeTime);
    EXPECT_LE(Settings.CheckInterval, Case.ContactTime);
    EXPECT_GT(Settings.Backoff.Limit, duration::zero());
    // A watch that ends before its first check at the interval is checked only once.
    EXPECT_LT(Settings.CheckInterval, Settings.WatchTimeout / 2);
  }
}

} // namespace
} // namespace briarpoint
