#include "daemon/metrics.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/text_serializer.h>

#include <algorithm>
#include <array>
#include <sstream>

namespace briarpoint {

namespace {

constexpr metric_kind Counter = metric_kind::Counter;
constexpr metric_kind Gauge = metric_kind::Gauge;

constexpr std::array Catalogue{
    metric_definition{"briarpoint_forward_packets_total", Counter,
                      "IP packets that the fabric delivered."},
    metric_definition{"briarpoint_reply_packets_total", Counter, "IP packets from targets."},
    metric_definition{"briarpoint_handovers_total", Counter, "Packets passed to other balancers."},
    metric_definition{"briarpoint_packets_received_total", Counter,
                      "Datagrams received on the data endpoint."},
    metric_definition{"briarpoint_packets_sent_total", Counter,
                      "Datagrams sent from the data endpoint."},
    metric_definition{"briarpoint_packets_dropped_total", Counter,
                      "Packets that the data plane dropped, by reason."},
    metric_definition{"briarpoint_packets_refused_total", Counter,
                      "Datagrams refused before the data plane, by reason."},
    metric_definition{"briarpoint_flows_opened_total", Counter,
                      "Flows that this balancer set up as first owner."},
    metric_definition{"briarpoint_flows_reset_total", Counter,
                      "Flows ended towards the caller because their target died."},
    metric_definition{"briarpoint_flows_silent_total", Counter,
                      "Flows ended because their target was silent."},
    metric_definition{"briarpoint_flow_records", Gauge, "Flow records held."},
    metric_definition{"briarpoint_flow_records_owned", Gauge,
                      "Flow records of which this balancer is first owner."},
    metric_definition{"briarpoint_flow_records_transferred_total", Counter,
                      "Flow records sent to other balancers in batches."},
    metric_definition{"briarpoint_requests_admitted_total", Counter,
                      "Flow setups admitted, by class."},
    metric_definition{"briarpoint_requests_rejected_total", Counter,
                      "Flow setups rejected under overload, by class."},
    metric_definition{"briarpoint_target_open_flows", Gauge,
                      "Open flows of a target of which this balancer is first owner."},
    metric_definition{"briarpoint_target_weight_ratio", Gauge,
                      "Share of new flows of a target relative to the others, 0 to 1."},
    metric_definition{"briarpoint_service_imbalance_ratio", Gauge,
                      "Open flows per target that accepts new ones, max/mean, by service."},
    metric_definition{"briarpoint_configuration_version", Gauge,
                      "Version of the configuration in force."},
    metric_definition{"briarpoint_ready", Gauge, "1 if this balancer owns its share of the flows."},
    metric_definition{"briarpoint_members", Gauge, "Known balancers, by state."},
    metric_definition{"briarpoint_control_sent_bytes_total", Counter,
                      "Control bytes sent, by kind."},
    metric_definition{"briarpoint_control_received_bytes_total", Counter,
                      "Control bytes received, by kind."},
    metric_definition{"briarpoint_control_messages_refused_total", Counter,
                      "Control messages refused, by reason."},
    metric_definition{"briarpoint_probes_total", Counter, "Probes of targets, by result."},
    metric_definition{"briarpoint_patches_total", Counter, "Patches executed, by status."},
    metric_definition{"briarpoint_log_lines_suppressed_total", Counter,
                      "Log lines left out by the rate limit."},
};

using labels = std::map<std::string, std::string>;

} // namespace

std::span<const metric_definition> metricCatalogue() { return Catalogue; }

metrics::metrics() {
  for (const metric_definition &Definition : Catalogue) {
    const std::string Name(Definition.Name);
    const std::string Help(Definition.Help);
    if (Definition.Kind == Counter)
      Counters[Name] = &prometheus::BuildCounter().Name(Name).Help(Help).Register(Registry);
    else
      Gauges[Name] = &prometheus::BuildGauge().Name(Name).Help(Help).Register(Registry);
  }
}

void metrics::set(const std::string &Name, const labels &Labels, double Value) {
  if (const auto Found = Counters.find(Name); Found != Counters.end()) {
    prometheus::Counter &Metric = Found->second->Add(Labels);
    Metric.Increment(std::max(0.0, Value - Metric.Value()));
    return;
  }
  Gauges.at(Name)->Add(Labels).Set(Value);
}

void metrics::setAll(const std::string &Name, const std::string &Label,
                     const std::map<std::string, std::uint64_t> &Values) {
  for (const auto &[Key, Value] : Values)
    set(Name, {{Label, Key}}, static_cast<double>(Value));
}

void metrics::updateFlows(const daemon_status &Status) {
  const data_plane_counters &Plane = Status.DataPlane;
  setAll("briarpoint_packets_dropped_total", "reason", [&Plane] {
    std::map<std::string, std::uint64_t> Dropped;
    for (std::size_t I = 0; I < DropReasonCount; ++I)
      Dropped[toText(static_cast<drop_reason>(I))] = Plane.Dropped[I];
    return Dropped;
  }());
  for (std::size_t I = 0; I < RequestClassCount; ++I) {
    const labels Class{{"class", toText(static_cast<request_class>(I))}};
    set("briarpoint_requests_admitted_total", Class, static_cast<double>(Plane.Admitted[I]));
    set("briarpoint_requests_rejected_total", Class, static_cast<double>(Plane.Rejected[I]));
  }
  const std::pair<const char *, std::uint64_t> Values[] = {
      {"briarpoint_forward_packets_total", Plane.ForwardPackets},
      {"briarpoint_reply_packets_total", Plane.ReplyPackets},
      {"briarpoint_handovers_total", Plane.Handovers},
      {"briarpoint_flows_opened_total", Plane.FlowsOpened},
      {"briarpoint_flows_reset_total", Plane.FlowsReset},
      {"briarpoint_flows_silent_total", Plane.FlowsSilent},
      {"briarpoint_flow_records", Plane.Records},
      {"briarpoint_flow_records_owned", Plane.OwnedRecords},
      {"briarpoint_flow_records_transferred_total", Plane.RecordsTransferred},
  };
  for (const auto &[Name, Value] : Values)
    set(Name, {}, static_cast<double>(Value));
}

void metrics::updatePackets(const daemon_status &Status) {
  const packet_task_counters &Task = Status.PacketTask;
  set("briarpoint_packets_received_total", {}, static_cast<double>(Task.Received));
  set("briarpoint_packets_sent_total", {}, static_cast<double>(Task.Sent));
  setAll("briarpoint_packets_refused_total", "reason",
         {{"malformed", Task.Malformed},
          {"malformed_handover", Task.MalformedHandover},
          {"unknown_source", Task.UnknownSource},
          {"unexpected_handover", Task.UnexpectedHandover},
          {"wrong_vni", Task.WrongVni}});
}

void metrics::updateTargets(const daemon_status &Status) {
  struct flow_sums {
    std::uint64_t Largest = 0;
    std::uint64_t Sum = 0;
    std::uint64_t Count = 0;
  };
  std::map<std::string, flow_sums> Services;
  for (const target_summary &Target : Status.Targets) {
    const labels Labels{{"service", Target.Service}, {"target", Target.Name}};
    set("briarpoint_target_open_flows", Labels, Target.OpenFlows);
    set("briarpoint_target_weight_ratio", Labels, Target.Weight);
    flow_sums &Service = Services[Target.Service];
    if (!Target.AcceptsNew)
      continue;
    Service.Largest = std::max<std::uint64_t>(Service.Largest, Target.OpenFlows);
    Service.Sum += Target.OpenFlows;
    ++Service.Count;
  }
  for (const auto &[Name, Service] : Services)
    set("briarpoint_service_imbalance_ratio", {{"service", Name}},
        Service.Sum == 0 ? 1.0
                         : static_cast<double>(Service.Largest * Service.Count) /
                               static_cast<double>(Service.Sum));
}

void metrics::updateMembers(const daemon_status &Status) {
  std::map<std::string, std::uint64_t> States;
  for (const member_state State :
       {member_state::Joining, member_state::Ready, member_state::Leaving, member_state::Dead})
    States[toText(State)] = 0;
  for (const member_summary &Member : Status.Members)
    ++States[toText(Member.Info.State)];
  setAll("briarpoint_members", "state", States);
}

void metrics::update(const daemon_status &Status, const control_counters &Control) {
  updateFlows(Status);
  updatePackets(Status);
  updateTargets(Status);
  updateMembers(Status);
  set("briarpoint_ready", {}, Status.Ready ? 1 : 0);
  set("briarpoint_configuration_version", {}, static_cast<double>(Status.Version));
  setAll("briarpoint_control_sent_bytes_total", "kind", Control.SentBytes);
  setAll("briarpoint_control_received_bytes_total", "kind", Control.ReceivedBytes);
  setAll("briarpoint_control_messages_refused_total", "reason", Control.Refused);
  setAll("briarpoint_probes_total", "result", Control.Probes);
  setAll("briarpoint_patches_total", "status", Control.Patches);
  set("briarpoint_log_lines_suppressed_total", {}, static_cast<double>(Control.SuppressedLogLines));
}

std::string metrics::text() const {
  std::ostringstream Stream;
  prometheus::TextSerializer().Serialize(Stream, Registry.Collect());
  return Stream.str();
}

} // namespace briarpoint
