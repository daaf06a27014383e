#ifndef REVIEW_LAB_CLIENT_HPP
#define REVIEW_LAB_CLIENT_HPP

#include "loop.hpp"
#include "net.hpp"

#include <memory>

namespace lab {

/// A stand-in for a client with one address and any number of flows.
class client {
public:
  enum class state { Opening, Open, Waiting, Closed };

  struct flow {
    flow_key Key;
    state State = state::Opening;
    std::uint32_t NextSeq = 0;
    std::uint32_t NextExpected = 0;
    /// The last echo that arrived on the flow.
    std::uint32_t Echo = 0;
    int Repeats = 0;
    packet Last;
    std::uint64_t Sent = 0;
    double OpenedAt = 0;
    std::function<void(flow &)> OnOpened;
    std::function<void(flow &, const std::string &)> OnAnswer;
    /// \p BySystem is set if the reset was written by the system and not by a host.
    std::function<void(flow &, bool BySystem, bool WasOpen)> OnReset;
    /// No answer to the opening packet or to a request.
    std::function<void(flow &, bool WasOpen)> OnGivenUp;
  };

  /// Returns the address of the balancer that the routers select for a flow; 0 if there is none.
  using route_function = std::function<std::uint32_t(const flow_key &)>;

  client(loop &Loop, record &Record, std::uint32_t Address, std::uint16_t Port,
         route_function Route)
      : Address(Address), Loop(Loop), Record(Record), Port(Port), Route(std::move(Route)),
        Socket(openSocket(SOCK_DGRAM, Address, Port)) {
    Loop.onReadable(
        Socket, [this] { receiveAll(Socket, [this](std::string_view Bytes) { receive(Bytes); }); });
  }
  ~client() {
    Loop.remove(Socket);
    close(Socket);
  }
  client(const client &) = delete;
  client &operator=(const client &) = delete;

  /// Prepares a flow from a new port; start() sends its first packet.
  std::shared_ptr<flow> prepare(std::uint32_t Dst, std::uint16_t Dport) {
    auto Flow = std::make_shared<flow>();
    Flow->Key = {Address, NextPort, Dst, Dport};
    NextPort = NextPort == 60000 ? 1024 : static_cast<std::uint16_t>(NextPort + 1);
    Flow->NextSeq = static_cast<std::uint32_t>(std::rand());
    return Flow;
  }
  void start(const std::shared_ptr<flow> &Flow) {
    Flows[Flow->Key] = Flow;
    Flow->Last = makePacket(*Flow, packet::Syn, "");
    ++Flow->NextSeq;
    send(*Flow);
    scheduleRepeat(Flow);
  }
  void request(const std::shared_ptr<flow> &Flow, const std::string &Text) {
    Flow->State = state::Waiting;
    Flow->Repeats = 0;
    Flow->Last = makePacket(*Flow, packet::Ack, Text);
    send(*Flow);
    scheduleRepeat(Flow);
  }
  void end(const std::shared_ptr<flow> &Flow) {
    if (Flow->State == state::Closed)
      return;
    Flow->Last = makePacket(*Flow, packet::Fin | packet::Ack, "");
    send(*Flow);
    Flow->State = state::Closed;
    Flows.erase(Flow->Key);
  }

  const std::uint32_t Address;

private:
  packet makePacket(const flow &Flow, unsigned Flags, const std::string &Data) const {
    packet Packet;
    Packet.Flags = Flags;
    Packet.Seq = Flow.NextSeq;
    Packet.Acked = Flow.NextExpected;
    Packet.Echo = Flow.Echo;
    Packet.Src = Flow.Key.Src;
    Packet.Sport = Flow.Key.Sport;
    Packet.Dst = Flow.Key.Dst;
    Packet.Dport = Flow.Key.Dport;
    Packet.Data = Data;
    return Packet;
  }

  void send(flow &Flow) {
    ++Flow.Sent;
    if (const std::uint32_t Balancer = Route(Flow.Key))
      sendTo(Socket, Balancer, Port, Flow.Last.encode());
  }

  /// A SYN is repeated after 200 and 600 ms, and its attempt ends after 1.4 s. Other packets are
  /// repeated after 200 ms and then at intervals that double up to 1.6 s.
  void scheduleRepeat(const std::shared_ptr<flow> &Flow) {
    const bool Opening = Flow->State == state::Opening;
    const int Limit = Opening ? 2 : 4;
    const double Delay = std::min(200.0 * (1 << Flow->Repeats), 1600.0);
    Loop.after(Delay, [this, Flow, Opening, Limit, Sent = Flow->Sent, State = Flow->State] {
      if (Flow->Sent != Sent || Flow->State != State)
        return;
      if (Flow->Repeats >= Limit) {
        Flow->State = state::Closed;
        Flows.erase(Flow->Key);
        if (Flow->OnGivenUp)
          Flow->OnGivenUp(*Flow, !Opening);
        return;
      }
      ++Flow->Repeats;
      if (Opening)
        Flow->Last.Acked = static_cast<std::uint32_t>(Flow->Repeats);
      // The last echo goes into each packet that is sent.
      else
        Flow->Last.Echo = Flow->Echo;
      send(*Flow);
      scheduleRepeat(Flow);
    });
  }

  void receive(std::string_view Bytes) {
    const std::optional<packet> Packet = packet::decode(Bytes);
    if (!Packet)
      return;
    const auto Found = Flows.find({Packet->Dst, Packet->Dport, Packet->Src, Packet->Sport});
    if (Found == Flows.end())
      return;
    const std::shared_ptr<flow> Flow = Found->second;
    const bool BySystem = Packet->Flags == packet::Rst && Packet->Sum == 0 && Packet->Data.empty();
    if (!BySystem && !Packet->intact()) {
      Record.line("MIXED? " + name(Flow->Key) + " got a packet that its sender didn't write so");
      return;
    }
    const bool WasOpen = Flow->State != state::Opening;
    if ((Packet->Flags & packet::Rst) != 0) {
      Flow->State = state::Closed;
      Flows.erase(Found);
      if (Flow->OnReset)
        Flow->OnReset(*Flow, BySystem, WasOpen);
      return;
    }
    Flow->Echo = Packet->Echo;
    if ((Packet->Flags & packet::Syn) != 0) {
      if (WasOpen)
        return;
      Flow->State = state::Open;
      Flow->OpenedAt = Loop.now();
      Flow->NextExpected = Packet->Seq + 1;
      Flow->Last = makePacket(*Flow, packet::Ack, "");
      send(*Flow);
      if (Flow->OnOpened)
        Flow->OnOpened(*Flow);
      return;
    }
    if (Flow->State != state::Waiting || Packet->Data.empty() || Packet->Seq != Flow->NextExpected)
      return;
    Flow->NextSeq += static_cast<std::uint32_t>(Flow->Last.Data.size());
    Flow->NextExpected += static_cast<std::uint32_t>(Packet->Data.size());
    Flow->State = state::Open;
    Flow->Last = makePacket(*Flow, packet::Ack, "");
    send(*Flow);
    if (Flow->OnAnswer)
      Flow->OnAnswer(*Flow, Packet->Data);
  }

  loop &Loop;
  record &Record;
  std::uint16_t Port;
  route_function Route;
  int Socket;
  std::uint16_t NextPort = 1024;
  std::map<flow_key, std::shared_ptr<flow>> Flows;
};

} // namespace lab

#endif // REVIEW_LAB_CLIENT_HPP
