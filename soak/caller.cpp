#include "soak/caller.h"

#include "platform/packet_layout.h"

namespace briarpoint::soak {

using namespace platform;
using std::chrono::milliseconds;

namespace {

/// The platform's callers repeat after 200 ms, with doubled pauses, and give up after these many.
constexpr duration FirstRepeat = milliseconds(200);
constexpr int MaxRepeats = 4;
/// Pause between two requests.
constexpr std::uint64_t MaxPauseMs = 300;
constexpr int MaxRequestsOnFlow = 40;

} // namespace

caller::caller(caller_environment &Environment, std::uint32_t Address, const ipv4_endpoint &Service)
    : Environment(Environment), Flow{{Address, 1024}, Service},
      Socket(Environment.Loop, {Address, Environment.PacketPort},
             [this](std::span<const std::byte> Datagram) { receive(Datagram); }),
      Timer(Environment.Loop, [this] { act(); }) {
  Timer.set(milliseconds(Environment.Random.below(MaxPauseMs)));
}

void caller::act() {
  if (State == state::Idle) {
    open();
  } else if (State == state::Open) {
    request();
  } else if (++Repeats > MaxRepeats) {
    fail();
  } else {
    // The number of copies stands in the acknowledgement of a packet that opens a flow.
    if (State == state::Opening)
      Last.Acknowledged = static_cast<std::uint32_t>(Repeats);
    transmit();
  }
}

void caller::open() {
  Flow.Caller.Port = Flow.Caller.Port == 60000 ? 1024 : Flow.Caller.Port + 1;
  State = state::Opening;
  RequestsOnFlow = 0;
  Repeats = 0;
  Echo = 0;
  Next = static_cast<std::uint32_t>(Environment.Random.next());
  Last = {Synchronize, Next, 0, 0, Flow.Caller, Flow.Service, "", true};
  ++Next;
  transmit();
}

void caller::request() {
  State = state::Waiting;
  Repeats = 0;
  ++Environment.Counters.Sent;
  const bool Unsafe = Environment.Random.below(4) == 0;
  Last = {Acknowledge,
          Next,
          Received,
          Echo,
          Flow.Caller,
          Flow.Service,
          (Unsafe ? "unsafe " : "safe ") + toString(Flow.Caller) + " " + std::to_string(++Number),
          true};
  transmit();
}

void caller::send() {
  if (const std::optional<ipv4_endpoint> To = Environment.Route(Flow))
    Socket.send(*To, encode(Last));
}

void caller::transmit() {
  send();
  Timer.set(FirstRepeat * (1 << Repeats));
}

void caller::fail() {
  Environment.Counters.Failed += State == state::Waiting ? 1 : 0;
  State = state::Idle;
  Timer.set(milliseconds(Environment.Random.below(20)));
}

void caller::receive(std::span<const std::byte> Datagram) {
  const std::optional<flow_packet> Packet = decode(Datagram);
  if (!Packet || Packet->Destination != Flow.Caller || Packet->Source != Flow.Service ||
      State == state::Idle)
    return;
  const bool FromForwarder = !Packet->Intact && Packet->Flags == Reset && Packet->Data.empty();
  if (!Packet->Intact && !FromForwarder) {
    Environment.Violations.add("callers get packets as they were sent", toString(Flow.Caller));
    return;
  }
  if ((Packet->Flags & Reset) != 0) {
    if (FromForwarder && State != state::Opening) {
      ++Environment.Counters.ForwarderResets;
      Environment.OnForwarderReset(Flow);
    }
    fail();
    return;
  }
  Echo = Packet->Echo;
  if ((Packet->Flags & Synchronize) != 0) {
    if (State != state::Opening)
      return;
    State = state::Open;
    Received = 1;
    // The end of the handshake.
    Last = {Acknowledge, Next, Received, Echo, Flow.Caller, Flow.Service, "", true};
    send();
    Timer.set(milliseconds(Environment.Random.below(MaxPauseMs)));
    return;
  }
  if (State != state::Waiting || Packet->Data.empty() || Packet->Sequence != Received)
    return;
  if (Packet->Data != "done " + Last.Data) {
    Environment.Violations.add("a caller gets the answer to its own request", Packet->Data);
    return;
  }
  ++Environment.Counters.Served;
  Next += static_cast<std::uint32_t>(Last.Data.size());
  Received += static_cast<std::uint32_t>(Packet->Data.size());
  if (++RequestsOnFlow < MaxRequestsOnFlow) {
    State = state::Open;
  } else {
    Last = {Finish | Acknowledge, Next, Received, Echo, Flow.Caller, Flow.Service, "", true};
    send();
    State = state::Idle;
  }
  Timer.set(milliseconds(Environment.Random.below(MaxPauseMs)));
}

} // namespace briarpoint::soak
