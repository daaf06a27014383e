#include "tests/data/exchange_support.h"

#include <gtest/gtest.h>

namespace briarpoint::testing {
namespace {

constexpr std::uint32_t Isn = 1000;

/// A fabric of six balancers, and a caller that hasn't sent anything.
class fabric : public ::testing::Test {
protected:
  void send(std::uint8_t Flags, std::uint32_t Sequence, std::uint32_t Ack = 0,
            std::size_t Payload = 0, std::size_t At = 0) {
    Net.forward(At, segment(Caller, Service, Flags, Sequence, Ack, Payload));
  }
  void answer(target_id From, std::uint8_t Flags, std::uint32_t Sequence, std::uint32_t Ack,
              std::size_t At = 1) {
    Net.reply(At, From, segment(Service, Caller, Flags, Sequence, Ack));
  }
  std::size_t owner(std::size_t Place) const { return Net.ownerAt(Key, Place); }
  /// Removes what was received so far.
  void forget() {
    Net.AtTargets.clear();
    Net.AtCaller.clear();
  }

  exchange Net{6};
  endpoint Caller = exchange::callerAddress(1);
  endpoint Service = exchange::serviceAddress(0);
  flow_key Key{Caller, Service, transport::Tcp};
};

/// The caller's SYN reached a target.
class fabric_with_opening_flow : public fabric {
protected:
  void SetUp() override {
    send(TcpSyn, Isn);
    ASSERT_EQ(Net.AtTargets.size(), 1U);
    Target = Net.AtTargets[0].Target;
    forget();
  }
  target_id Target{};
};

/// The target's SYN-ACK reached the caller.
class fabric_with_established_flow : public fabric_with_opening_flow {
protected:
  void SetUp() override {
    fabric_with_opening_flow::SetUp();
    answer(Target, TcpSyn | TcpAck, 5000, Isn + 1);
    ASSERT_EQ(Net.AtCaller.size(), 1U);
    forget();
  }
};

// Guards against a SYN that reaches the target before all owners hold the record.
TEST_F(fabric_with_opening_flow, AllOwnersHoldTheRecord) {
  for (std::size_t Place = 0; Place < OwnerCount; ++Place) {
    SCOPED_TRACE(Place);
    const flow_record *Record = Net.recordAt(owner(Place), Key);
    ASSERT_NE(Record, nullptr);
    EXPECT_EQ(Record->Target, Target);
    EXPECT_EQ(Record->InitialSequence, Isn);
    EXPECT_EQ(Record->Phase, flow_phase::Opening);
  }
}

// Guards against a packet that depends on the balancer where the fabric delivers it.
TEST_F(fabric_with_established_flow, PacketsReachTheTargetFromEachBalancer) {
  for (std::size_t At = 0; At < 6; ++At) {
    SCOPED_TRACE(At);
    forget();
    send(TcpAck, Isn + 1, 5001, 100, At);
    ASSERT_EQ(Net.AtTargets.size(), 1U);
    EXPECT_EQ(Net.AtTargets[0].Target, Target);
  }
}

} // namespace
} // namespace briarpoint::testing
