#include "daemon/peer_socket.h"

#include "base/findings_error.h"
#include "io/socket_address.h"
#include "io/sockets.h"
#include "peer/peer_codec.h"

#include <cstring>

namespace briarpoint {

namespace {

constexpr std::size_t BatchSize = 64;
/// Bytes. Messages of balancers have at most 1,200 bytes; longer datagrams aren't from balancers.
constexpr std::size_t MaxDatagramSize = 2048;

/// Name of a message in the counters.
const char *kindOf(const peer_message &Message) {
  if (std::holds_alternative<heartbeat>(Message))
    return "heartbeat";
  return std::holds_alternative<full_state>(Message) ? "full_state" : "record_batch";
}

} // namespace

peer_socket::peer_socket(const endpoint &Local, const authenticator_settings &Settings,
                         control_counters &Counters, event_log &Log)
    : Socket(openUdpSocket(Local)), Authenticator(Settings), Counters(Counters), Log(Log),
      Incoming(BatchSize, MaxDatagramSize) {}

endpoint peer_socket::local() const { return localEndpoint(Socket.get()); }

void peer_socket::send(const endpoint &To, const peer_message &Message) {
  const std::string Bytes = Authenticator.seal(encodePeerMessage(Message));
  const socket_address Address = toSocketAddress(To);
  if (sendto(Socket.get(), Bytes.data(), Bytes.size(), MSG_DONTWAIT, Address.get(), Address.Size) >=
      0) {
    Counters.SentBytes[kindOf(Message)] += Bytes.size();
    return;
  }
  Log.write(log_event::PeerMessageNotSent,
            {{"to", toString(To)}, {"reason", std::strerror(errno)}});
}

void peer_socket::receive(const handler &Handle) {
  for (std::size_t Count = BatchSize; Count == BatchSize;) {
    Count = Incoming.receive(Socket.get());
    for (std::size_t I = 0; I < Count; ++I) {
      const std::span<const std::byte> Payload = Incoming.payload(I);
      handleDatagram(Incoming.source(I),
                     {reinterpret_cast<const char *>(Payload.data()), Payload.size()}, Handle);
    }
  }
}

void peer_socket::handleDatagram(const endpoint &From, std::string_view Bytes,
                                 const handler &Handle) {
  std::string_view Payload;
  try {
    Payload = Authenticator.open(Bytes).Payload;
  } catch (const findings_error &Error) {
    ++Counters.Refused["authentication"];
    Log.write(log_event::PeerMessageRefused, {{"from", toString(From)}, {"reason", Error.what()}});
    return;
  }
  peer_message Message;
  try {
    Message = decodePeerMessage(Payload);
  } catch (const findings_error &Error) {
    ++Counters.Refused["malformed"];
    Log.write(log_event::PeerMessageMalformed,
              {{"from", toString(From)}, {"reason", Error.what()}});
    return;
  }
  Counters.ReceivedBytes[kindOf(Message)] += Bytes.size();
  Handle(From, Message);
}

} // namespace briarpoint
