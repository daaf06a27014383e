#ifndef BRIARPOINT_FORWARDER_FORWARDER_STATUS_H
#define BRIARPOINT_FORWARDER_FORWARDER_STATUS_H

#include "forward/admission_control.h"
#include "forward/evacuation_table.h"
#include "forward/load_exchange.h"
#include "forward/pooled_load.h"
#include "forward/route_table.h"
#include "forward/target_registry.h"
#include "forward/warm_up_limiter.h"
#include "forwarder/flow_latency.h"
#include "forwarder/forwarder_counters.h"
#include "forwarder/forwarder_settings.h"
#include "store/object_watcher.h"
#include "store/store_revision_reader.h"

#include <string>

namespace briarpoint {

/// The values shown by the metrics and the state dump. What it refers to must outlive it.
struct forwarder_status {
  const forwarder_settings &Settings;
  const forwarder_counters &Counters;
  flow_latency &Latency;
  const route_table &Routes;
  const target_registry &Targets;
  const warm_up_limiter &WarmUp;
  const admission_control &Admission;
  const object_watcher &RegistrationWatcher;
  const object_watcher &ConfigurationWatcher;
  const evacuation_table &Evacuations;
  /// nullptr if evacuations aren't watched.
  const object_watcher *EvacuationWatcher;
  const watch_group &Watchers;
  const store_revision_reader &OwnRevisions;
  std::uint64_t StoreEra = 0;
  std::size_t Flows = 0;
  bool Ready = false;
  std::uint64_t SuppressedLogLines = 0;
  std::uint64_t DroppedLogLines = 0;
  instant Now{};
  /// nullptr if load isn't pooled.
  const pooled_load *Load = nullptr;
  load_exchange_counters LoadMessages;
  std::uint64_t SpilledFlows = 0;
};

/// Returns the metrics in the text format of Prometheus.
std::string metricsText(const forwarder_status &Status);

/// Returns the state as JSON.
std::string stateText(const forwarder_status &Status);

} // namespace briarpoint

#endif // BRIARPOINT_FORWARDER_FORWARDER_STATUS_H
