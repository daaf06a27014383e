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

/// Requests and resets, counted over all callers.
struct caller_counters {
  std::uint64_t Sent = 0;
  std::uint64_t Served = 0;
  std::uint64_t Failed = 0;
  /// Resets of open flows that a forwarder sent.
  std::uint64_t ForwarderResets = 0;
};

/// State that all callers share.
struct caller_environment {
  event_loop &Loop;
  random_source &Random;
  violations &Violations;
  caller_counters &Counters;
  std::uint16_t PacketPort = 0;
  /// Returns the forwarder that the fabric currently selects for a flow, or nothing if none runs.
  std::function<std::optional<ipv4_endpoint>(const flow_address &)> Route;
  /// Called when a forwarder resets an open flow.
  std::function<void(const flow_address &)> OnForwarderReset;
};

/// A simulated caller. Sends several requests on a flow, repeats unanswered packets, and opens a
/// new flow after a failure.
class caller {
public:
  caller(caller_environment &Environment, std::uint32_t Address, const ipv4_endpoint &Service);

  const ipv4_endpoint &service() const { return Flow.Service; }
  bool hasOpenFlow() const { return State == state::Open || State == state::Waiting; }

private:
  enum class state : std::uint8_t { Idle, Opening, Open, Waiting };

  void handleTimer();
  void openFlow();
  void sendRequest();
  /// Sends the last packet, for the first time or as a repeat.
  void sendLastPacket();
  /// Sends the last packet and schedules its next repeat.
  void sendAndScheduleRepeat();
  void receive(std::span<const std::byte> Datagram);
  void abandonFlow();

  caller_environment &Environment;
  flow_address Flow;
  state State = state::Idle;
  flow_packet LastPacket;
  /// Sequence number of the next byte to send.
  std::uint32_t NextSequence = 0;
  /// Sequence number of the next byte expected from the host.
  std::uint32_t NextExpected = 0;
  /// Echo field of the last packet received, returned in each packet.
  std::uint32_t Echo = 0;
  std::uint32_t RequestNumber = 0;
  int Repeats = 0;
  int RequestsOnFlow = 0;
  datagram_socket Socket;
  timer Timer;
};

} // namespace briarpoint::soak

#endif // BRIARPOINT_SOAK_CALLER_H
