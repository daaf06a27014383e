#include "standins/tcp_caller_flow.h"
#include "standins/udp_caller_flow.h"

#include <gtest/gtest.h>

namespace briarpoint {
namespace {

caller_settings settings() {
  caller_settings Settings;
  Settings.Caller = *parseEndpoint("198.18.0.1:5000");
  Settings.Service = *parseEndpoint("203.0.113.1:80");
  Settings.Vni = 5;
  Settings.Token = "flow1";
  Settings.Requests = 2;
  return Settings;
}

segment toCaller(segment_kind Kind, std::uint8_t Flags, std::uint32_t Sequence,
                 std::uint32_t Acknowledgement, const std::string &Payload = "") {
  segment Segment;
  Segment.Kind = Kind;
  Segment.Source = settings().Service;
  Segment.Destination = settings().Caller;
  Segment.Flags = Flags;
  Segment.Sequence = Sequence;
  Segment.Acknowledgement = Acknowledgement;
  Segment.Payload = Payload;
  return Segment;
}

/// A TCP flow that has sent its first request and awaits the response.
class tcp_flow_awaiting_response : public testing::Test {
protected:
  tcp_flow_awaiting_response() {
    Flow.tick(Now);
    Flow.handle(toCaller(segment_kind::Tcp, TcpSyn | TcpAck, 300, 101), Now);
    Flow.tick(Now);
  }

  segment response(const std::string &Payload) {
    return toCaller(segment_kind::Tcp, TcpAck, 301, 108, Payload);
  }

  instant Now{std::chrono::hours(1)};
  tcp_caller_flow Flow{settings(), 100};
};

// Guards against a caller that sends anything other than SYN, ACK and its request.
TEST_F(tcp_flow_awaiting_response, hasSentItsRequest) {
  const auto Sent = Flow.takeOutgoing();
  ASSERT_EQ(Sent.size(), 3U);
  EXPECT_EQ(Sent[0].Flags, TcpSyn);
  EXPECT_EQ(Sent[1].Flags, TcpAck);
  EXPECT_EQ(Sent[2].Payload, "flow1/0");
  EXPECT_EQ(Sent[2].Sequence, 101U);
}

// Guards against accepting wrong responses. Each row gives the outcome after one segment.
TEST_F(tcp_flow_awaiting_response, classifiesResponses) {
  struct row {
    const char *Name;
    segment Segment;
    flow_outcome Outcome;
  };
  const row Rows[] = {
      {"right", response("5 t1 flow1/0"), flow_outcome::Running},
      {"wrong service", response("6 t1 flow1/0"), flow_outcome::WrongService},
      {"another request", response("5 t1 flow2/0"), flow_outcome::WrongAnswer},
      {"partial", response("5 t1 flow1/"), flow_outcome::WrongAnswer},
      {"no response of a target", response("garbage"), flow_outcome::WrongAnswer},
      {"RST", toCaller(segment_kind::Tcp, TcpRst, 301, 0), flow_outcome::Broken},
      {"old RST", toCaller(segment_kind::Tcp, TcpRst, 77, 0), flow_outcome::Running},
      {"old segment", toCaller(segment_kind::Tcp, TcpAck, 250, 108, "x"), flow_outcome::Running},
      {"ICMP", toCaller(segment_kind::Icmp, 0, 0, 0), flow_outcome::Broken},
  };
  for (const row &Row : Rows) {
    SCOPED_TRACE(Row.Name);
    tcp_caller_flow Copy = Flow;
    Copy.handle(Row.Segment, Now);
    EXPECT_EQ(Copy.outcome(), Row.Outcome);
  }
}

// Guards against an undetected change of target within a flow.
TEST_F(tcp_flow_awaiting_response, detectsChangeOfTarget) {
  Flow.handle(response("5 t1 flow1/0"), Now);
  Now += settings().Pause;
  Flow.tick(Now);
  Flow.handle(toCaller(segment_kind::Tcp, TcpAck, 313, 115, "5 t2 flow1/1"), Now);
  EXPECT_EQ(Flow.outcome(), flow_outcome::WrongAnswer);
}

// Guards against a flow that ends at the first lost packet, and one that waits forever.
TEST_F(tcp_flow_awaiting_response, retransmitsAndTimesOut) {
  Flow.takeOutgoing();
  Now += settings().RetransmitInterval;
  Flow.tick(Now);
  const auto Sent = Flow.takeOutgoing();
  ASSERT_EQ(Sent.size(), 1U);
  EXPECT_EQ(Sent[0].Payload, "flow1/0");
  Now += settings().ResponseTimeout;
  Flow.tick(Now);
  EXPECT_EQ(Flow.outcome(), flow_outcome::Unanswered);
}

// Guards against a refused setup counted as a broken flow.
TEST(opening_tcp_flow, reportsRefusedSetups) {
  instant Now{std::chrono::hours(1)};
  tcp_caller_flow Flow(settings(), 100);
  Flow.tick(Now);
  Flow.handle(toCaller(segment_kind::Tcp, TcpRst | TcpAck, 0, 101), Now);
  EXPECT_EQ(Flow.outcome(), flow_outcome::Refused);
}

// Guards against the second response to a retransmitted datagram counted as wrong.
TEST(udp_flow, ignoresRepeatedResponses) {
  instant Now{std::chrono::hours(1)};
  udp_caller_flow Flow(settings());
  Flow.tick(Now);
  Flow.handle(toCaller(segment_kind::Udp, 0, 0, 0, "5 t1 flow1/0"), Now);
  Flow.handle(toCaller(segment_kind::Udp, 0, 0, 0, "5 t1 flow1/0"), Now);
  EXPECT_EQ(Flow.outcome(), flow_outcome::Running);
  Now += settings().Pause;
  Flow.tick(Now);
  Flow.handle(toCaller(segment_kind::Udp, 0, 0, 0, "6 t1 flow1/1"), Now);
  EXPECT_EQ(Flow.outcome(), flow_outcome::WrongService);
}

} // namespace
} // namespace briarpoint
