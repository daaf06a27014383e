#include "soak/caller.h"

#include "platform/packet_layout.h"

namespace briarpoint::soak {

using namespace platform;
using std::chrono::milliseconds;

namespace {

/// The platform's callers repeat a packet after 200 ms and double the delay with each repeat.
constexpr duration FirstRepeatDelay = milliseconds(200);
/// Repeats after which a caller gives up.
constexpr int MaxRepeats = 4;
/// Longest pause between two requests.
constexpr std::uint64_t MaxPauseMs = 300;
constexpr int MaxRequestsOnFlow = 40;

} // namespace

caller::caller(caller_environment &Environment, std::uint32_t Address, const ipv4_endpoint &Service)
    : Environment(Environment), Flow{{Address, 1024}, Service},
      Socket(Environment.Loop, {Address, Environment.PacketPort},
             [this](std::span<const std::byte> Datagram) { receive(Datagram); }),
      Timer(Environment.Loop, [this] { handleTimer(); }) {
  Timer.set(milliseconds(Environment.Random.below(MaxPauseMs)));
}

void caller::handleTimer() {
  if (State == state::Idle) {
    openFlow();
  } else if (State == state::Open) {
    sendRequest();
  } else if (++Repeats > MaxRepeats) {
    abandonFlow();
  } else {
    // In a packet that opens a flow, the acknowledgement field holds the number of repeats.
    if (State == state::Opening)
      LastPacket.Acknowledged = static_cast<std::uint32_t>(Repeats);
    sendAndScheduleRepeat();
  }
}

void caller::openFlow() {
  Flow.Caller.Port = Flow.Caller.Port == 60000 ? 1024 : Flow.Caller.Port + 1;
  State = state::Opening;
  RequestsOnFlow = 0;
  Repeats = 0;
  Echo = 0;
  NextSequence = static_cast<std::uint32_t>(Environment.Random.next());
  LastPacket = {Synchronize, NextSequence, 0, 0, Flow.Caller, Flow.Service, "", true};
  ++NextSequence;
  sendAndScheduleRepeat();
}

void caller::sendRequest() {
  State = state::Waiting;
  Repeats = 0;
  ++Environment.Counters.Sent;
  const bool NonIdempotent = Environment.Random.below(4) == 0;
  LastPacket = {Acknowledge,
                NextSequence,
                NextExpected,
                Echo,
                Flow.Caller,
                Flow.Service,
                (NonIdempotent ? "unsafe " : "safe ") + toString(Flow.Caller) + " " +
                    std::to_string(++RequestNumber),
                true};
  sendAndScheduleRepeat();
}

void caller::sendLastPacket() {
  if (const std::optional<ipv4_endpoint> To = Environment.Route(Flow))
    Socket.send(*To, encode(LastPacket));
}

void caller::sendAndScheduleRepeat() {
  sendLastPacket();
  Timer.set(FirstRepeatDelay * (1 << Repeats));
}

void caller::abandonFlow() {
  Environment.Counters.Failed += State == state::Waiting ? 1 : 0;
  State = state::Idle;
  Timer.set(milliseconds(Environment.Random.below(20)));
}

void caller::receive(std::span<const std::byte> Datagram) {
  const std::optional<flow_packet> Packet = decode(Datagram);
  if (!Packet || Packet->Destination != Flow.Caller || Packet->Source != Flow.Service ||
      State == state::Idle)
    return;
  const bool FromForwarder =
      !Packet->ChecksumValid && Packet->Flags == Reset && Packet->Data.empty();
  if (!Packet->ChecksumValid && !FromForwarder) {
    Environment.Violations.add("packets reach callers unchanged", toString(Flow.Caller));
    return;
  }
  if ((Packet->Flags & Reset) != 0) {
    if (FromForwarder && State != state::Opening) {
      ++Environment.Counters.ForwarderResets;
      Environment.OnForwarderReset(Flow);
    }
    abandonFlow();
    return;
  }
  Echo = Packet->Echo;
  if ((Packet->Flags & Synchronize) != 0) {
    if (State != state::Opening)
      return;
    State = state::Open;
    NextExpected = 1;
    // Completes the handshake.
    LastPacket = {Acknowledge, NextSequence, NextExpected, Echo,
                  Flow.Caller, Flow.Service, "",           true};
    sendLastPacket();
    Timer.set(milliseconds(Environment.Random.below(MaxPauseMs)));
    return;
  }
  if (State != state::Waiting || Packet->Data.empty() || Packet->Sequence != NextExpected)
    return;
  if (Packet->Data != "done " + LastPacket.Data) {
    Environment.Violations.add("callers get the answers to their own requests", Packet->Data);
    return;
  }
  ++Environment.Counters.Served;
  NextSequence += static_cast<std::uint32_t>(LastPacket.Data.size());
  NextExpected += static_cast<std::uint32_t>(Packet->Data.size());
  if (++RequestsOnFlow < MaxRequestsOnFlow) {
    State = state::Open;
  } else {
    LastPacket = {Finish | Acknowledge, NextSequence, NextExpected, Echo,
                  Flow.Caller,          Flow.Service, "",           true};
    sendLastPacket();
    State = state::Idle;
  }
  Timer.set(milliseconds(Environment.Random.below(MaxPauseMs)));
}

} // namespace briarpoint::soak
