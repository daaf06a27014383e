#ifndef BRIARPOINT_SOAK_HOST_H
#define BRIARPOINT_SOAK_HOST_H

#include "soak/datagram_socket.h"
#include "soak/flow_packet.h"
#include "soak/violations.h"

#include <map>
#include <set>
#include <string>

namespace briarpoint::soak {

/// What all hosts have in common.
class host;

struct host_environment {
  event_loop &Loop;
  violations &Violations;
  /// Port at which callers receive.
  std::uint16_t CallerPort = 0;
  /// Services that each service address may ever reach.
  std::map<ipv4_endpoint, std::set<std::string>> Routes;
  /// Non-idempotent requests that have run, over all hosts.
  std::set<std::string> Ran;
  /// A host took a new flow to a service address.
  std::function<void(const host &, const ipv4_endpoint &)> OnAccepted;
};

/// A host of a service: takes flows and answers each request at once.
class host {
public:
  host(host_environment &Environment, std::string Name, std::uint64_t Number, std::string Service,
       const ipv4_endpoint &Address);

  const std::string &name() const { return Name; }
  const std::string &service() const { return Service; }
  const ipv4_endpoint &address() const { return Address; }

  bool holds(const flow_address &Flow) const { return Flows.contains(Flow); }
  /// New flows accepted since the start.
  std::size_t accepted() const { return Accepted; }

private:
  struct flow {
    std::uint32_t Initial = 0;
    std::uint32_t Next = 0;
    std::uint32_t Sent = 0;
  };

  void receive(std::span<const std::byte> Datagram);
  void answer(const flow_packet &Packet, flow &Flow, unsigned char Flags, const std::string &Data);

  host_environment &Environment;
  std::string Name;
  std::uint64_t Number;
  std::string Service;
  ipv4_endpoint Address;
  std::map<flow_address, flow> Flows;
  std::size_t Accepted = 0;
  datagram_socket Socket;
};

} // namespace briarpoint::soak

#endif // BRIARPOINT_SOAK_HOST_H
