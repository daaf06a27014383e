#ifndef BRIARPOINT_TESTS_DATA_FABRIC_SUPPORT_H
#define BRIARPOINT_TESTS_DATA_FABRIC_SUPPORT_H

#include "tests/data/simulated_fabric_support.h"

#include <gtest/gtest.h>

namespace briarpoint::testing {

/// Initial sequence number of the caller in the scenarios.
inline constexpr std::uint32_t Isn = 1000;

/// A fabric of six balancers, and a caller that hasn't sent any packet.
class fabric : public ::testing::Test {
protected:
  void send(std::uint8_t Flags, std::uint32_t Sequence, std::uint32_t Ack = 0,
            std::size_t Payload = 0, std::size_t Balancer = 0) {
    Net.forward(Balancer, segment(Caller, Service, Flags, Sequence, Ack, Payload));
  }
  void sendReply(target_id From, std::uint8_t Flags, std::uint32_t Sequence, std::uint32_t Ack,
                 std::size_t Balancer = 1) {
    Net.reply(Balancer, From, segment(Service, Caller, Flags, Sequence, Ack));
  }
  void refuse(target_id From) { sendReply(From, TcpRst | TcpAck, 0, Isn + 1); }
  std::size_t owner(std::size_t OwnerIndex) const { return Net.ownerAt(Key, OwnerIndex); }
  /// Discards the packets that targets and the caller have received.
  void clearReceived() {
    Net.AtTargets.clear();
    Net.AtCaller.clear();
  }
  target_view &targetView(target_id Id) {
    for (target_view &Target : Net.Targets) {
      if (Target.Id == Id)
        return Target;
    }
    throw std::out_of_range("no target with this id");
  }
  /// Flags of the only packet that the caller received; 0 if it received none or several.
  std::uint8_t flagsAtCaller() const {
    return Net.AtCaller.size() == 1 ? parsed(Net.AtCaller[0]).Flags : std::uint8_t{0};
  }
  /// Target that received the last packet; NoTarget if none did.
  target_id lastReachedTarget() const {
    return Net.AtTargets.empty() ? NoTarget : Net.AtTargets.back().Target;
  }
  /// Sum of the observations of a target that all balancers reported.
  target_observation observed(target_id Target) {
    Net.advance(Net.Settings.ReportInterval);
    target_observation Sum;
    for (const target_observation &Observation : Net.Observations) {
      if (Observation.Target != Target)
        continue;
      Sum.Setups += Observation.Setups;
      Sum.Accepted += Observation.Accepted;
      Sum.Refused += Observation.Refused;
      Sum.TimedOut += Observation.TimedOut;
      Sum.Silent += Observation.Silent;
    }
    return Sum;
  }

  simulated_fabric Net{6};
  endpoint Caller = simulated_fabric::callerAddress(1);
  endpoint Service = simulated_fabric::serviceAddress(0);
  flow_key Key{Caller, Service, transport::Tcp};
};

/// The caller's SYN reached a target.
class fabric_with_opening_flow : public fabric {
protected:
  void SetUp() override {
    send(TcpSyn, Isn);
    ASSERT_EQ(Net.AtTargets.size(), 1U);
    Target = lastReachedTarget();
    clearReceived();
  }

  target_id Target{};
};

/// The target's SYN-ACK reached the caller.
class fabric_with_established_flow : public fabric_with_opening_flow {
protected:
  void SetUp() override {
    fabric_with_opening_flow::SetUp();
    sendReply(Target, TcpSyn | TcpAck, 5000, Isn + 1);
    ASSERT_EQ(Net.AtCaller.size(), 1U);
    clearReceived();
  }
};

} // namespace briarpoint::testing

#endif // BRIARPOINT_TESTS_DATA_FABRIC_SUPPORT_H
