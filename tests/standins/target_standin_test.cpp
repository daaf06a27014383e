#include "standins/target_standin.h"

#include "base/findings_error.h"
#include "net/geneve.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

namespace briarpoint {
namespace {

/// A target of service 5 at its start.
class target_started : public testing::Test {
protected:
  static segment fromCaller(std::uint8_t Flags, std::uint32_t Sequence,
                            const std::string &Payload = "") {
    segment Segment;
    Segment.Source = *parseEndpoint("198.18.0.1:5000");
    Segment.Destination = *parseEndpoint("203.0.113.1:80");
    Segment.Flags = Flags;
    Segment.Sequence = Sequence;
    Segment.Payload = Payload;
    return Segment;
  }

  std::vector<segment> send(const segment &Segment, std::uint32_t Vni = 5) {
    std::vector<std::byte> Packet(MaxGeneveHeaderSize);
    const bool IsV6 = Segment.Source.Address.IsV6;
    Packet.resize(writeGeneveHeader(Packet, Vni, IsV6, 0, {}));
    for (const std::byte Byte : encodeSegment(Segment))
      Packet.push_back(Byte);
    std::vector<segment> Replies;
    for (const auto &Reply : Target.handlePacket(Packet, Now)) {
      const auto Parsed = parseSegment(Reply);
      EXPECT_TRUE(Parsed);
      Replies.push_back(Parsed.value_or(segment{}));
    }
    return Replies;
  }

  std::string state() { return nlohmann::json::parse(Target.health(Now))["state"]; }

  instant Now{std::chrono::hours(1)};
  target_standin Target{{"t1", 5, 2, {}}, Now};
};

/// A target with an open TCP connection.
class target_with_connection : public target_started {
protected:
  target_with_connection() {
    const auto Replies = send(fromCaller(TcpSyn, 100));
    NextSequence = Replies.at(0).Sequence + 1;
  }

  std::uint32_t NextSequence = 0;
};

// Guards against a target that accepts packets of another service.
TEST_F(target_started, refusesAnotherVni) {
  EXPECT_TRUE(send(fromCaller(TcpSyn, 100), 6).empty());
  EXPECT_EQ(Target.counters().WrongVni, 1U);
  EXPECT_EQ(Target.counters().FlowsOpened, 0U);
}

// Guards against malformed packets that end the process or open a flow.
TEST_F(target_started, refusesMalformedPackets) {
  const std::string Faults[] = {"", "x", std::string(8, '\0'), std::string(100, '\xff')};
  for (const std::string &Fault : Faults)
    EXPECT_TRUE(Target.handlePacket(std::as_bytes(std::span(Fault)), Now).empty());
  EXPECT_EQ(Target.counters().Malformed + Target.counters().WrongVni, 4U);
  EXPECT_EQ(Target.counters().FlowsOpened, 0U);
}

// Guards against an unknown connection that isn't reset. Balancers rely on the RST.
TEST_F(target_started, resetsUnknownConnections) {
  segment Data = fromCaller(TcpAck, 500, "request");
  Data.Acknowledgement = 900;
  const auto Replies = send(Data);
  ASSERT_EQ(Replies.size(), 1U);
  EXPECT_TRUE(Replies[0].has(TcpRst));
  EXPECT_EQ(Replies[0].Sequence, 900U);
  EXPECT_TRUE(send(fromCaller(TcpRst, 500)).empty());
}

// Guards against executing a request twice when its segment is repeated.
TEST_F(target_with_connection, resendsResponseToRepeatedRequest) {
  for (int I = 0; I < 2; ++I) {
    const auto Replies = send(fromCaller(TcpAck, 101, "flow1/0"));
    ASSERT_EQ(Replies.size(), 1U);
    EXPECT_EQ(Replies[0].Payload, "5 t1 flow1/0");
    EXPECT_EQ(Replies[0].Sequence, NextSequence);
    EXPECT_EQ(Replies[0].Acknowledgement, 108U);
  }
  EXPECT_EQ(Target.counters().Requests, 1U);
}

// Guards against a repeated SYN that opens a second connection.
TEST_F(target_with_connection, resendsSynAckToRepeatedSyn) {
  const auto Replies = send(fromCaller(TcpSyn, 100));
  EXPECT_EQ(Replies.at(0).Sequence + 1, NextSequence);
  EXPECT_EQ(Target.counters().FlowsOpened, 1U);
}

// Guards against connections that stay open after a FIN.
TEST_F(target_with_connection, closesConnections) {
  const auto Replies = send(fromCaller(TcpFin | TcpAck, 101));
  ASSERT_EQ(Replies.size(), 1U);
  EXPECT_TRUE(Replies[0].has(TcpFin));
  EXPECT_EQ(Target.openFlows(), 1U);
  send(fromCaller(TcpAck, 102));
  EXPECT_EQ(Target.openFlows(), 0U);
}

// Guards against faults without effect, or with an effect on something else.
TEST_F(target_with_connection, appliesFaults) {
  EXPECT_EQ(state(), "active");
  Target.setFaults(R"({"draining":true})", Now);
  EXPECT_EQ(state(), "draining");
  Target.setFaults(R"({"misleading_health":true})", Now);
  EXPECT_EQ(state(), "active");
  Target.setFaults(R"({"misleading_health":false})", Now);
  Target.setFaults(R"({"lagging_health":true,"draining":false})", Now);
  Target.setFaults(R"({"shedding":true})", Now);
  EXPECT_EQ(state(), "draining") << "health lags behind";
  EXPECT_TRUE(send(fromCaller(TcpSyn, 999)).at(0).has(TcpRst)) << "shedding refuses new flows";
  EXPECT_EQ(send(fromCaller(TcpAck, 101, "flow1/0")).size(), 1U) << "open flows go on";
  Target.setFaults(R"({"no_health":true})", Now);
  EXPECT_EQ(Target.health(Now), "");
}

// Guards against a silenced connection that replies, or a new one that doesn't.
TEST_F(target_with_connection, silencesOpenConnectionsOnly) {
  Target.setFaults(R"({"silent_connections":true})", Now);
  EXPECT_TRUE(send(fromCaller(TcpAck, 101, "flow1/0")).empty());
  segment Syn = fromCaller(TcpSyn, 100);
  Syn.Source.Port = 5001;
  EXPECT_EQ(send(Syn).size(), 1U);
}

// Guards against a cold start that has no effect or never ends.
TEST(target_during_cold_start, refusesFlowsDuringColdStart) {
  instant Now{std::chrono::hours(1)};
  target_faults Faults;
  Faults.ColdStart = std::chrono::seconds(5);
  target_standin Target({"t1", 5, 2, Faults}, Now);
  EXPECT_EQ(nlohmann::json::parse(Target.health(Now))["state"], "shedding");
  Now += std::chrono::seconds(5);
  EXPECT_EQ(nlohmann::json::parse(Target.health(Now))["state"], "active");
}

// Guards against malformed faults that are applied in part.
TEST_F(target_started, refusesMalformedFaults) {
  const char *const Faults[] = {"",
                                "[]",
                                "{",
                                R"({"draining":1})",
                                R"({"draining":true,"unknown":true})",
                                R"({"draining":true,"cold_start_ms":-1})",
                                R"({"cold_start_ms":3600001})",
                                R"({"cold_start_ms":"1"})"};
  for (const char *Fault : Faults) {
    SCOPED_TRACE(Fault);
    EXPECT_THROW(Target.setFaults(Fault, Now), findings_error);
  }
  EXPECT_EQ(Target.faults(), target_faults{});
}

} // namespace
} // namespace briarpoint
