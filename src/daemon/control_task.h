#ifndef BRIARPOINT_DAEMON_CONTROL_TASK_H
#define BRIARPOINT_DAEMON_CONTROL_TASK_H

#include "config/settings.h"
#include "core/control/control_plane.h"
#include "daemon/change_logger.h"
#include "daemon/configuration_exchange.h"
#include "daemon/metrics.h"
#include "daemon/operator_interface.h"
#include "daemon/packet_command.h"
#include "daemon/packet_report.h"
#include "daemon/peer_socket.h"
#include "daemon/status_builder.h"
#include "daemon/target_prober.h"

#include <map>
#include <optional>

namespace briarpoint {

/// Dependencies of a control task; all must outlive it.
struct control_task_context {
  event_loop &Loop;
  time_source &Clock;
  random_source &Random;
  object_store &Store;
  event_log &Log;
  packet_commands &Commands;
  packet_reports &Reports;
};

/// Runs membership, configuration, probes and the operators' interface of one balancer on one event
/// loop. Communicates with the packet task only through mailboxes.
class control_task final : private control_plane_listener, private operator_backend {
public:
  /// \p Incarnation must be higher than that of any earlier process of the same name.
  /// \throws std::system_error if an endpoint can't be bound.
  control_task(const settings &Settings, std::uint64_t Incarnation,
               const control_task_context &Context);

  /// Starts to join the other balancers. The loop must run from then on.
  void start();

  /// Runs the work that is due. The loop calls it every 50 ms after start().
  void tick();

  /// Executes a patch, for example the initial configuration of a process without a platform.
  void submitPatch(const patch &Patch, std::function<void(const patch_outcome &)> Done) override;

  /// Sets the handler for an operator's request that this balancer leave.
  void onLeave(std::function<void()> Handler) { LeaveHandler = std::move(Handler); }

  /// Begins a graceful stop. \p Done is called when it is complete, or at the first tick after the
  /// shutdown deadline of the settings. Further calls have no effect.
  void beginStop(std::function<void()> Done);

  /// Applies those settings that can change in a running process. If the keys changed, the
  /// sequence numbers of messages start at 1 again under \p Incarnation, which must be higher than
  /// the previous one.
  void applySettings(const settings &New, std::uint64_t Incarnation);

  bool isReady() const override { return Plane.isReady(); }
  endpoint operatorEndpoint() const { return OperatorServer.local(); }
  endpoint controlEndpoint() const { return Peers.local(); }
  const control_counters &counters() const { return Counters; }

private:
  // control_plane_listener
  void sendMessage(const endpoint &Control, const peer_message &Message) override;
  void publishView(std::shared_ptr<const forwarding_view> View) override;
  void probeTarget(target_id Target, const endpoint &Health) override;
  void fetchConfiguration(member_id From, const endpoint &Rpc, config_version Version) override;
  void storeRecords(std::span<const flow_record> Records) override;
  void resetFlows() override;

  // operator_backend
  std::shared_ptr<const configuration> inForce() const override { return Plane.inForce(); }
  void
  readEarlierConfiguration(config_version Version,
                           std::function<void(std::shared_ptr<const configuration>)> Done) override;
  void readHistory(std::function<void(const std::optional<std::string> &)> Done) override;
  std::string statusJson() override;
  void dumpJson(std::function<void(const std::string &)> Done) override;
  std::string metricsText() override;
  void leave() override;
  void logRefusedRequest(const std::string &Path, int Status) override;
  void logWrite(const std::string &Path) override;

  void handleReports();
  void handleReport(const packet_report &Report);
  void addRecentConfiguration();
  void logRefusedPackets(const packet_task_counters &Before, const packet_task_counters &After);
  void sendCommand(packet_command Command);
  status_sources sources() const;
  daemon_status status() const;

  settings Settings;
  control_task_context Context;
  control_counters Counters;
  std::shared_ptr<const forwarding_view> View = std::make_shared<const forwarding_view>();
  counters_report LastCounters;
  std::unordered_map<target_id, std::uint32_t> OpenFlows;
  /// The newest configurations that were in force, so that operators can read and restore them.
  std::map<config_version, std::shared_ptr<const configuration>> RecentConfigurations;
  /// Callbacks of state dumps that wait for a records_report, by request.
  std::map<std::uint64_t, std::function<void(const std::string &)>> PendingDumps;
  std::uint64_t LastDumpRequest = 0;
  bool WasReady = false;
  instant StopDeadline = Never;
  std::function<void()> StopHandler;
  std::function<void()> LeaveHandler;

  change_logger ViewChangeLogger;
  metrics Metrics;
  peer_socket Peers;
  target_prober Prober;
  configuration_exchange Exchange;
  control_plane Plane;
  operator_interface Operators;
  http_server OperatorServer;
};

} // namespace briarpoint

#endif // BRIARPOINT_DAEMON_CONTROL_TASK_H
