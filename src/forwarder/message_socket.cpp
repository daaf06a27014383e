#include "forwarder/message_socket.h"

#include "io/socket_address.h"
#include "io/sockets.h"

#include <algorithm>
#include <cerrno>
#include <cstring>

namespace briarpoint {

namespace {

/// Datagrams per system call.
constexpr std::size_t BatchSize = 16;
/// Maximum number of batches before the event loop handles other events.
constexpr int MaxBatches = 8;
/// Size of the largest message in bytes.
constexpr std::size_t MaxMessageSize =
    std::max({MaxSuspicionMessageSize, MaxTargetStateMessageSize, MaxLoadMessageSize});

} // namespace

message_socket::message_socket(const endpoint &Local, event_log &Log, forwarder_counters &Counters)
    : Log(Log), Counters(Counters),
      Socket(Local.Port == 0 ? file_descriptor() : openUdpSocket(Local)),
      Incoming(BatchSize, MaxMessageSize) {}

void message_socket::send(const endpoint &To, const revision_message &Message) {
  sendBytes(To, writeRevisionMessage(Message));
}

void message_socket::send(const endpoint &To, const suspicion_message &Message) {
  sendBytes(To, writeSuspicionMessage(Message));
}

void message_socket::send(const endpoint &To, const load_report &Message) {
  sendBytes(To, writeLoadReport(Message));
}

void message_socket::send(const endpoint &To, const load_summary &Message) {
  sendBytes(To, writeLoadSummary(Message));
}

void message_socket::send(const endpoint &To, const target_state_message &Message) {
  sendBytes(To, writeTargetStateMessage(Message));
}

void message_socket::sendBytes(const endpoint &To, const std::string &Bytes) {
  const socket_address Address = toSocketAddress(To);
  if (sendto(Socket.get(), Bytes.data(), Bytes.size(), MSG_DONTWAIT, Address.get(), Address.Size) <
      0)
    Log.write(log_event::PeerMessageNotSent,
              {{"to", toString(To)}, {"reason", std::strerror(errno)}});
}

void message_socket::receive(const peer_exchanges &Exchanges, instant Now) {
  for (int Batch = 0; Batch < MaxBatches; ++Batch) {
    const std::size_t Count = Incoming.receive(Socket.get());
    for (std::size_t I = 0; I < Count; ++I) {
      const std::span<const std::byte> Payload = Incoming.payload(I);
      handle(Incoming.source(I), {reinterpret_cast<const char *>(Payload.data()), Payload.size()},
             Exchanges, Now);
    }
    // If more messages wait, an answer may be among them.
    if (Count < BatchSize) {
      Exchanges.DeadTargets.decide(Now);
      break;
    }
  }
}

void message_socket::handle(const endpoint &From, std::string_view Bytes,
                            const peer_exchanges &Exchanges, instant Now) {
  const bool FromReader = Exchanges.Revisions.isReader(From);
  if (const std::optional<revision_message> Message = parseRevisionMessage(Bytes)) {
    if (Message->Type == revision_message::type::Question) {
      Exchanges.Suspicions.onContact(From, Now);
      Exchanges.Loads.onContact(From, Now);
    }
    Exchanges.Revisions.receive(From, *Message);
    return;
  }
  if (const std::optional<suspicion_message> Message = parseSuspicionMessage(Bytes)) {
    Exchanges.Suspicions.receive(From, FromReader, *Message, Now);
    if (Message->Type == suspicion_message::type::Notice && FromReader)
      Exchanges.DeadTargets.onNotice(From, Message->Targets, Now);
    return;
  }
  if (const std::optional<target_state_message> Message = parseTargetStateMessage(Bytes)) {
    Exchanges.DeadTargets.receive(From, FromReader, *Message, Now);
    return;
  }
  if (const std::optional<load_report> Report = parseLoadReport(Bytes)) {
    Exchanges.Loads.receive(From, *Report, Now);
    return;
  }
  if (const std::optional<load_summary> Summary = parseLoadSummary(Bytes)) {
    Exchanges.Loads.receive(From, FromReader, *Summary, Now);
    return;
  }
  ++Counters.MalformedPeerMessages;
  Log.write(log_event::PeerMessageMalformed,
            {{"from", toString(From)},
             {"reason", "no known message; size " + std::to_string(Bytes.size())}});
}

} // namespace briarpoint
