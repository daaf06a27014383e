#include "base/seeded_random.h"
#include "forward/forward_decision.h"
#include "forwarder/forwarder_status.h"
#include "io/read_file.h"
#include "store/object_watcher.h"

#include <gtest/gtest.h>

#include <regex>
#include <set>

namespace briarpoint {
namespace {

class idle_api final : public object_api {
public:
  void list(const std::string &, const std::string &, read_consistency,
            std::function<void(list_answer)>) override {}
  void watch(const std::string &, std::uint64_t, duration, read_consistency,
             std::function<void(watch_answer)>) override {}
  void check(const std::string &, std::uint64_t, std::function<void(watch_answer)>) override {}
  std::size_t receivedBytes() const override { return 0; }
  void cancel() override {}
};

class idle_listener final : public object_listener {
public:
  void onList(const std::vector<stored_object> &, const store_position &) override {}
  void onChanges(const std::vector<object_change> &, const store_position &) override {}
  void onContactChanged(bool, call_outcome) override {}
  void onEraRose(instant) override {}
};

class idle_call_listener final : public call_listener {
public:
  void onCallSent(const store_call &) override {}
  void onCallEnded(const store_call &, call_outcome, std::uint64_t, std::size_t) override {}
  void onCallDropped(const store_call &) override {}
  void onCheckEnded(const store_position &, const watch_answer &) override {}
};

class idle_revision_reader final : public revision_reader {
public:
  void read(callback) override {}
};

class idle_scheduler final : public scheduler {
public:
  instant now() override { return {}; }
  void runAt(instant, std::function<void()>) override {}
};

class unknown_pressure final : public pressure_source {
public:
  service_pressure pressure(const std::string &, instant) const override { return {}; }
};

/// A forwarder's status with a value in every field that metrics or the state dump show.
class operations_page : public testing::Test {
protected:
  operations_page() {
    Counters.Decisions[0][0] = 7;
    Routes.apply({5,
                  {{"a", {1, 80}, 0, {{"web", 1}}}, {"b", {2, 80}, 1, {{"web", 1}}}},
                  std::chrono::seconds(15)});
    Admission.admits("web", 1, 7, instant{});
    target_registration Registration;
    Registration.Name = "i-1";
    Registration.Service = "web";
    Targets.put(Registration, instant{});
    Latency.onOpened(std::chrono::milliseconds(3));
    Evacuations.evacuate("z-a");
    Pooled.apply({1, true, 500, 112, {}, {}, {}}, instant{});
  }
  forwarder_status status() {
    return {Settings, Counters,    Latency,  Routes,  Targets, WarmUp, Admission, Watcher,
            Watcher,  Evacuations, &Watcher, Group,   Own,     6,      3,         true,
            0,        0,           {},       &Pooled, {},      0};
  }
  std::string page() {
    return readFile(std::string(BRIARPOINT_SOURCE_DIR) + "/docs/OPERATIONS.md");
  }

  seeded_random Random{1};
  forwarder_settings Settings;
  forwarder_counters Counters;
  flow_latency Latency;
  route_table Routes;
  target_registry Targets{target_registry_settings()};
  evacuation_table Evacuations;
  warm_up_limiter WarmUp{{}, Routes, {}, {}};
  unknown_pressure Pressure;
  admission_control Admission{{}, Routes, Pressure, Random};
  load_meter Meter;
  pooled_load Pooled{Targets, Meter, 0};
  idle_api Api;
  idle_listener Listener;
  idle_call_listener Calls;
  idle_scheduler Scheduler;
  idle_revision_reader Revisions;
  store_era Era;
  store_revision_reader Own{"k", std::chrono::seconds(1), Api, Era, Scheduler};
  watch_group Group{std::chrono::seconds(1), Revisions, Era, Scheduler, Random};
  object_watcher Watcher{"k", {}, Api, Listener, Calls, Group, Scheduler, Random};
};

// Guards against metrics that docs/OPERATIONS.md doesn't explain, and its entries without a metric.
TEST_F(operations_page, listsEveryMetric) {
  const auto NamesIn = [](const std::string &Text, const std::string &Pattern) {
    std::set<std::string> Names;
    const std::regex Expression(Pattern);
    for (std::sregex_iterator It(Text.begin(), Text.end(), Expression), End; It != End; ++It)
      Names.insert((*It)[1]);
    return Names;
  };
  EXPECT_EQ(NamesIn(metricsText(status()), "# TYPE ([a-z_]+) "),
            NamesIn(page(), "\\| `(briarpoint_forwarder_[a-z_]+)` \\|"));
}

// Guards against reasons in the log that docs/OPERATIONS.md doesn't explain.
TEST_F(operations_page, explainsEveryReasonOfAFailure) {
  for (auto Reason = static_cast<std::size_t>(forward_reason::NotReady);
       Reason < ForwardReasonCount; ++Reason)
    EXPECT_NE(
        page().find("| `" + std::string(toString(static_cast<forward_reason>(Reason))) + "` |"),
        std::string::npos)
        << Reason;
}

// Guards against a state dump that omits the state on which forwarding decisions depend.
TEST_F(operations_page, dumpsTheState) {
  const std::string State = stateText(status());
  for (const char *Part :
       {"\"version\": 5", "\"ready\": true", "\"name\": \"i-1\"",
        "\"token\":", "\"store_revision\": 0", "\"store_era\": 6", "\"suspected\": false",
        "\"flows\": 3", "\"z-a\"", "\"evacuated\": false", "\"evacuation_revision\": 0"})
    EXPECT_NE(State.find(Part), std::string::npos) << Part;
}

// Guards against a name with arbitrary bytes, in an entry that another program wrote, that ends the
// process when an operator requests the state.
TEST_F(operations_page, dumpsTheStateWithNamesThatAreNotText) {
  target_registration Registration;
  Registration.Name = "\xff\xfe-2";
  Registration.Number = 2;
  Targets.put(Registration, instant{});
  EXPECT_NE(stateText(status()).find("-2\""), std::string::npos);
}

} // namespace
} // namespace briarpoint
