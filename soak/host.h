#ifndef BRIARPOINT_SOAK_HOST_H
#define BRIARPOINT_SOAK_HOST_H

#include "soak/datagram_socket.h"
#include "soak/flow_packet.h"
#include "soak/violations.h"

#include <map>
#include <set>
#include <string>

namespace briarpoint::soak {

class host;

/// State that all hosts share.
struct host_environment {
  event_loop &Loop;
  violations &Violations;
  /// Port on which callers receive packets.
  std::uint16_t CallerPort = 0;
  /// For each service address, the services that its packets may reach.
  std::map<ipv4_endpoint, std::set<std::string>> Routes;
  /// Non-idempotent requests that any host has executed.
  std::set<std::string> ExecutedRequests;
  /// Called when a host accepts a new flow.
  std::function<void(const host &, const flow_address &)> OnFlowAccepted;
};

/// A host of a service. Accepts flows and answers each request immediately.
class host {
public:
  /// \p Identity must precede each packet for this host; others are ignored.
  host(host_environment &Environment, std::string Name, std::uint64_t Identity, std::string Service,
       const ipv4_endpoint &Address);

  const std::string &name() const { return Name; }
  const std::string &service() const { return Service; }
  const ipv4_endpoint &address() const { return Address; }

  /// A silent host ignores all packets, as if its machine had lost its power.
  void fallSilent() { Silent = true; }
  bool silent() const { return Silent; }
  bool hasFlow(const flow_address &Flow) const { return Flows.contains(Flow); }
  /// New flows accepted since the start.
  std::size_t acceptedFlows() const { return AcceptedFlows; }

private:
  struct flow {
    /// The caller's initial sequence number.
    std::uint32_t InitialSequence = 0;
    /// Sequence number of the next byte expected from the caller.
    std::uint32_t NextExpected = 0;
    /// Sequence number of the next byte to send.
    std::uint32_t NextSequence = 0;
  };

  void receive(std::span<const std::byte> Datagram);
  void answer(const flow_packet &Packet, flow &Flow, unsigned char Flags, const std::string &Data);

  host_environment &Environment;
  std::string Name;
  std::uint64_t Identity;
  std::string Service;
  ipv4_endpoint Address;
  std::map<flow_address, flow> Flows;
  std::size_t AcceptedFlows = 0;
  bool Silent = false;
  datagram_socket Socket;
};

} // namespace briarpoint::soak

#endif // BRIARPOINT_SOAK_HOST_H
