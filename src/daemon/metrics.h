#ifndef BRIARPOINT_DAEMON_METRICS_H
#define BRIARPOINT_DAEMON_METRICS_H

#include "daemon/control_counters.h"
#include "daemon/daemon_status.h"

#include <prometheus/registry.h>

#include <map>
#include <span>
#include <string_view>

namespace briarpoint {

enum class metric_kind : std::uint8_t { Counter, Gauge };

/// A metric as documented in docs/METRICS.md.
struct metric_definition {
  std::string_view Name;
  metric_kind Kind;
  std::string_view Help;
};

/// All metrics of the daemon.
std::span<const metric_definition> metricCatalogue();

/// Metrics of the daemon in the text format of Prometheus.
class metrics {
public:
  metrics();

  /// Sets all metrics to the present values. A counter never decreases.
  void update(const daemon_status &Status, const control_counters &Control);

  /// Returns the metrics in Prometheus text format 0.0.4.
  std::string text() const;

private:
  void set(const std::string &Name, const std::map<std::string, std::string> &Labels, double Value);
  void setAll(const std::string &Name, const std::string &Label,
              const std::map<std::string, std::uint64_t> &Values);
  void updateFlows(const daemon_status &Status);
  void updatePackets(const daemon_status &Status);
  void updateTargets(const daemon_status &Status);
  void updateMembers(const daemon_status &Status);

  prometheus::Registry Registry;
  std::map<std::string, prometheus::Family<prometheus::Counter> *> Counters;
  std::map<std::string, prometheus::Family<prometheus::Gauge> *> Gauges;
};

} // namespace briarpoint

#endif // BRIARPOINT_DAEMON_METRICS_H
