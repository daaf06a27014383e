#include "forwarder/evacuation_listener.h"
#include "forwarder/registration_listener.h"
#include "forwarder/route_listener.h"
#include "platform/http_object_api.h"
#include "platform/store_object_format.h"

#include "base/seeded_random.h"

#include <gtest/gtest.h>
#include <spdlog/sinks/ostream_sink.h>

namespace briarpoint::platform {
namespace {

class set_clock final : public time_source {
public:
  instant now() override { return Now; }
  instant Now{std::chrono::hours(1)};
};

class ignored_latency final : public flow_observer {
public:
  void onOpened(duration) override {}
  void onAnswered(duration) override {}
};

/// The parts of a forwarder that apply what the store answers, with their log and counters.
class store_changes : public testing::Test {
protected:
  /// Returns the number of log lines of an event.
  std::size_t linesOf(const std::string &Event) const {
    std::size_t Count = 0;
    std::istringstream Lines(Stream.str());
    for (std::string Line; std::getline(Lines, Line);)
      Count += Line.find("name=" + Event + " ") != std::string::npos ? 1U : 0U;
    return Count;
  }
  static http_answer answer(const std::string &Body) {
    return {http_answer::outcome::Answered, 200, {}, Body};
  }
  /// Returns an entry of a target that accepts flows, as an object of the store.
  static std::string target(const std::string &Name, const std::string &Port) {
    return R"({"meta":{"name":")" + Name + R"(","revision":5},"spec":{"service":"s","zone":"z",)" +
           R"("max_concurrency":2,"state":"ready","address":"10.0.0.1:)" + Port + R"("}})";
  }
  static std::string event(const std::string &Object) {
    return R"({"deleted":false,"object":)" + Object + "}";
  }
  void list(const std::string &Items) {
    Registrations.onList(
        parseListAnswer(answer(R"({"items":[)" + Items + R"(],"has_more":false,"current_rev":6})"),
                        Format.registrationParts())
            .Objects,
        {0, 6});
  }
  void change(const std::string &Events) {
    Registrations.onChanges(
        parseWatchAnswer(answer(R"({"events":[)" + Events + R"(],"current_rev":7})"),
                         Format.registrationParts())
            .Changes,
        {0, 7});
  }
  void configure(const std::string &Spec) {
    Configuration.onList(
        parseListAnswer(answer(R"({"items":[{"meta":{"name":"main","revision":5},"spec":)" + Spec +
                               R"(}],"has_more":false,"current_rev":6})"),
                        Format.configurationParts())
            .Objects,
        {0, 6});
  }

  std::uint64_t Version = 0;
  std::ostringstream Stream;
  set_clock Clock;
  event_log Log{std::make_shared<spdlog::logger>(
                    "test", std::make_shared<spdlog::sinks::ostream_sink_mt>(Stream)),
                Clock};
  store_object_format Format;
  seeded_random Random{1};
  ignored_latency Latency;
  forwarder_counters Counters;
  route_table Routes;
  target_registry Targets{target_registry_settings()};
  packet_forwarder Forwarder{{}, Routes, Targets, Random, Latency};
  registration_listener Registrations{Format, Targets, Forwarder, Clock, Log, Counters, [] {}};
  route_listener Configuration{Format, Routes, Targets, Clock, Log, Counters, [] {}};
};

// Guards against routes whose services don't reach the registry of targets (review, case 13).
TEST_F(store_changes, tellWhichServicesRoutesName) {
  list(target("i-1", "80"));
  EXPECT_TRUE(Targets.find("i-1")->ServiceNamed);
  const std::string Route = R"({"name":"r","hostname":"198.18.0.1","path_prefix":"/443/",)";
  configure(R"({"version":1,"routes":[)" + Route + R"("service":"other"}]})");
  EXPECT_FALSE(Targets.find("i-1")->ServiceNamed);
  change(event(target("i-2", "81")));
  EXPECT_FALSE(Targets.find("i-2")->ServiceNamed);
  configure(R"({"version":2,"routes":[)" + Route + R"("backends":[{"service":"s","weight":1}]}]})");
  EXPECT_TRUE(Targets.find("i-1")->ServiceNamed);
}

// Guards against an odd entry that hides the good ones of a list, or that nobody is told of: it
// gives one log line and is counted.
TEST_F(store_changes, inAListSkipOddEntries) {
  list(target("i-1", "80") + "," + target("i-2", "65536") + R"(,{"meta":{}},7,)" +
       target("i-3", "1e999") + "," + target("i-4", "80"));
  EXPECT_TRUE(Targets.contains("i-1"));
  EXPECT_TRUE(Targets.contains("i-4"));
  EXPECT_EQ(Targets.size(), 2U);
  EXPECT_EQ(Counters.RefusedRegistrations, 4U);
  EXPECT_EQ(linesOf("registration_refused"), 4U);
}

// Guards against the same among the changes that a watch reports.
TEST_F(store_changes, ofAWatchSkipOddEntries) {
  list(target("i-1", "80"));
  change("7," + event(R"({"meta":{"name":"i-9"}})") + "," + event(target("i-2", "0")) + "," +
         event(target("i-3", "80")));
  EXPECT_TRUE(Targets.contains("i-3"));
  EXPECT_EQ(Targets.size(), 2U);
  EXPECT_EQ(Counters.RefusedRegistrations, 3U);
  EXPECT_EQ(linesOf("registration_refused"), 3U);
}

// Guards against a target that stays in use although its entry can no longer be read, also if the
// entry's revision can't be read.
TEST_F(store_changes, removeATargetWhoseEntryTurnedOdd) {
  list(target("i-1", "80") + "," + target("i-2", "80"));
  change(event(R"({"meta":{"name":"i-1","revision":"x"}})") + "," + event(target("i-2", "70000")));
  EXPECT_TRUE(Targets.find("i-1")->removed());
  // The revision of the odd entry of i-2 is that of its good one.
  EXPECT_TRUE(Targets.find("i-2")->removed());
}

// Guards against one odd route that keeps the others of a version from taking effect, and against
// traffic of a route that ends because its next version can't be read.
TEST_F(store_changes, ofRoutesSkipOddOnes) {
  configure(R"({"version":1,"routes":[
      {"name":"a","hostname":"198.18.0.1","path_prefix":"/443/","service":"s"}]})");
  configure(R"({"version":2,"routes":[
      {"name":"a","hostname":"198.18.0.1","path_prefix":"/443/","priority":1e999},
      {"name":"b","hostname":"198.18.0.2","path_prefix":"/443/","service":"s"}],
      "limits":{"idle_timeout_ms":99999999999}})");
  EXPECT_EQ(Routes.version(), 2U);
  EXPECT_NE(Routes.find({0xc6120002, 443}), nullptr);
  ASSERT_NE(Routes.find({0xc6120001, 443}), nullptr);
  EXPECT_EQ(Routes.find({0xc6120001, 443})->Route.Services.size(), 1U);
  EXPECT_EQ(Counters.RefusedRoutes, 1U);
  EXPECT_EQ(linesOf("route_refused"), 1U);
  EXPECT_EQ(Counters.RefusedLimits, 1U);
  EXPECT_EQ(linesOf("limits_refused"), 1U);
}

// Guards against a limit of cold targets that ends because the service's next entry can't be read.
TEST_F(store_changes, ofServicesSkipOddOnes) {
  configure(R"({"version":1,"routes":[],"services":[{"name":"s","warmup_per_s":10}]})");
  configure(R"({"version":2,"routes":[],"services":[{"name":"s","warmup_per_s":"x"},
      {"name":"t","warmup_per_s":4}]})");
  EXPECT_EQ(Routes.warmUpRate("s"), 10);
  EXPECT_EQ(Routes.warmUpRate("t"), 4);
  EXPECT_EQ(Counters.RefusedServices, 1U);
  EXPECT_EQ(linesOf("service_refused"), 1U);
}

// Guards against a reset of an open flow whose route is among those that can't be read.
TEST_F(store_changes, ofRoutesProveNothingIfOneIsOdd) {
  const instant Earlier = Clock.now() - std::chrono::seconds(1);
  Routes.setCurrentAt(Clock.now());
  configure(R"({"version":1,"routes":[7]})");
  EXPECT_FALSE(Routes.isCurrentAsOf(Earlier));
  configure(R"({"version":2,"routes":[]})");
  EXPECT_TRUE(Routes.isCurrentAsOf(Earlier));
  // The same holds for a version that is refused whole, until the next one.
  configure(R"({"version":0,"routes":[]})");
  EXPECT_FALSE(Routes.isCurrentAsOf(Earlier));
  configure(R"({"version":4,"routes":[]})");
  EXPECT_TRUE(Routes.isCurrentAsOf(Earlier));
}

// Guards against the same if not even the name of the changed object can be read: it may be the
// configuration, and its revision counts as received.
TEST_F(store_changes, ofRoutesProveNothingIfTheirObjectIsOdd) {
  const instant Earlier = Clock.now() - std::chrono::seconds(1);
  Routes.setCurrentAt(Clock.now());
  for (const char *Odd : {"7", R"({"spec":{"version":2,"routes":[]}})", R"({"meta":7})"}) {
    SCOPED_TRACE(Odd);
    Counters.RefusedConfigurations = 0;
    configure(R"({"version":)" + std::to_string(++Version) + R"(,"routes":[]})");
    ASSERT_TRUE(Routes.isCurrentAsOf(Earlier));
    Configuration.onChanges(
        parseWatchAnswer(answer(R"({"events":[)" + event(Odd) + R"(],"current_rev":7})"),
                         Format.registrationParts())
            .Changes,
        {0, 7});
    EXPECT_FALSE(Routes.isCurrentAsOf(Earlier));
    EXPECT_EQ(Counters.RefusedConfigurations, 1U);
  }
}

/// The targets i-1 and i-2 are in data centre "z".
class store_changes_of_evacuations : public store_changes {
protected:
  store_changes_of_evacuations() { list(target("i-1", "80") + "," + target("i-2", "80")); }

  static std::string evacuation(const std::string &Name, const std::string &Spec = "{}") {
    return R"({"meta":{"name":)" + Name + R"(,"revision":8},"spec":)" + Spec + "}";
  }
  void listEvacuations(const std::string &Items) {
    Listener.onList(
        parseListAnswer(answer(R"({"items":[)" + Items + R"(],"has_more":false,"current_rev":9})"),
                        Format.evacuationParts())
            .Objects,
        {0, 9});
  }
  void changeEvacuations(const std::string &Events) {
    Listener.onChanges(
        parseWatchAnswer(answer(R"({"events":[)" + Events + R"(],"current_rev":10})"),
                         Format.evacuationParts())
            .Changes,
        {0, 10});
  }
  std::string evacuated() const {
    std::string Result;
    for (const std::string &DataCentre : Evacuations.evacuated())
      Result += DataCentre + " ";
    return Result;
  }
  /// The entries of all targets are as new as the evacuations.
  void proveTargets() { Listener.update(Clock.now() + std::chrono::milliseconds(1)); }
  bool acceptsFlows() { return Targets.find("i-1")->acceptsFlows(Clock.now()); }

  evacuation_table Evacuations;
  evacuation_listener Listener{Format, Evacuations, Targets, Clock, Log, Counters};
};

// Guards against an evacuation or a withdrawal that doesn't reach the targets, against one that a
// list shows only by omission, and against changes without a log line.
TEST_F(store_changes_of_evacuations, applyToTargets) {
  listEvacuations(evacuation("\"y\""));
  EXPECT_TRUE(acceptsFlows());
  changeEvacuations(event(evacuation("\"z\"")) + "," + event(evacuation("\"x\"")));
  EXPECT_EQ(evacuated(), "x y z ");
  EXPECT_FALSE(acceptsFlows());
  EXPECT_EQ(linesOf("evacuation_changed"), 3U);
  // The content of an evacuation changes.
  changeEvacuations(event(evacuation("\"z\"", R"({"reason":"flood"})")));
  EXPECT_EQ(linesOf("evacuation_changed"), 3U);
  changeEvacuations(R"({"deleted":true,"object":)" + evacuation("\"z\"") + "}");
  proveTargets();
  EXPECT_TRUE(acceptsFlows());
  listEvacuations(evacuation("\"z\""));
  proveTargets();
  EXPECT_EQ(evacuated(), "z ");
  EXPECT_FALSE(acceptsFlows());
  // One line for z, and one for each of x and y, which the list lacks.
  EXPECT_EQ(linesOf("evacuation_changed"), 7U);
  EXPECT_EQ(Counters.RefusedEvacuations, 0U);
}

// Guards against an odd object that hides an evacuation beside it, and against one whose name is
// readable but has no effect because of other content.
TEST_F(store_changes_of_evacuations, countByTheirNamesAlone) {
  listEvacuations(evacuation("7") + "," + evacuation("\"z\"", "[1e999]") + ",7," +
                  evacuation("\"\"") + "," + evacuation("\"no name\"") +
                  R"(,{"meta":{"name":"y","revision":"x"}})");
  EXPECT_EQ(evacuated(), "y z ");
  EXPECT_EQ(Counters.RefusedEvacuations, 4U);
  EXPECT_EQ(linesOf("evacuation_refused"), 4U);
  changeEvacuations("7," + event(evacuation("null")) + "," + event(evacuation("\"x\"", "null")));
  EXPECT_EQ(evacuated(), "x y z ");
  EXPECT_EQ(Counters.RefusedEvacuations, 6U);
}

// Guards against flows to a data centre whose evacuation the store lost with its latest writes, and
// against an evacuation of the copy that operators had withdrawn.
TEST_F(store_changes_of_evacuations, outlastAReturnOfTheStoreForTheRecoveryTime) {
  listEvacuations(evacuation("\"y\""));
  changeEvacuations(R"({"deleted":true,"object":)" + evacuation("\"y\"") + "}," +
                    event(evacuation("\"z\"")));
  proveTargets();
  EXPECT_EQ(evacuated(), "z ");
  Listener.onEraRose(Clock.now() + std::chrono::seconds(5));
  listEvacuations(evacuation("\"y\""));
  EXPECT_EQ(evacuated(), "z ");
  EXPECT_FALSE(acceptsFlows());
  Clock.Now += std::chrono::seconds(5);
  proveTargets();
  EXPECT_EQ(evacuated(), "y ");
  EXPECT_TRUE(acceptsFlows());
}

// Guards against flows to targets that have become cold, before their entries show it.
TEST_F(store_changes_of_evacuations, endOnceTheEntriesOfTargetsAreAsNew) {
  listEvacuations(evacuation("\"z\""));
  changeEvacuations(R"({"deleted":true,"object":)" + evacuation("\"z\"") + "}");
  EXPECT_EQ(Listener.withdrawalPendingSince(), Clock.now());
  Listener.update(Clock.now());
  EXPECT_FALSE(acceptsFlows());
  proveTargets();
  EXPECT_TRUE(acceptsFlows());
  EXPECT_EQ(Listener.withdrawalPendingSince(), instant::min());
}

// Guards against a data centre that stays evacuated because the store can't be read.
TEST_F(store_changes_of_evacuations, endWithoutAProofAfterAWhile) {
  listEvacuations(evacuation("\"z\""));
  changeEvacuations(R"({"deleted":true,"object":)" + evacuation("\"z\"") + "}");
  const instant ReceivedAt = Clock.now();
  Clock.Now += std::chrono::milliseconds(3999);
  Listener.update(ReceivedAt);
  EXPECT_FALSE(acceptsFlows());
  Clock.Now += std::chrono::milliseconds(1);
  Listener.update(ReceivedAt);
  EXPECT_TRUE(acceptsFlows());
}

/// Version 2 is in force when the store comes back with another content in era 1.
class configuration_after_a_return : public store_changes {
protected:
  configuration_after_a_return() { listInEra(0, 2, "a"); }
  void listInEra(std::uint64_t Era, int Version, const std::string &Route) {
    const std::string Address = Route == "a" ? "198.18.0.1" : "198.18.0.2";
    Configuration.onList(
        parseListAnswer(
            answer(R"({"items":[{"meta":{"name":"main","revision":5},"spec":{"version":)" +
                   std::to_string(Version) + R"(,"routes":[{"name":")" + Route +
                   R"(","hostname":")" + Address +
                   R"(","path_prefix":"/443/","service":"s"}]}}],)" +
                   R"("has_more":false,"current_rev":6})"),
            Format.configurationParts())
            .Objects,
        {Era, 6});
  }
  bool serves(std::uint32_t Address) const { return Routes.find({Address, 443}) != nullptr; }
};

// Guards against a version of the copy that takes effect although a later one was in force.
TEST_F(configuration_after_a_return, neverGoesBack) {
  listInEra(1, 1, "b");
  EXPECT_EQ(Routes.version(), 2U);
  EXPECT_TRUE(serves(0xc6120001));
}

// Guards against balancers that keep a lost version, while others have the one that the operator
// wrote with the same number afterwards.
TEST_F(configuration_after_a_return, isReplacedByOneThatWasWrittenAgainDifferently) {
  listInEra(1, 1, "a");
  listInEra(1, 2, "b");
  EXPECT_TRUE(serves(0xc6120002));
  EXPECT_FALSE(serves(0xc6120001));
  // Within an era, a version has one content.
  listInEra(1, 2, "a");
  EXPECT_TRUE(serves(0xc6120002));
  EXPECT_EQ(linesOf("routes_applied"), 2U);
}

// Guards against resets of open flows by a version that the store has lost: balancers that have
// started since open flows by the one that it has.
TEST_F(configuration_after_a_return, provesNothingWhileTheStoreHasAnOlderVersion) {
  const instant Earlier = Clock.now() - std::chrono::seconds(1);
  Routes.setCurrentAt(Clock.now());
  ASSERT_TRUE(Routes.isCurrentAsOf(Earlier));
  listInEra(1, 1, "b");
  EXPECT_FALSE(Routes.isCurrentAsOf(Earlier));
  EXPECT_EQ(linesOf("routes_not_in_store"), 1U);
  // The operator writes it again, unchanged.
  listInEra(1, 2, "a");
  EXPECT_TRUE(Routes.isCurrentAsOf(Earlier));
  // Another return, after which the operator writes another version.
  listInEra(2, 1, "b");
  EXPECT_FALSE(Routes.isCurrentAsOf(Earlier));
  listInEra(2, 3, "b");
  EXPECT_TRUE(Routes.isCurrentAsOf(Earlier));
}

// Guards against log lines and lost history of routes for a version that came back unchanged.
TEST_F(configuration_after_a_return, staysIfItWasWrittenAgainUnchanged) {
  listInEra(1, 2, "a");
  EXPECT_EQ(linesOf("routes_applied"), 1U);
}

} // namespace
} // namespace briarpoint::platform
