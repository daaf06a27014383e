#include "base/random_source.h"
#include "forwarder/watch_settings.h"
#include "simulated_store.h"
#include "store/object_watcher.h"

#include <gtest/gtest.h>

#include <array>

namespace briarpoint {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// What a platform states.
struct platform_case {
  const char *Name;
  /// A change is known this long after the store has it, and this long after all trouble is over.
  duration ChangeTime;
  duration ContactTime;
};

/// Keeps the revision of the last change that was reported.
class view final : public object_listener {
public:
  void onList(const std::vector<stored_object> &Objects, std::uint64_t) override {
    for (const stored_object &Object : Objects)
      Known = Object.Revision;
  }
  void onChanges(const std::vector<object_change> &Changes, std::uint64_t) override {
    for (const object_change &Change : Changes)
      Known = Change.Object.Revision;
  }
  void onContactChanged(bool, call_outcome) override {}
  std::uint64_t Known = 0;
};

class unheard_calls final : public call_listener {
public:
  void onCallSent(const store_call &) override {}
  void onCallEnded(const store_call &, call_outcome, std::uint64_t, std::size_t) override {}
  void onCallDropped(const store_call &) override {}
};

/// Makes every pause as long as it may be.
class longest_pauses final : public random_source {
public:
  std::uint64_t next() override { return ~std::uint64_t{0}; }
};

/// A forwarder's two watchers, each with its own connection.
class watching_process {
public:
  watching_process(simulated_clock &Clock, simulated_store &Store,
                   const forwarder_settings &Settings, random_source &Random)
      : Targets(Clock, Store, "servers", registrationWatchSettings(Settings), Group, Random),
        Routes(Clock, Store, "config", configurationWatchSettings(Settings), Group, Random) {
    Targets.Watcher.start();
    Routes.Watcher.start();
  }

  struct watch {
    watch(simulated_clock &Clock, simulated_store &Store, const std::string &Kind,
          const object_watcher_settings &Settings, watch_group &Group, random_source &Random)
        : Connection(Clock, Store), Scheduler(Clock),
          Watcher(Kind, Settings, Connection, View, Calls, Group, Scheduler, Random) {}
    simulated_connection Connection;
    simulated_scheduler Scheduler;
    view View;
    unheard_calls Calls;
    object_watcher Watcher;
  };

  watch_group Group;
  watch Targets;
  watch Routes;
};

/// A store with a target and a configuration.
class view_of_changes : public testing::TestWithParam<platform_case> {
protected:
  view_of_changes() {
    Settings.DrainTime = Settings.ConfigurationTime = ChangeTime;
    Settings.ContactTime = ContactTime;
    reset();
  }

  /// Begins anew with a process that has watched for a while.
  void reset() {
    Process = nullptr;
    Clock.reset();
    Processes.clear();
    Clock = std::make_unique<simulated_clock>();
    Store = std::make_unique<simulated_store>(*Clock);
    Store->write("servers");
    Store->write("config");
    pass(seconds(10));
    start();
    pass(seconds(8));
  }
  void start() {
    Processes.push_back(std::make_unique<watching_process>(*Clock, *Store, Settings, Random));
    Process = Processes.back().get();
  }
  void pass(duration Time) { Clock->runUntil(Clock->now() + Time); }
  void changeAll() {
    Store->write("servers");
    Store->write("config");
  }
  /// One of the kinds wasn't read yet, so that the process forwards nothing.
  bool incomplete() const {
    return Process->Targets.View.Known == 0 || Process->Routes.View.Known == 0;
  }
  bool current() const {
    return Process->Targets.View.Known == Store->lastChange("servers") &&
           Process->Routes.View.Known == Store->lastChange("config");
  }

  const duration ChangeTime = GetParam().ChangeTime;
  const duration ContactTime = GetParam().ContactTime;
  forwarder_settings Settings;
  longest_pauses Random;
  std::unique_ptr<simulated_clock> Clock;
  std::unique_ptr<simulated_store> Store;
  /// Actions of the clock refer to all of them; the last one is judged.
  std::vector<std::unique_ptr<watching_process>> Processes;
  watching_process *Process = nullptr;
};

TEST_P(view_of_changes, isCurrentSoonAfterEachChange) {
  for (int I = 0; I < 20; ++I) {
    changeAll();
    pass(milliseconds(150 * I));
    changeAll();
    pass(ChangeTime);
    EXPECT_TRUE(current()) << I;
  }
}

class view_after_a_silent_store : public view_of_changes {};

// Guards against a watch that the store never took in, and whose answer is waited for.
TEST_P(view_after_a_silent_store, isCurrentWheneverTheWatchWasAsked) {
  for (duration Offset{}; Offset < seconds(2); Offset += milliseconds(5)) {
    reset();
    changeAll();
    pass(Offset);
    Store->setSilent(true);
    pass(seconds(3));
    Store->setSilent(false);
    pass(ContactTime);
    changeAll();
    pass(ChangeTime);
    EXPECT_TRUE(current()) << Offset.count();
  }
}

// Guards against a pause after unanswered calls that is longer than the time after which the
// process counts as in contact again.
TEST_P(view_after_a_silent_store, isCurrentHoweverLongThatLasted) {
  for (duration Length = milliseconds(500); Length < seconds(20); Length += milliseconds(50)) {
    reset();
    changeAll();
    pass(seconds(1));
    changeAll();
    Store->setSilent(true);
    pass(Length);
    Store->setSilent(false);
    pass(ContactTime);
    EXPECT_TRUE(current()) << Length.count();
  }
}

TEST_P(view_after_a_silent_store, isCurrentOrIncompleteWheneverTheProcessStarted) {
  for (duration Length = milliseconds(5); Length < seconds(10); Length += milliseconds(50)) {
    reset();
    Store->setSilent(true);
    start();
    pass(Length);
    Store->setSilent(false);
    pass(ContactTime);
    EXPECT_TRUE(current() || incomplete()) << Length.count();
  }
}

class view_during_loss_of_history : public view_of_changes {
protected:
  /// Stale reads fall behind as soon as watches are cut.
  void loseHistory() {
    Clock->after(milliseconds(0), [this] { Store->muteWatches(); });
    Clock->after(milliseconds(600), [this] { changeAll(); });
    Clock->after(milliseconds(1200), [this] {
      Store->cutWatches();
      Store->setStaleLag(seconds(6));
    });
    Clock->after(milliseconds(1260), [this] { Store->dropHistory(); });
  }
  static constexpr duration Lost = milliseconds(1260);
};

// Guards against a watch from the revision of a stale list that waits without the changes which the
// store forgot meanwhile.
TEST_P(view_during_loss_of_history, isCurrentWheneverTheProcessStarts) {
  for (duration Offset{}; Offset < seconds(2); Offset += milliseconds(5)) {
    reset();
    loseHistory();
    pass(Offset);
    start();
    pass(std::max(Offset, Lost) - Offset + ContactTime);
    EXPECT_TRUE(current()) << Offset.count();
  }
}

// Guards against the same after the pause in which changes are gathered.
TEST_P(view_during_loss_of_history, isCurrentWhateverChangedBefore) {
  for (duration Offset{}; Offset < seconds(2); Offset += milliseconds(5)) {
    reset();
    changeAll();
    pass(Offset);
    loseHistory();
    pass(Lost + ContactTime);
    EXPECT_TRUE(current()) << Offset.count();
  }
}

// Guards against a list that the store never received and that is waited for.
TEST_P(view_during_loss_of_history, isCurrentIfTheStoreFallsSilentThen) {
  for (duration Offset{}; Offset < seconds(1); Offset += milliseconds(5)) {
    reset();
    loseHistory();
    pass(Lost + Offset);
    Store->setSilent(true);
    pass(milliseconds(500));
    changeAll();
    Store->setSilent(false);
    pass(ContactTime);
    EXPECT_TRUE(current()) << Offset.count();
  }
}

class view_after_a_cut : public view_of_changes {
protected:
  void setCut(bool IsCut) {
    Process->Targets.Connection.setCut(IsCut);
    Process->Routes.Connection.setCut(IsCut);
  }
};

// Guards against the same after calls that found no connection.
TEST_P(view_after_a_cut, isCurrentHoweverLongItLasted) {
  for (duration Length = seconds(1); Length < seconds(20); Length += milliseconds(50)) {
    reset();
    setCut(true);
    pass(Length);
    changeAll();
    setCut(false);
    pass(ContactTime);
    EXPECT_TRUE(current()) << Length.count();
  }
}

// Guards against a dead connection that is noticed too late because its last call came late.
TEST_P(view_after_a_cut, isCurrentAfterConnectionsWentSilent) {
  for (duration Offset{}; Offset < seconds(2); Offset += milliseconds(20)) {
    reset();
    changeAll();
    pass(Offset);
    Process->Targets.Connection.silence();
    Process->Routes.Connection.silence();
    changeAll();
    pass(ContactTime);
    EXPECT_TRUE(current()) << Offset.count();
  }
}

class view_after_lost_answers : public view_of_changes {};

// Guards against an answer that is lost on a connection that lives on.
TEST_P(view_after_lost_answers, isCurrentWheneverTheyWereLost) {
  for (duration Length = milliseconds(50); Length < seconds(8); Length += milliseconds(50)) {
    reset();
    Process->Targets.Connection.setAnswersLost(true);
    Process->Routes.Connection.setAnswersLost(true);
    pass(Length / 2);
    changeAll();
    pass(Length / 2);
    Process->Targets.Connection.setAnswersLost(false);
    Process->Routes.Connection.setAnswersLost(false);
    pass(ContactTime);
    EXPECT_TRUE(current()) << Length.count();
  }
}

class view_after_refusals : public view_of_changes {};

TEST_P(view_after_refusals, isCurrentHoweverLongTheyLasted) {
  for (duration Length{}; Length < seconds(10); Length += milliseconds(50)) {
    reset();
    Store->setRefusing(true);
    pass(Length);
    Store->setRefusing(false);
    changeAll();
    pass(ContactTime);
    EXPECT_TRUE(current()) << Length.count();
  }
}

/// The bounds of the small and of the grown sites.
constexpr platform_case Platforms[] = {{"small", seconds(3), seconds(4)},
                                       {"grown", seconds(5), seconds(5)}};
std::string nameOf(const testing::TestParamInfo<platform_case> &Info) { return Info.param.Name; }

INSTANTIATE_TEST_SUITE_P(platform, view_of_changes, testing::ValuesIn(Platforms), nameOf);
INSTANTIATE_TEST_SUITE_P(platform, view_after_a_silent_store, testing::ValuesIn(Platforms), nameOf);
INSTANTIATE_TEST_SUITE_P(platform, view_during_loss_of_history, testing::ValuesIn(Platforms),
                         nameOf);
INSTANTIATE_TEST_SUITE_P(platform, view_after_a_cut, testing::ValuesIn(Platforms), nameOf);
INSTANTIATE_TEST_SUITE_P(platform, view_after_lost_answers, testing::ValuesIn(Platforms), nameOf);
INSTANTIATE_TEST_SUITE_P(platform, view_after_refusals, testing::ValuesIn(Platforms), nameOf);

} // namespace
} // namespace briarpoint
