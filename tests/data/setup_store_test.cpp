#include "core/data/setup_store.h"

#include <gtest/gtest.h>

namespace briarpoint {
namespace {

constexpr instant Start = instant(std::chrono::hours(1));
constexpr duration Timeout = std::chrono::seconds(3);

// Guards against a setup that expires although the target replied, and one that never expires.
TEST(setup_store, OnlyUnansweredSetupsExpire) {
  setup_store Store(10, Timeout);
  const std::vector<std::byte> Packet(40, std::byte{7});
  const std::uint16_t First = Store.add({1, 1}, 5, Packet, Start);
  const std::uint16_t Second = Store.add({2, 2}, 6, Packet, Start + std::chrono::seconds(1));
  Store.release(First);
  // The first index is reused; its old deadline must not expire the new setup.
  const std::uint16_t Third = Store.add({3, 3}, 7, Packet, Start + std::chrono::seconds(2));
  EXPECT_EQ(Third, First);
  EXPECT_EQ(Store.removeExpired(Start + Timeout), NoSetup);
  EXPECT_EQ(Store.removeExpired(Start + Timeout + std::chrono::seconds(1)), Second);
  EXPECT_EQ(Store.removeExpired(Start + Timeout + std::chrono::seconds(1)), NoSetup);
  EXPECT_EQ(Store.removeExpired(Start + Timeout + std::chrono::seconds(2)), Third);
  EXPECT_EQ(Store[Third].Id, (flow_id{3, 3}));
}

// Guards against a timeout of the second target that includes the time spent on the first one.
TEST(setup_store, AnotherTargetRestartsTheTimeout) {
  setup_store Store(10, Timeout);
  const std::uint16_t Index = Store.add({1, 1}, 5, {}, Start);
  for (std::uint32_t I = 1; I < pending_setup::MaxTargets; ++I)
    EXPECT_TRUE(Store.addTarget(Index, 5 + I, Start + std::chrono::seconds(2)));
  EXPECT_FALSE(Store.addTarget(Index, 99, Start + std::chrono::seconds(2)));
  EXPECT_EQ(Store[Index].tried().size(), pending_setup::MaxTargets);
  EXPECT_EQ(Store.removeExpired(Start + Timeout), NoSetup);
  EXPECT_EQ(Store.removeExpired(Start + Timeout + std::chrono::seconds(2)), Index);
}

// Guards against unbounded memory, and against a truncated packet that is sent to another target.
TEST(setup_store, IsBounded) {
  setup_store Store(2, Timeout);
  const std::vector<std::byte> Large(pending_setup::MaxPacketSize + 1);
  const std::uint16_t First = Store.add({1, 1}, 5, Large, Start);
  EXPECT_TRUE(Store[First].packet().empty());
  EXPECT_NE(Store.add({2, 2}, 5, std::span(Large).first(pending_setup::MaxPacketSize), Start),
            NoSetup);
  EXPECT_EQ(Store.add({3, 3}, 5, {}, Start), NoSetup);
  Store.release(First);
  EXPECT_NE(Store.add({3, 3}, 5, {}, Start), NoSetup);
}

} // namespace
} // namespace briarpoint
