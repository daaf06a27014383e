#ifndef REVIEW_LAB_HOST_HPP
#define REVIEW_LAB_HOST_HPP

#include "loop.hpp"
#include "net.hpp"

#include <deque>

namespace lab {

/// A stand-in for a host, in the form `echo`. It answers a request, which is one packet, after its
/// work time, in as many slots as it has.
class host {
public:
  host(loop &Loop, record &Record, std::string Name, std::uint64_t Identity, std::string Service,
       std::uint32_t Address, std::uint16_t Port, std::uint16_t ClientPort)
      : Name(std::move(Name)), Service(std::move(Service)), Identity(Identity), Loop(Loop),
        Record(Record), Address(Address), Port(Port), ClientPort(ClientPort),
        Socket(openSocket(SOCK_DGRAM, Address, Port)) {
    Loop.onReadable(
        Socket, [this] { receiveAll(Socket, [this](std::string_view Bytes) { receive(Bytes); }); });
  }
  ~host() {
    Loop.remove(Socket);
    close(Socket);
  }
  host(const host &) = delete;
  host &operator=(const host &) = delete;

  std::string address() const { return dotted(Address, Port); }
  bool holdsOpen(const flow_key &Flow) const {
    const auto Found = Flows.find(Flow);
    return Found != Flows.end() && Found->second.Open;
  }

  const std::string Name;
  const std::string Service;
  const std::uint64_t Identity;
  std::size_t Slots = 2;
  double WorkMs = 20;
  /// Work times of the next requests; empty: WorkMs.
  std::function<double()> Work;
  /// Called when the first packet of a flow arrives.
  std::function<void(const flow_key &)> OnOpening;
  std::function<void(const flow_key &)> OnOpen;
  /// Called when a request begins to run.
  std::function<void(const std::string &)> OnRun;
  /// Called when this host resets a flow that it doesn't hold.
  std::function<void(const flow_key &)> OnReset;

private:
  struct flow {
    std::uint32_t ClientSeq = 0;
    std::uint32_t OwnSeq = 0;
    std::uint32_t Expected = 0;
    std::uint32_t Echo = 0;
    bool Open = false;
    /// The request that runs or waits.
    bool Busy = false;
    std::string LastAnswer;
    std::uint32_t LastAnswerSeq = 0;
  };

  void send(const flow_key &Key, unsigned Flags, std::uint32_t Seq, std::uint32_t Acked,
            std::uint32_t Echo, const std::string &Data) {
    packet Packet;
    Packet.Flags = Flags;
    Packet.Seq = Seq;
    Packet.Acked = Acked;
    Packet.Echo = Echo;
    Packet.Src = Key.Dst;
    Packet.Sport = Key.Dport;
    Packet.Dst = Key.Src;
    Packet.Dport = Key.Sport;
    Packet.Data = Data;
    sendTo(Socket, Key.Src, ClientPort, Packet.encode());
  }

  void receive(std::string_view Bytes) {
    if (Bytes.size() < 8)
      return;
    std::uint64_t Intended = 0;
    for (int I = 0; I < 8; ++I)
      Intended = Intended << 8 | static_cast<unsigned char>(Bytes[static_cast<std::size_t>(I)]);
    if (Intended != 0 && Intended != Identity)
      return;
    const std::optional<packet> Packet = packet::decode(Bytes.substr(8));
    if (!Packet || !Packet->intact()) {
      Record.line("UNASKED? host " + Name + " got a packet that its sender didn't write so");
      return;
    }
    const flow_key Key{Packet->Src, Packet->Sport, Packet->Dst, Packet->Dport};
    if ((Packet->Flags & packet::Syn) != 0) {
      open(Key, *Packet);
      return;
    }
    const auto Found = Flows.find(Key);
    if (Found == Flows.end() ||
        (!Found->second.Open && Packet->Acked != Found->second.OwnSeq + 1)) {
      if ((Packet->Flags & (packet::Rst | packet::Fin)) != 0)
        return;
      if (OnReset)
        OnReset(Key);
      send(Key, packet::Rst, Packet->Acked, Packet->Seq, Packet->Echo, "");
      return;
    }
    flow &Flow = Found->second;
    Flow.Echo = Packet->Echo;
    if (!Flow.Open) {
      Flow.Open = true;
      if (OnOpen)
        OnOpen(Key);
    }
    if ((Packet->Flags & packet::Rst) != 0) {
      Flows.erase(Found);
    } else if ((Packet->Flags & packet::Fin) != 0) {
      send(Key, packet::Fin | packet::Ack, Flow.OwnSeq + 1, Packet->Seq + 1, Flow.Echo, "");
      Flows.erase(Found);
    } else if (!Packet->Data.empty()) {
      take(Key, Flow, *Packet);
    }
  }

  void open(const flow_key &Key, const packet &Packet) {
    auto Found = Flows.find(Key);
    if (Found == Flows.end() || Found->second.ClientSeq != Packet.Seq) {
      if (OnOpening)
        OnOpening(Key);
      flow Flow;
      Flow.ClientSeq = Packet.Seq;
      Flow.OwnSeq = static_cast<std::uint32_t>(std::rand());
      Flow.Expected = Packet.Seq + 1;
      Found = Flows.insert_or_assign(Key, Flow).first;
    }
    flow &Flow = Found->second;
    if (!Flow.Open)
      send(Key, packet::Syn | packet::Ack, Flow.OwnSeq, Packet.Seq + 1, Packet.Echo, "");
  }

  void take(const flow_key &Key, flow &Flow, const packet &Packet) {
    if (Packet.Seq != Flow.Expected) {
      // A repeat of an answered request: the answer was lost.
      if (!Flow.LastAnswer.empty() && Packet.Seq + Packet.Data.size() == Flow.Expected)
        send(Key, packet::Ack, Flow.LastAnswerSeq, Flow.Expected, Flow.Echo, Flow.LastAnswer);
      return;
    }
    if (Flow.Busy)
      return;
    Flow.Busy = true;
    Queue.push_back({Key, Packet.Data});
    runNext();
  }

  void runNext() {
    if (Running >= Slots || Queue.empty())
      return;
    const auto [Key, Data] = Queue.front();
    Queue.pop_front();
    ++Running;
    if (OnRun)
      OnRun(Data);
    Loop.after(Work ? Work() : WorkMs, [this, Key = Key, Data = Data] {
      --Running;
      const auto Found = Flows.find(Key);
      if (Found != Flows.end()) {
        flow &Flow = Found->second;
        Flow.Busy = false;
        Flow.Expected += static_cast<std::uint32_t>(Data.size());
        Flow.LastAnswerSeq =
            Flow.LastAnswer.empty()
                ? Flow.OwnSeq + 1
                : Flow.LastAnswerSeq + static_cast<std::uint32_t>(Flow.LastAnswer.size());
        Flow.LastAnswer = "answer of " + Service + " to " + Data;
        send(Key, packet::Ack, Flow.LastAnswerSeq, Flow.Expected, Flow.Echo, Flow.LastAnswer);
      }
      runNext();
    });
  }

  loop &Loop;
  record &Record;
  std::uint32_t Address;
  std::uint16_t Port;
  std::uint16_t ClientPort;
  int Socket;
  std::map<flow_key, flow> Flows;
  std::deque<std::pair<flow_key, std::string>> Queue;
  std::size_t Running = 0;
};

} // namespace lab

#endif // REVIEW_LAB_HOST_HPP
