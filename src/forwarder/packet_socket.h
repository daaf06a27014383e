#ifndef BRIARPOINT_FORWARDER_PACKET_SOCKET_H
#define BRIARPOINT_FORWARDER_PACKET_SOCKET_H

#include "base/instant.h"
#include "forward/packet_format.h"
#include "forward/packet_forwarder.h"
#include "forwarder/forwarder_counters.h"
#include "forwarder/forwarder_log.h"
#include "io/file_descriptor.h"
#include "io/receive_batch.h"
#include "io/send_batch.h"
#include "io/time_source.h"

#include <utility>
#include <vector>

namespace briarpoint {

/// Receives callers' packets on a UDP socket, and forwards, resets or drops each as the
/// packet_forwarder decides.
class packet_socket {
public:
  /// Everything that is referred to must outlive the object.
  /// \throws std::system_error if \p Local can't be bound.
  packet_socket(const endpoint &Local, const packet_format &Format, packet_forwarder &Forwarder,
                time_source &Clock, forwarder_log &Log, forwarder_counters &Counters);

  int descriptor() const { return Socket.get(); }

  /// Handles the received datagrams. Call it when the descriptor is readable.
  void receive();

  /// Handles the packets that were postponed until the routes are known.
  void handlePostponed();

  /// Resets flows whose target no longer answers and removes idle flows.
  void sweep();

  /// Returns whether a packet with an unknown token was received since the last call.
  bool consumeUnknownTokenFlag() { return std::exchange(UnknownTokenReceived, false); }

  /// When the last packet was received.
  instant lastPacketAt() const { return LastPacketAt; }

private:
  /// Maximum number of packets that are postponed; callers repeat further ones.
  static constexpr std::size_t MaxPostponed = 128;
  /// Time after which a postponed packet is dropped. Its caller has repeated it by then, and
  /// another balancer may have opened the flow.
  static constexpr duration MaxPostponement = std::chrono::seconds(1);

  struct postponed_packet {
    instant ReceivedAt{};
    instant ExpiresAt{};
    std::vector<std::byte> Datagram;
  };

  void handle(std::span<const std::byte> Datagram, instant ReceivedAt, instant Now);
  void forward(std::span<const std::byte> Datagram, const target &Target);
  void reset(const flow_address &Flow, std::uint32_t Acknowledged);
  void count(const forward_decision &Decision);
  void flush();

  endpoint Local;
  const packet_format &Format;
  packet_forwarder &Forwarder;
  time_source &Clock;
  forwarder_log &Log;
  forwarder_counters &Counters;
  file_descriptor Socket;
  receive_batch Incoming;
  send_batch Outgoing;
  std::vector<postponed_packet> Postponed;
  instant LastPacketAt{};
  bool UnknownTokenReceived = false;
};

} // namespace briarpoint

#endif // BRIARPOINT_FORWARDER_PACKET_SOCKET_H
