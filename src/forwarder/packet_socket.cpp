#include "forwarder/packet_socket.h"

#include "io/sockets.h"

namespace briarpoint {

namespace {

/// Datagrams per system call. A larger batch saves nothing at a few hundred packets per second.
constexpr std::size_t BatchSize = 16;
/// Maximum number of batches before the event loop handles other events.
constexpr int MaxBatches = 8;

} // namespace

packet_socket::packet_socket(const endpoint &Local, const packet_format &Format,
                             packet_forwarder &Forwarder, time_source &Clock, forwarder_log &Log,
                             forwarder_counters &Counters)
    : Local(Local), Format(Format), Forwarder(Forwarder), Clock(Clock), Log(Log),
      Counters(Counters), Socket(openUdpSocket(Local)),
      Incoming(BatchSize, Format.maxDatagramSize()),
      Outgoing(BatchSize, Format.targetHeaderSize(), 0) {}

void packet_socket::receive() {
  for (int Batch = 0; Batch < MaxBatches; ++Batch) {
    const std::size_t Count = Incoming.receive(Socket.get());
    const instant Now = Clock.now();
    for (std::size_t I = 0; I < Count; ++I)
      handle(Incoming.payload(I), Now, Now);
    flush();
    if (Count < BatchSize)
      break;
  }
}

void packet_socket::handle(std::span<const std::byte> Datagram, instant ReceivedAt, instant Now) {
  ++Counters.Received;
  LastPacketAt = Now;
  const std::optional<caller_packet> Packet = Format.parse(Datagram);
  if (!Packet) {
    ++Counters.Malformed;
    Log.logMalformed(Datagram.size());
    return;
  }
  const forward_decision Decision = Forwarder.decide(*Packet, ReceivedAt, Now);
  count(Decision);
  UnknownTokenReceived = UnknownTokenReceived || Decision.Reason == forward_reason::UnknownToken;
  if (Decision.Action == forward_action::Forward)
    forward(Datagram, *Decision.Target);
  else if (Decision.Action == forward_action::Reset)
    reset(Packet->Flow, Packet->Acknowledged);
  else if (Decision.Action == forward_action::Postpone && Postponed.size() < MaxPostponed)
    Postponed.push_back({Now, Now + MaxPostponement, {Datagram.begin(), Datagram.end()}});
  if (Decision.Reason != forward_reason::Open || Decision.Repeats > 0)
    Log.logDecision(*Packet, Decision, Format.requestId(Datagram), Now);
}

void packet_socket::handlePostponed() {
  const instant Now = Clock.now();
  // A batch refers to the data of its packets until it is sent.
  const std::vector<postponed_packet> Packets = std::exchange(Postponed, {});
  for (const postponed_packet &Packet : Packets) {
    if (Now >= Packet.ExpiresAt)
      continue;
    handle(Packet.Datagram, Packet.ReceivedAt, Now);
    if (Outgoing.full())
      flush();
  }
  flush();
}

void packet_socket::forward(std::span<const std::byte> Datagram, const target &Target) {
  Format.writeHeader(Outgoing.nextHeader(), Datagram, Target);
  Outgoing.push(toEndpoint(Target.Registration.Address), Format.targetHeaderSize(),
                Datagram.subspan(Format.headerSize()), false);
}

void packet_socket::reset(const flow_address &Flow, std::uint32_t Acknowledged) {
  const std::size_t Size = Format.writeReset(Outgoing.nextHeader(), Flow, Acknowledged);
  // Callers receive on the same port number as balancers.
  endpoint Caller = toEndpoint(Flow.Caller);
  Caller.Port = Local.Port;
  Outgoing.push(Caller, Size, {}, false);
}

void packet_socket::count(const forward_decision &Decision) {
  ++Counters.Decisions.at(static_cast<std::size_t>(Decision.Action))
        .at(static_cast<std::size_t>(Decision.Reason));
}

void packet_socket::flush() {
  if (!Outgoing.empty())
    Counters.Sent += Outgoing.flush(Socket.get());
}

void packet_socket::sweep() {
  const instant Now = Clock.now();
  const auto Reset = [&](const flow_address &Flow, const tracked_flow &Tracked,
                         forward_reason Reason) {
    const forward_decision Decision{forward_action::Reset, Reason, Tracked.Target, Tracked.Repeats};
    count(Decision);
    caller_packet LastPacket;
    LastPacket.Flow = Flow;
    Log.logDecision(LastPacket, Decision, "", Now);
    reset(Flow, Tracked.Acknowledged);
    if (Outgoing.full())
      flush();
  };
  Forwarder.sweep(Now, Reset);
  flush();
}

} // namespace briarpoint
