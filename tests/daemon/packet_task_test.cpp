#include "standins/traffic_standin.h"
#include "tests/daemon/fabric_support.h"

#include <gtest/gtest.h>

namespace briarpoint {
namespace {

std::vector<std::byte> toBytes(const std::string &Text) {
  const auto *const Data = reinterpret_cast<const std::byte *>(Text.data());
  return {Data, Data + Text.size()};
}

/// Encapsulates an IP packet in Geneve, with a hand-over option if \p OptionBody isn't empty.
std::vector<std::byte> geneve(std::uint32_t Vni, std::uint8_t OptionType,
                              std::span<const std::byte> OptionBody,
                              std::span<const std::byte> Inner) {
  std::vector<std::byte> Packet(MaxGeneveHeaderSize);
  Packet.resize(writeGeneveHeader(Packet, Vni, false, OptionType, OptionBody));
  Packet.insert(Packet.end(), Inner.begin(), Inner.end());
  return Packet;
}

segment synOf(const endpoint &Service) {
  segment Syn;
  Syn.Source = *parseEndpoint("198.18.0.1:5000");
  Syn.Destination = Service;
  Syn.Flags = TcpSyn;
  Syn.Sequence = 100;
  return Syn;
}

/// Three balancers and two targets per service with a view.
class fabric_with_view : public testing::Test {
protected:
  fabric_with_view() { Fabric.publishView(1); }

  endpoint balancer(std::size_t Index = 0) { return Fabric.Balancers[Index].Task.local(); }
  const packet_task_counters &counters() { return Fabric.Balancers[0].Task.counters(); }

  packet_fabric Fabric{3, 2};
};

// Guards against a fault anywhere on the path from caller over ingress, owners and target and back.
TEST_F(fabric_with_view, carriesFlowSetups) {
  const auto Syn = encodeSegment(synOf(Fabric.serviceEndpoint(1, 80)));
  Fabric.FabricPort.send(balancer(), 0, Syn);
  Fabric.FabricPort.flush();
  Fabric.settle();
  const auto Arrived = Fabric.takeFromFabric();
  ASSERT_EQ(Arrived.size(), 1U);
  const auto Outer = parseGeneve(Arrived[0]);
  ASSERT_TRUE(Outer);
  const auto SynAck = parseSegment(Outer->Inner);
  ASSERT_TRUE(SynAck);
  EXPECT_EQ(SynAck->Flags, TcpSyn | TcpAck);
  EXPECT_EQ(SynAck->Acknowledgement, 101U);
}

/// A datagram that must be refused, and the counter that must rise.
struct packet_fault {
  const char *Name;
  /// Socket that sends the datagram.
  enum class sender : std::uint8_t { Fabric, UnknownSender, Target, Balancer } From;
  std::vector<std::byte> Payload;
  std::uint64_t packet_task_counters::*Counter;
};

class packet_faults : public fabric_with_view {
protected:
  std::vector<packet_fault> table() {
    using sender = packet_fault::sender;
    const auto Inner = encodeSegment(synOf(Fabric.serviceEndpoint(1, 80)));
    std::array<std::byte, MaxHandoverSize> Option;
    handover Handover;
    Handover.Kind = handover_kind::ToOwner;
    const std::span<const std::byte> Body =
        std::span(Option).first(writeHandover(Handover, Option));
    const auto WithOption = geneve(0, 1, Body, Inner);
    auto Truncated = geneve(1, 0, {}, Inner);
    Truncated.resize(6);
    return {
        {"empty", sender::Fabric, {}, &packet_task_counters::Malformed},
        {"not Geneve", sender::Fabric, toBytes("hello world, this is no Geneve"),
         &packet_task_counters::Malformed},
        {"truncated header", sender::Fabric, Truncated, &packet_task_counters::Malformed},
        {"unknown source", sender::UnknownSender, geneve(1, 0, {}, Inner),
         &packet_task_counters::UnknownSource},
        {"hand-over of an unknown source", sender::UnknownSender, WithOption,
         &packet_task_counters::UnexpectedHandover},
        {"hand-over of the fabric", sender::Fabric, WithOption,
         &packet_task_counters::UnexpectedHandover},
        {"hand-over of a target", sender::Target, WithOption,
         &packet_task_counters::UnexpectedHandover},
        {"unknown option type", sender::Balancer, geneve(0, 99, Body, Inner),
         &packet_task_counters::MalformedHandover},
        {"short option", sender::Balancer, geneve(0, 4, Body.first(4), Inner),
         &packet_task_counters::MalformedHandover},
        {"reply with the VNI of another service", sender::Target, geneve(2, 0, {}, Inner),
         &packet_task_counters::WrongVni},
    };
  }

  /// Sends from the chosen socket. A balancer's own socket can't be used from outside, so the view
  /// announces a socket of this test as a balancer's.
  void send(const packet_fault &Fault) {
    switch (Fault.From) {
    case packet_fault::sender::Fabric:
      return packet_fabric::sendRaw(Fabric.FabricPort, balancer(), Fault.Payload);
    case packet_fault::sender::UnknownSender:
      return packet_fabric::sendRaw(UnknownSender, balancer(), Fault.Payload);
    case packet_fault::sender::Target:
      return packet_fabric::sendRaw(Fabric.Targets[0].Port, balancer(), Fault.Payload);
    case packet_fault::sender::Balancer:
      break;
    }
    forwarding_view_parts Parts;
    Parts.Members = {{makeMemberId("peer"), "dc", "", localEndpoint(Peer.descriptor()),
                      member_state::Ready, false}};
    Fabric.Balancers[0].Commands.push(apply_view{std::make_shared<forwarding_view>(Parts)});
    Fabric.settle();
    packet_fabric::sendRaw(Peer, balancer(), Fault.Payload);
  }

  geneve_socket UnknownSender{{parseEndpoint("127.0.0.1:1")->Address, 0}};
  geneve_socket Peer{{parseEndpoint("127.0.0.1:1")->Address, 0}};
};

// Guards against invalid packets that are accepted or end the process. Each is counted under its
// own reason, nothing is forwarded, and the next datagram is handled.
TEST_F(packet_faults, areCountedAndRefused) {
  for (const packet_fault &Fault : table()) {
    SCOPED_TRACE(Fault.Name);
    Fabric.publishView(1);
    const packet_task_counters Before = counters();
    send(Fault);
    Fabric.settle();
    const packet_task_counters After = counters();
    EXPECT_EQ(After.*Fault.Counter, Before.*Fault.Counter + 1);
    EXPECT_EQ(After.refused(), Before.refused() + 1);
    EXPECT_EQ(After.Sent, Before.Sent);
    EXPECT_TRUE(Fabric.takeFromFabric().empty());
  }
}

// Guards against packets that are forwarded before the process has a view.
TEST(packet_task_without_view, dropsEverything) {
  packet_fabric Fabric(1, 1);
  const auto Syn = encodeSegment(synOf(Fabric.serviceEndpoint(1, 80)));
  Fabric.FabricPort.send(Fabric.Balancers[0].Task.local(), 0, Syn);
  Fabric.FabricPort.flush();
  Fabric.settle();
  EXPECT_EQ(Fabric.Balancers[0].Task.counters().Received, 1U);
  EXPECT_EQ(Fabric.Balancers[0].Task.counters().Sent, 0U);
}

/// Callers with flows to both services, every packet to a random balancer.
class traffic_over_fabric : public fabric_with_view {
protected:
  static traffic_settings settings() {
    traffic_settings Settings;
    Settings.Services = {
        {"service1", 1, *parseEndpoint("203.0.113.1:80"), *parseEndpoint("203.0.113.1:53")},
        {"service2", 2, *parseEndpoint("203.0.113.2:80"), *parseEndpoint("203.0.113.2:53")}};
    Settings.TcpFlows = 40;
    Settings.UdpFlows = 20;
    Settings.OpeningPeriod = std::chrono::seconds(2);
    return Settings;
  }

  void round() {
    Callers.tick(Fabric.Clock.now());
    for (const auto &Packet : Callers.takeOutgoing())
      Fabric.FabricPort.send(balancer(Fabric.Random.below(Fabric.Balancers.size())), 0, Packet);
    Fabric.FabricPort.flush();
    Fabric.settle();
    for (const auto &Payload : Fabric.takeFromFabric()) {
      const auto Outer = parseGeneve(Payload);
      ASSERT_TRUE(Outer);
      Callers.handlePacket(Outer->Inner, Fabric.Clock.now());
    }
    Fabric.Clock.advance(std::chrono::milliseconds(20));
  }

  void runToEnd() {
    for (int I = 0; I < 1000 && !Callers.finished(); ++I)
      round();
  }

  traffic_standin Callers{settings(), Fabric.Clock.now()};
};

// Guards against broken flows and answers from the wrong service when packets are sprayed.
TEST_F(traffic_over_fabric, finishesEveryFlow) {
  runToEnd();
  const traffic_result Result = Callers.result();
  EXPECT_EQ(Result.Flows, 120U);
  EXPECT_EQ(Result.Finished, 120U) << toJson(Result);
  for (const auto &Target : Fabric.Targets)
    EXPECT_EQ(Target.Target.counters().WrongVni, 0U);
}

// Guards against flows that break, or new flows on a leaving target, when the view changes.
TEST_F(traffic_over_fabric, keepsFlowsOfALeavingTarget) {
  for (int I = 0; I < 50; ++I)
    round();
  Fabric.publishView(2, {0});
  const std::uint64_t OpenedBefore = Fabric.Targets[0].Target.counters().FlowsOpened;
  runToEnd();
  EXPECT_EQ(Callers.result().Finished, 120U) << toJson(Callers.result());
  EXPECT_GT(OpenedBefore, 0U);
  EXPECT_EQ(Fabric.Targets[0].Target.counters().FlowsOpened, OpenedBefore);
}

// Guards against missing messages to the control task: counters, observations, records.
TEST_F(traffic_over_fabric, reportsToTheControlTask) {
  runToEnd();
  Fabric.Clock.advance(std::chrono::seconds(2));
  Fabric.Balancers[0].Commands.push(request_records{17});
  Fabric.settle();
  bool Counters = false;
  bool Observations = false;
  bool Records = false;
  for (const packet_report &Report : Fabric.Balancers[0].Reports.popAll()) {
    if (const auto *Found = std::get_if<counters_report>(&Report))
      Counters = Counters || Found->DataPlane.FlowsOpened > 0;
    if (const auto *Found = std::get_if<observation_report>(&Report))
      Observations = Observations || !Found->Observations.empty();
    if (const auto *Found = std::get_if<records_report>(&Report))
      Records = Found->Request == 17 && !Found->Records.empty();
  }
  EXPECT_TRUE(Counters);
  EXPECT_TRUE(Observations);
  EXPECT_TRUE(Records);
}

// Guards against a task that can't be ended.
TEST_F(fabric_with_view, endsOnRequest) {
  Fabric.Balancers[0].Commands.push(end_task{});
  EXPECT_FALSE(Fabric.Balancers[0].Task.step(std::chrono::milliseconds(0)));
}

} // namespace
} // namespace briarpoint
