#include "core/flow/silence_detector.h"

#include <gtest/gtest.h>

namespace briarpoint {
namespace {

/// A packet of the caller and its arrival time.
struct step {
  double Seconds;
  std::uint32_t Sequence;
  std::uint32_t Acknowledgement;
  std::uint16_t Payload;
};

struct tcp_case {
  const char *Name;
  std::vector<step> Steps;
  /// Last time in seconds at which the target served another flow; negative for never.
  double OthersServedAt;
  /// Index of the step at which the flow is silent; -1 if there is none.
  int SilentStep;
};

instant at(double Seconds) {
  return instant(std::chrono::hours(1)) + duration(static_cast<std::int64_t>(Seconds * 1e9));
}

packet_view tcpPacket(const step &Step) {
  packet_view View;
  View.Protocol = transport::Tcp;
  View.Flags = TcpAck;
  View.Sequence = Step.Sequence;
  View.Acknowledgement = Step.Acknowledgement;
  View.PayloadSize = Step.Payload;
  return View;
}

// Guards against healthy flows that are ended, and silent ones that aren't. Each row meets the
// criterion or fails one part of it.
TEST(silence_detector, TcpCriterion) {
  const tcp_case Table[] = {
      {"silent", {{0, 1, 9, 10}, {1, 1, 9, 10}, {3, 1, 9, 10}, {7, 1, 9, 10}}, 5, 3},
      {"seen three times only", {{0, 1, 9, 10}, {3, 1, 9, 10}, {7, 1, 9, 10}}, 5, -1},
      {"four times within 4.9 s",
       {{0, 1, 9, 10}, {1, 1, 9, 10}, {2, 1, 9, 10}, {4.9, 1, 9, 10}},
       4,
       -1},
      {"fifth time after 5 s",
       {{0, 1, 9, 10}, {1, 1, 9, 10}, {2, 1, 9, 10}, {4.9, 1, 9, 10}, {5.1, 1, 9, 10}},
       4,
       4},
      {"target served no other flow",
       {{0, 1, 9, 10}, {1, 1, 9, 10}, {3, 1, 9, 10}, {7, 1, 9, 10}},
       -1,
       -1},
      {"target served others only before",
       {{10, 1, 9, 10}, {11, 1, 9, 10}, {13, 1, 9, 10}, {17, 1, 9, 10}},
       9,
       -1},
      {"keepalive probes without payload",
       {{0, 1, 9, 0}, {2, 1, 9, 0}, {4, 1, 9, 0}, {6, 1, 9, 0}, {8, 1, 9, 0}},
       5,
       -1},
      {"keepalive probes with 1 byte",
       {{0, 1, 9, 1}, {2, 1, 9, 1}, {4, 1, 9, 1}, {6, 1, 9, 1}, {8, 1, 9, 1}},
       5,
       -1},
      {"smallest payload that counts",
       {{0, 1, 9, 2}, {2, 1, 9, 2}, {4, 1, 9, 2}, {6, 1, 9, 2}},
       5,
       3},
      {"acknowledgement progresses",
       {{0, 1, 9, 10}, {1, 1, 9, 10}, {3, 1, 20, 10}, {7, 1, 20, 10}, {8, 1, 20, 10}},
       5,
       -1},
      {"older acknowledgement of a reordered packet is no progress",
       {{0, 1, 9, 10}, {1, 1, 9, 10}, {3, 1, 8, 10}, {7, 1, 9, 10}},
       5,
       3},
      {"acknowledgement progresses across the wrap-around",
       {{0, 1, 0xFFFFFFF0, 10},
        {1, 1, 0xFFFFFFF0, 10},
        {3, 1, 5, 10},
        {7, 1, 5, 10},
        {8, 1, 5, 10}},
       5,
       -1},
      {"upload of new data without replies",
       {{0, 1, 9, 10}, {2, 11, 9, 10}, {4, 21, 9, 10}, {6, 31, 9, 10}, {8, 41, 9, 10}},
       5,
       -1},
      {"burst of which the first segment is repeated",
       {{0, 1, 9, 10},
        {0.01, 11, 9, 10},
        {0.02, 21, 9, 10},
        {1, 1, 9, 10},
        {3, 1, 9, 10},
        {7, 1, 9, 10}},
       5,
       5},
      {"silent after a successful retransmission",
       {{0, 1, 9, 10},
        {1, 1, 9, 10},
        {2, 11, 9, 10},
        {3, 11, 9, 10},
        {5, 11, 9, 10},
        {9, 11, 9, 10}},
       6,
       5},
  };
  const silence_detector Detector(4, std::chrono::seconds(5));
  for (const tcp_case &Case : Table) {
    SCOPED_TRACE(Case.Name);
    silence_state State;
    int SilentStep = -1;
    for (std::size_t I = 0; I < Case.Steps.size() && SilentStep < 0; ++I) {
      const step &Step = Case.Steps[I];
      instant Progress = instant::min();
      if (Case.OthersServedAt >= 0 && Case.OthersServedAt <= Step.Seconds)
        Progress = at(Case.OthersServedAt);
      if (Detector.observe(State, tcpPacket(Step), at(Step.Seconds), Progress))
        SilentStep = static_cast<int>(I);
    }
    EXPECT_EQ(SilentStep, Case.SilentStep);
  }
}

// Guards against progress of a flow that isn't recorded for its target, so that no other flow of
// the target is ever found silent, and against recording progress for a first or repeated number.
TEST(silence_detector, ProgressIsRecordedForTheTarget) {
  const silence_detector Detector(4, std::chrono::seconds(5));
  silence_state State;
  instant Progress = instant::min();
  Detector.observe(State, tcpPacket({0, 1, 9, 0}), at(0), Progress);
  EXPECT_EQ(Progress, instant::min());
  Detector.observe(State, tcpPacket({1, 1, 9, 0}), at(1), Progress);
  EXPECT_EQ(Progress, instant::min());
  Detector.observe(State, tcpPacket({2, 1, 10, 0}), at(2), Progress);
  EXPECT_EQ(Progress, at(2));
}

// Guards against a datagram flow that is ended although its target replied, and a silent one that
// isn't ended.
TEST(silence_detector, UdpCriterion) {
  const silence_detector Detector(4, std::chrono::seconds(5));
  packet_view Datagram;
  Datagram.Protocol = transport::Udp;
  for (const bool Replied : {false, true}) {
    SCOPED_TRACE(Replied);
    silence_state State;
    instant Progress = instant::min();
    for (const double Time : {0.0, 2.0, 4.0})
      EXPECT_FALSE(Detector.observe(State, Datagram, at(Time), Progress));
    if (Replied)
      silence_detector::observeReply(State, at(5), Progress);
    else
      Progress = at(5);
    EXPECT_EQ(Detector.observe(State, Datagram, at(6), Progress), !Replied);
  }
}

} // namespace
} // namespace briarpoint
