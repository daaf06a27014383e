#include "daemon/metrics.h"
#include "log/event_log.h"

#include <gtest/gtest.h>
#include <spdlog/sinks/ostream_sink.h>

#include <algorithm>
#include <fstream>
#include <set>
#include <sstream>

namespace briarpoint {
namespace {

/// Rows of the tables in a page of docs/, cells without surrounding spaces, without header rows.
std::vector<std::vector<std::string>> tableRows(const std::string &Page) {
  std::ifstream Stream(std::string(BRIARPOINT_SOURCE_DIR) + "/docs/" + Page);
  EXPECT_TRUE(Stream.good()) << Page;
  std::vector<std::vector<std::string>> Rows;
  bool InBody = false;
  for (std::string Line; std::getline(Stream, Line);) {
    if (!Line.starts_with("|")) {
      InBody = false;
      continue;
    }
    if (Line.starts_with("| ---")) {
      InBody = true;
      continue;
    }
    if (!InBody)
      continue;
    std::vector<std::string> Cells;
    std::istringstream Row(Line.substr(1));
    for (std::string Cell; std::getline(Row, Cell, '|');) {
      const std::size_t First = Cell.find_first_not_of(' ');
      const std::size_t Last = Cell.find_last_not_of(' ');
      Cells.push_back(First == std::string::npos ? "" : Cell.substr(First, Last - First + 1));
    }
    Rows.push_back(Cells);
  }
  return Rows;
}

// Guards against events that the page doesn't explain, and page entries without an event.
TEST(log_catalogue, matchesItsPage) {
  std::set<std::string> InCode;
  for (const log_event_definition &Definition : logCatalogue())
    InCode.insert(std::to_string(static_cast<unsigned>(Definition.Event)) + " " +
                  std::string(Definition.Name) + " " + std::string(enumText(Definition.Level)));
  std::set<std::string> OnPage;
  for (const auto &Row : tableRows("LOG_EVENTS.md")) {
    ASSERT_EQ(Row.size(), 6U) << Row[0];
    OnPage.insert(Row[0] + " " + Row[1] + " " + Row[2]);
    for (const std::string &Cell : Row)
      EXPECT_FALSE(Cell.empty()) << Row[1];
  }
  EXPECT_EQ(InCode, OnPage);
  EXPECT_EQ(InCode.size(), logCatalogue().size());
}

// Guards against metrics that the page doesn't explain, and page entries without a metric.
TEST(metric_catalogue, matchesItsPage) {
  std::set<std::string> InCode;
  for (const metric_definition &Definition : metricCatalogue())
    InCode.insert(std::string(Definition.Name) +
                  (Definition.Kind == metric_kind::Counter ? " counter " : " gauge ") +
                  std::string(Definition.Help));
  std::set<std::string> OnPage;
  for (const auto &Row : tableRows("METRICS.md")) {
    ASSERT_EQ(Row.size(), 4U) << Row[0];
    OnPage.insert(Row[0] + " " + Row[1] + " " + Row[3]);
  }
  EXPECT_EQ(InCode, OnPage);
}

/// A status with a value in every field that metrics show.
daemon_status fullStatus() {
  daemon_status Status;
  Status.Version = 7;
  Status.Members.resize(1);
  Status.Targets = {{"inventory", "a", target_health::Healthy, 1.0, true, 30},
                    {"inventory", "b", target_health::Healthy, 0.5, true, 10},
                    {"inventory", "c", target_health::Draining, 0.0, false, 99}};
  Status.DataPlane.FlowsReset = 3;
  Status.DataPlane.Rejected[0] = 4;
  return Status;
}

control_counters fullCounters() {
  control_counters Counters;
  Counters.SentBytes["heartbeat"] = 100;
  Counters.ReceivedBytes["heartbeat"] = 90;
  Counters.Refused["authentication"] = 1;
  Counters.Probes["answered"] = 1;
  Counters.Patches["accepted"] = 1;
  return Counters;
}

// Guards against a metric that never gets a value, and against names that break the conventions.
TEST(metrics_text, hasEveryMetric) {
  metrics Metrics;
  Metrics.update(fullStatus(), fullCounters());
  const std::string Text = Metrics.text();
  for (const metric_definition &Definition : metricCatalogue()) {
    const std::string Name(Definition.Name);
    const bool IsCounter = Definition.Kind == metric_kind::Counter;
    EXPECT_EQ(Name.ends_with("_total"), IsCounter) << Name;
    EXPECT_NE(Text.find("# HELP " + Name + " " + std::string(Definition.Help)), std::string::npos);
    EXPECT_NE(Text.find("# TYPE " + Name + (IsCounter ? " counter" : " gauge")), std::string::npos);
    EXPECT_TRUE(Text.find("\n" + Name + " ") != std::string::npos ||
                Text.find("\n" + Name + "{") != std::string::npos)
        << Name;
  }
}

// Guards against wrong values: broken flows, rejections, imbalance without the drained target.
TEST(metrics_text, showsValues) {
  metrics Metrics;
  Metrics.update(fullStatus(), fullCounters());
  Metrics.update(fullStatus(), fullCounters());
  const std::string Text = Metrics.text();
  EXPECT_NE(Text.find("briarpoint_flows_reset_total 3\n"), std::string::npos) << Text;
  EXPECT_NE(Text.find("briarpoint_requests_rejected_total{class=\"critical\"} 4\n"),
            std::string::npos);
  EXPECT_NE(Text.find("briarpoint_service_imbalance_ratio{service=\"inventory\"} 1.5\n"),
            std::string::npos);
  EXPECT_NE(Text.find("briarpoint_configuration_version 7\n"), std::string::npos);
}

/// An event log that writes to a string, with a clock that the test advances.
class log_to_text : public testing::Test {
protected:
  class manual_clock final : public time_source {
  public:
    instant now() override { return Now; }
    instant Now{std::chrono::hours(1)};
  };

  std::string lines() const { return Stream.str(); }
  std::size_t lineCount() const {
    const std::string Text = lines();
    return static_cast<std::size_t>(std::count(Text.begin(), Text.end(), '\n'));
  }

  std::ostringstream Stream;
  manual_clock Clock;
  event_log Log{std::make_shared<spdlog::logger>(
                    "test", std::make_shared<spdlog::sinks::ostream_sink_mt>(Stream)),
                Clock};
};

// Guards against input that forges log lines.
TEST_F(log_to_text, escapesValues) {
  Log.write(log_event::PatchFinished, {{"patch", "a\nevent=1 b"}, {"status", "say \"x\""}});
  EXPECT_EQ(lineCount(), 1U);
  EXPECT_NE(lines().find("event=1203 name=patch_finished text=\"patch was executed\" "
                         "patch=\"a?event=1 b\" status=\"say \\\"x\\\"\""),
            std::string::npos)
      << lines();
}

// Guards against hostile input that floods the log, and against other events that are suppressed
// with it.
TEST_F(log_to_text, limitsEachEvent) {
  for (int I = 0; I < 100; ++I)
    Log.write(log_event::PeerMessageRefused);
  EXPECT_EQ(lineCount(), event_log_limits().MaxLinesPerWindow);
  EXPECT_EQ(Log.suppressedLines(), 100 - event_log_limits().MaxLinesPerWindow);
  Log.write(log_event::BalancerReady);
  EXPECT_EQ(lineCount(), event_log_limits().MaxLinesPerWindow + 1);
  Clock.Now += event_log_limits().Window;
  Log.write(log_event::PeerMessageRefused);
  EXPECT_NE(lines().find("suppressed=90"), std::string::npos);
}

// Guards against a level setting without effect.
TEST_F(log_to_text, omitsLowerLevels) {
  Log.setLevel(log_level::Error);
  Log.write(log_event::PeerMessageRefused);
  EXPECT_EQ(lineCount(), 0U);
  Log.write(log_event::StartFailed);
  EXPECT_EQ(lineCount(), 1U);
}

} // namespace
} // namespace briarpoint
