// Compares the packets per second that the packet task relays with those of a bare loop of recvmmsg
// and sendmmsg with the same batches and packets. Both run in turns in one process, each on one
// core. The ratio must be at least 0.8.

#include "base/seeded_random.h"
#include "daemon/packet_task.h"
#include "io/socket_address.h"
#include "io/sockets.h"
#include "standins/segment.h"

#include <pthread.h>
#include <sched.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <cstdio>
#include <thread>

namespace briarpoint {
namespace {

constexpr double RequiredRatio = 0.8;
constexpr std::size_t FlowCount = 1000;
constexpr std::size_t PayloadSize = 128;
constexpr int Rounds = 7;
constexpr auto RoundDuration = std::chrono::milliseconds(400);
constexpr std::size_t MaxDatagramSize = 9216;

endpoint loopback() { return {*parseIpAddress("127.0.0.1"), 0}; }

void pinToCore(unsigned Core) {
  cpu_set_t Set;
  CPU_ZERO(&Set);
  CPU_SET(Core % std::max(1U, std::thread::hardware_concurrency()), &Set);
  // If the process isn't allowed to set its affinity, the scheduler chooses the core.
  pthread_setaffinity_np(pthread_self(), sizeof(Set), &Set);
}

segment makeSegment(std::size_t Flow, std::uint8_t Flags) {
  segment Segment;
  Segment.Source = *parseEndpoint("198.18.0.1:1");
  Segment.Source.Port = static_cast<std::uint16_t>(2000 + Flow);
  Segment.Destination = *parseEndpoint("203.0.113.1:80");
  Segment.Flags = Flags;
  Segment.Sequence = (Flags & TcpSyn) != 0 ? 100 : 101;
  return Segment;
}

/// Sends one packet of each flow in turn until it is stopped.
class generator {
public:
  generator(int Socket, const endpoint &To) : Socket(Socket), To(To) {
    for (std::size_t Flow = 0; Flow < FlowCount; ++Flow) {
      segment Segment = makeSegment(Flow, TcpAck);
      Segment.Payload.assign(PayloadSize, 'x');
      Packets.push_back(encodeSegment(Segment));
    }
  }

  /// Returns how many packets were sent.
  std::uint64_t run(const std::atomic<bool> &Stop) const {
    std::uint64_t Sent = 0;
    send_batch Batch(packet_task::BatchSize, MaxGeneveHeaderSize, MaxDatagramSize);
    for (std::size_t Next = 0; !Stop; Next = (Next + 1) % Packets.size()) {
      if (Batch.full())
        Sent += Batch.flush(Socket);
      const std::size_t Size = writeGeneveHeader(Batch.nextHeader(), 0, false, 0, {});
      Batch.push(To, Size, Packets[Next], false);
    }
    return Sent;
  }

private:
  int Socket;
  endpoint To;
  std::vector<std::vector<std::byte>> Packets;
};

/// Receives and discards packets until it is stopped.
void discardPackets(int Socket, const std::atomic<bool> &Stop) {
  receive_batch Batch(packet_task::BatchSize, MaxDatagramSize);
  while (!Stop)
    Batch.receive(Socket);
}

/// The bare loop: sends each received datagram on unchanged.
class bare_relay {
public:
  explicit bare_relay(const endpoint &To) : Socket(openUdpSocket(loopback())), To(To) {}

  endpoint local() const { return localEndpoint(Socket.get()); }
  std::uint64_t sent() const { return Sent; }

  void run(const std::atomic<bool> &Stop) {
    receive_batch Incoming(packet_task::BatchSize, MaxDatagramSize);
    send_batch Outgoing(packet_task::BatchSize, MaxGeneveHeaderSize, MaxDatagramSize);
    while (!Stop) {
      const std::size_t Count = Incoming.receive(Socket.get());
      for (std::size_t I = 0; I < Count; ++I)
        Outgoing.push(To, 0, Incoming.payload(I), false);
      Sent += Outgoing.flush(Socket.get());
    }
  }

private:
  file_descriptor Socket;
  endpoint To;
  std::uint64_t Sent = 0;
};

/// A packet task that owns all flows, with one service and one target.
class task_relay {
public:
  task_relay(const endpoint &Fabric, const endpoint &Target)
      : Task(settingsFor(Fabric), Clock, Random, Commands, Reports) {
    forwarding_view_parts Parts;
    Parts.Services = {{service_id{1},
                       "service",
                       *parseIpAddress("203.0.113.1"),
                       {{80, transport::Tcp, request_class::Normal}},
                       {0}}};
    Parts.Targets = {{target_id{1}, service_id{1}, Target, 1.0, true, false}};
    Parts.Members = {{makeMemberId("self"), "dc", "", Task.local(), member_state::Ready, false}};
    Parts.Owners = ownership_table::build(Parts.Members, ownership_scope::DataCentre, "dc", false);
    Parts.NextOwners = Parts.Owners;
    Commands.push(apply_view{std::make_shared<const forwarding_view>(std::move(Parts))});
    Task.step(std::chrono::milliseconds(0));
  }

  endpoint local() const { return Task.local(); }
  std::uint64_t sent() const { return Task.counters().Sent; }
  void step() { Task.step(std::chrono::milliseconds(0)); }

  void run(const std::atomic<bool> &Stop) {
    while (!Stop)
      step();
  }

private:
  static packet_task_settings settingsFor(const endpoint &Fabric) {
    packet_task_settings Settings;
    Settings.Self = makeMemberId("self");
    Settings.Data = loopback();
    Settings.Fabric = Fabric;
    Settings.DataPlane.HashSeed = 1;
    return Settings;
  }

  steady_time_source Clock;
  seeded_random Random{1};
  packet_commands Commands;
  packet_reports Reports;
  packet_task Task;
};

/// Opens all flows, so that the measured packets belong to known flows. Returns false if a packet
/// of a setup wasn't relayed.
bool openFlows(task_relay &Relay, int Fabric, int Target) {
  send_batch Batch(1, MaxGeneveHeaderSize, MaxDatagramSize);
  receive_batch Received(packet_task::BatchSize, MaxDatagramSize);
  const auto Send = [&](int Socket, std::uint32_t Vni, const segment &Segment) {
    const std::size_t Size = writeGeneveHeader(Batch.nextHeader(), Vni, false, 0, {});
    Batch.push(Relay.local(), Size, encodeSegment(Segment), true);
    Batch.flush(Socket);
    Relay.step();
  };
  for (std::size_t Flow = 0; Flow < FlowCount; ++Flow) {
    Send(Fabric, 0, makeSegment(Flow, TcpSyn));
    if (Received.receive(Target) != 1)
      return false;
    segment SynAck = makeSegment(Flow, TcpSyn | TcpAck);
    std::swap(SynAck.Source, SynAck.Destination);
    SynAck.Acknowledgement = 101;
    Send(Target, 1, SynAck);
    if (Received.receive(Fabric) != 1)
      return false;
  }
  return true;
}

/// Packets per second.
struct rates {
  double Offered = 0;
  double Relayed = 0;
};

/// Runs a relay for one round.
template <typename Relay> rates measureRound(Relay &Measured, int Fabric, int Target) {
  std::atomic<bool> StopRelay = false;
  std::atomic<bool> StopOthers = false;
  std::thread Sink([&] {
    pinToCore(2);
    discardPackets(Target, StopOthers);
  });
  // One generator can be slower than the relay; two together are faster.
  std::array<std::uint64_t, 2> Offered{};
  const auto Offer = [&](unsigned Core, std::uint64_t &Sent) {
    pinToCore(Core);
    Sent = generator(Fabric, Measured.local()).run(StopOthers);
  };
  std::thread FirstSource([&] { Offer(0, Offered[0]); });
  std::thread SecondSource([&] { Offer(3, Offered[1]); });
  const std::uint64_t Before = Measured.sent();
  const auto Start = std::chrono::steady_clock::now();
  std::thread Worker([&] {
    pinToCore(1);
    Measured.run(StopRelay);
  });
  std::this_thread::sleep_for(RoundDuration);
  StopRelay = true;
  Worker.join();
  const std::chrono::duration<double> Elapsed = std::chrono::steady_clock::now() - Start;
  StopOthers = true;
  FirstSource.join();
  SecondSource.join();
  Sink.join();
  return {static_cast<double>(Offered[0] + Offered[1]) / Elapsed.count(),
          static_cast<double>(Measured.sent() - Before) / Elapsed.count()};
}

double median(std::vector<double> Values) {
  std::sort(Values.begin(), Values.end());
  return Values[Values.size() / 2];
}

int runBenchmark() {
  const file_descriptor Fabric = openUdpSocket(loopback());
  const file_descriptor Target = openUdpSocket(loopback());
  task_relay Task(localEndpoint(Fabric.get()), localEndpoint(Target.get()));
  bare_relay BareRelay(localEndpoint(Target.get()));
  if (!openFlows(Task, Fabric.get(), Target.get())) {
    std::fprintf(stderr, "opening the flows failed: a setup packet was not relayed\n");
    return 2;
  }
  std::vector<double> TaskRates;
  std::vector<double> BareRates;
  std::vector<double> Ratios;
  // Ratio of offered to relayed packets. Above 1, the relay and not the generators is the limit.
  std::vector<double> LoadRatios;
  for (int I = 0; I < Rounds; ++I) {
    const rates BareRound = measureRound(BareRelay, Fabric.get(), Target.get());
    const rates TaskRound = measureRound(Task, Fabric.get(), Target.get());
    BareRates.push_back(BareRound.Relayed);
    TaskRates.push_back(TaskRound.Relayed);
    Ratios.push_back(TaskRound.Relayed / BareRound.Relayed);
    LoadRatios.push_back(BareRound.Offered / BareRound.Relayed);
  }
  const double Ratio = median(Ratios);
  std::printf("bare loop    %10.0f packets/s (median of %d rounds)\n", median(BareRates), Rounds);
  std::printf("packet task  %10.0f packets/s\n", median(TaskRates));
  std::printf("ratio        %10.3f (required: at least %.1f)\n", Ratio, RequiredRatio);
  std::printf("offered load %10.2f times what the bare loop relays\n", median(LoadRatios));
  if (median(LoadRatios) < 1.1) {
    std::fprintf(stderr, "inconclusive: the packet generators limited the rate, not the relay\n");
    return 2;
  }
  return Ratio >= RequiredRatio ? 0 : 1;
}

} // namespace
} // namespace briarpoint

int main() { return briarpoint::runBenchmark(); }
