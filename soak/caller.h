#ifndef BRIARPOINT_SOAK_CALLER_H
#define BRIARPOINT_SOAK_CALLER_H

#include "base/random_source.h"
#include "io/timer.h"
#include "soak/datagram_socket.h"
#include "soak/flow_packet.h"
#include "soak/violations.h"

#include <functional>
#include <string>

namespace briarpoint::soak {

/// What callers see, over all of them.
struct caller_counters {
  std::uint64_t Sent = 0;
  std::uint64_t Served = 0;
  std::uint64_t Failed = 0;
  /// Resets of an open flow that no host sent.
  std::uint64_t ForwarderResets = 0;
};

/// What all callers have in common.
struct caller_environment {
  event_loop &Loop;
  random_source &Random;
  violations &Violations;
  caller_counters &Counters;
  std::uint16_t PacketPort = 0;
  /// Address of the forwarder that the fabric chooses for a flow now; nothing if there is none.
  std::function<std::optional<ipv4_endpoint>(const flow_address &)> Route;
  /// A forwarder reset an open flow.
  std::function<void(const flow_address &)> OnForwarderReset;
};

/// A caller that keeps a flow open for many requests, repeats packets and opens a new flow after a
/// failure.
class caller {
public:
  caller(caller_environment &Environment, std::uint32_t Address, const ipv4_endpoint &Service);

private:
  enum class state : std::uint8_t { Idle, Opening, Open, Waiting };

  void act();
  void open();
  void request();
  /// Sends the last packet (again).
  void send();
  /// The same, with a time for its repeat.
  void transmit();
  void receive(std::span<const std::byte> Datagram);
  void fail();

  caller_environment &Environment;
  flow_address Flow;
  state State = state::Idle;
  flow_packet Last;
  std::uint32_t Next = 0;
  std::uint32_t Received = 0;
  std::uint32_t Echo = 0;
  std::uint32_t Number = 0;
  int Repeats = 0;
  int RequestsOnFlow = 0;
  datagram_socket Socket;
  timer Timer;
};

} // namespace briarpoint::soak

#endif // BRIARPOINT_SOAK_CALLER_H
