#include "core/data/handover.h"

#include <gtest/gtest.h>

namespace briarpoint {
namespace {

handover fullHandover(std::size_t Remaining) {
  handover Handover;
  Handover.Kind = handover_kind::Replicate;
  Handover.Direction = packet_direction::ToCaller;
  Handover.Hops = 7;
  Handover.Target = target_id{0x0102030405060708};
  Handover.Origin = member_id{0x1112131415161718};
  Handover.Record = {{0x2122232425262728, 0x3132333435363738},
                     target_id{0x4142434445464748},
                     service_id{0x515253},
                     0xFFFFFFFE,
                     86400,
                     0xFFFE,
                     flow_phase::Closed,
                     transport::Udp};
  for (std::size_t I = 0; I < Remaining; ++I)
    Handover.RemainingHops[I] = member_id{100 + I};
  return Handover;
}

// Guards against a field that the codec loses, at each number of remaining hops.
TEST(handover_codec, HandoversAreParsedAsTheyWereWritten) {
  for (std::size_t Remaining = 0; Remaining <= std::tuple_size_v<hop_list>; ++Remaining) {
    for (int Kind = 1; Kind <= 5; ++Kind) {
      SCOPED_TRACE(Remaining);
      SCOPED_TRACE(Kind);
      handover Handover = fullHandover(Remaining);
      Handover.Kind = static_cast<handover_kind>(Kind);
      std::array<std::byte, MaxHandoverSize> Body{};
      const std::size_t Size = writeHandover(Handover, Body);
      // Geneve pads options to a multiple of 4 bytes, so other sizes would be longer when parsed.
      EXPECT_EQ(Size % 4, 0U);
      EXPECT_EQ(parseHandover(static_cast<std::uint8_t>(Kind), std::span(Body).first(Size)),
                Handover);
    }
  }
}

struct damage {
  const char *Name;
  std::uint8_t Type;
  std::size_t Offset;
  std::uint8_t Value;
};

// Guards against undefined enumerators and counts from a malformed or malicious packet.
TEST(handover_codec, DamagedHandoversAreRejected) {
  std::array<std::byte, MaxHandoverSize> Body{};
  const std::size_t Size = writeHandover(fullHandover(2), Body);
  const damage Table[] = {
      {"type 0", 0, 0, 1},          {"type 6", 6, 0, 1},           {"direction", 4, 0, 2},
      {"too few members", 4, 2, 1}, {"too many members", 4, 2, 8}, {"reserved byte", 4, 3, 1},
      {"phase", 4, 58, 5},          {"protocol", 4, 59, 1},
  };
  for (const damage &Damage : Table) {
    SCOPED_TRACE(Damage.Name);
    auto Damaged = Body;
    Damaged[Damage.Offset] = std::byte{Damage.Value};
    EXPECT_FALSE(parseHandover(Damage.Type, std::span(Damaged).first(Size)).has_value());
  }
  for (std::size_t Cut = 0; Cut < Size; ++Cut) {
    SCOPED_TRACE(Cut);
    EXPECT_FALSE(parseHandover(4, std::span(Body).first(Cut)).has_value());
  }
  // NoMember among the remaining hops would end the list early.
  auto NoMemberInside = Body;
  std::fill_n(NoMemberInside.begin() + 60, 8, std::byte{0});
  EXPECT_FALSE(parseHandover(4, std::span(NoMemberInside).first(Size)).has_value());
}

} // namespace
} // namespace briarpoint
