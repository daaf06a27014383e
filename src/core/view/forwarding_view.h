#ifndef BRIARPOINT_CORE_VIEW_FORWARDING_VIEW_H
#define BRIARPOINT_CORE_VIEW_FORWARDING_VIEW_H

#include "config/configuration.h"
#include "core/view/member_view.h"
#include "core/view/ownership_table.h"
#include "core/view/service_view.h"
#include "core/view/target_view.h"

#include <map>
#include <unordered_map>
#include <utility>
#include <vector>

namespace briarpoint {

/// Inputs of a forwarding_view; filled by the control plane.
struct forwarding_view_parts {
  /// Version of the configuration that services and targets come from.
  config_version Version = 0;
  std::vector<service_view> Services;
  std::vector<target_view> Targets;
  /// All known members that aren't dead, this process included.
  std::vector<member_view> Members;
  /// Owners among the ready members.
  ownership_table Owners;
  /// Owners once the joining members are ready; equal to Owners if no member is joining.
  ownership_table NextOwners;
  /// False while a data centre in scope is unreachable: a flow without a record here may have one
  /// there.
  bool AllReachable = true;
};

/// Immutable snapshot of the services, targets, members and owners that the data plane works with.
/// The control plane publishes a new one at each change.
class forwarding_view {
public:
  forwarding_view() : forwarding_view(forwarding_view_parts{}) {}
  explicit forwarding_view(forwarding_view_parts Parts);

  config_version version() const { return Parts.Version; }
  const std::vector<service_view> &services() const { return Parts.Services; }
  const std::vector<target_view> &targets() const { return Parts.Targets; }
  const std::vector<member_view> &members() const { return Parts.Members; }
  const ownership_table &owners() const { return Parts.Owners; }
  const ownership_table &nextOwners() const { return Parts.NextOwners; }
  bool allReachable() const { return Parts.AllReachable; }

  /// A service and the port of it that matched; both null if none did.
  struct service_match {
    const service_view *Service = nullptr;
    const service_port *Port = nullptr;
  };
  /// Returns the service and the port that listen on this address, port and protocol.
  service_match matchService(const endpoint &Destination, transport Protocol) const;

  /// The following lookups return null if there is no match.
  const service_view *findService(service_id Id) const;
  const target_view *findTarget(target_id Id) const;
  /// Finds a target by its tunnel endpoint. A tunnel endpoint of a host serves only one service.
  const target_view *findTargetByTunnel(const endpoint &Tunnel) const;
  /// Finds the only target of \p Service at an address; null if there is none, or more than one. A
  /// kernel's Geneve interface chooses the source port by the inner flow (RFC 8926, section 3.3),
  /// so the source port of a reply does not identify its sender.
  const target_view *findTargetByAddress(const ip_address &Address, service_id Service) const;
  const member_view *findMember(member_id Id) const;
  const member_view *findMemberByDataEndpoint(const endpoint &Data) const;

private:
  struct listener_key {
    endpoint Destination;
    transport Protocol;
    bool operator==(const listener_key &) const = default;
  };
  struct endpoint_hash {
    std::size_t operator()(const endpoint &Endpoint) const noexcept;
    std::size_t operator()(const listener_key &Key) const noexcept;
  };
  struct listener_index {
    std::uint32_t Service = 0;
    std::uint32_t Port = 0;
  };

  forwarding_view_parts Parts;
  std::unordered_map<listener_key, listener_index, endpoint_hash> Listeners;
  std::unordered_map<service_id, std::uint32_t> ServiceIndex;
  std::unordered_map<target_id, std::uint32_t> TargetIndex;
  std::unordered_map<endpoint, std::uint32_t, endpoint_hash> TunnelIndex;
  /// By address and service; AmbiguousIndex where two targets of a service share an address.
  std::map<std::pair<ip_address, service_id>, std::uint32_t> AddressIndex;
  std::unordered_map<member_id, std::uint32_t> MemberIndex;
  std::unordered_map<endpoint, std::uint32_t, endpoint_hash> DataIndex;
};

} // namespace briarpoint

#endif // BRIARPOINT_CORE_VIEW_FORWARDING_VIEW_H
