#include "core/data/handover.h"

#include "net/byte_order.h"

namespace briarpoint {

namespace {

/// Size in bytes of the body without the remaining hops.
constexpr std::size_t FixedSize = 60;
static_assert(FixedSize + std::tuple_size_v<hop_list> * 8 <= MaxHandoverSize);

std::size_t hopCount(const hop_list &Hops) {
  std::size_t Count = 0;
  while (Count < Hops.size() && Hops[Count] != NoMember)
    ++Count;
  return Count;
}

void writeRecord(const flow_record &Record, std::byte *To) {
  storeU64(To, Record.Id.High);
  storeU64(To + 8, Record.Id.Low);
  storeU64(To + 16, static_cast<std::uint64_t>(Record.Target));
  storeU32(To + 24, static_cast<std::uint32_t>(Record.Service));
  storeU32(To + 28, Record.InitialSequence);
  storeU32(To + 32, Record.RemainingSeconds);
  storeU16(To + 36, Record.Revision);
  storeU8(To + 38, static_cast<std::uint8_t>(Record.Phase));
  storeU8(To + 39, static_cast<std::uint8_t>(Record.Protocol));
}

bool isPhase(std::uint8_t Value) { return Value <= static_cast<std::uint8_t>(flow_phase::Closed); }

bool isProtocol(std::uint8_t Value) {
  return Value == static_cast<std::uint8_t>(transport::Tcp) ||
         Value == static_cast<std::uint8_t>(transport::Udp);
}

bool parseRecord(const std::byte *From, flow_record &Record) {
  Record.Id = {loadU64(From), loadU64(From + 8)};
  Record.Target = target_id{loadU64(From + 16)};
  Record.Service = service_id{loadU32(From + 24)};
  Record.InitialSequence = loadU32(From + 28);
  Record.RemainingSeconds = loadU32(From + 32);
  Record.Revision = loadU16(From + 36);
  const std::uint8_t Phase = loadU8(From + 38);
  const std::uint8_t Protocol = loadU8(From + 39);
  if (!isPhase(Phase) || !isProtocol(Protocol))
    return false;
  Record.Phase = static_cast<flow_phase>(Phase);
  Record.Protocol = static_cast<transport>(Protocol);
  return true;
}

} // namespace

// Layout: direction, hand-overs so far, number of remaining hops, 0 (1 byte each), target (8),
// origin (8), record (40), remaining hops (8 each).
std::size_t writeHandover(const handover &Handover, std::span<std::byte> Body) {
  const std::size_t Count = hopCount(Handover.RemainingHops);
  std::byte *To = Body.data();
  storeU8(To, static_cast<std::uint8_t>(Handover.Direction));
  storeU8(To + 1, Handover.Hops);
  storeU8(To + 2, static_cast<std::uint8_t>(Count));
  storeU8(To + 3, 0);
  storeU64(To + 4, static_cast<std::uint64_t>(Handover.Target));
  storeU64(To + 12, static_cast<std::uint64_t>(Handover.Origin));
  writeRecord(Handover.Record, To + 20);
  for (std::size_t I = 0; I < Count; ++I)
    storeU64(To + FixedSize + I * 8, static_cast<std::uint64_t>(Handover.RemainingHops[I]));
  return FixedSize + Count * 8;
}

std::optional<handover> parseHandover(std::uint8_t OptionType, std::span<const std::byte> Body) {
  if (OptionType < static_cast<std::uint8_t>(handover_kind::ToOwner) ||
      OptionType > static_cast<std::uint8_t>(handover_kind::TargetReply) || Body.size() < FixedSize)
    return std::nullopt;
  const std::uint8_t Direction = loadU8(Body.data());
  const std::uint8_t Count = loadU8(Body.data() + 2);
  handover Handover;
  if (Direction > static_cast<std::uint8_t>(packet_direction::ToCaller) ||
      loadU8(Body.data() + 3) != 0 || Count > Handover.RemainingHops.size() ||
      Body.size() != FixedSize + Count * std::size_t{8})
    return std::nullopt;
  Handover.Kind = static_cast<handover_kind>(OptionType);
  Handover.Direction = static_cast<packet_direction>(Direction);
  Handover.Hops = loadU8(Body.data() + 1);
  Handover.Target = target_id{loadU64(Body.data() + 4)};
  Handover.Origin = member_id{loadU64(Body.data() + 12)};
  if (!parseRecord(Body.data() + 20, Handover.Record))
    return std::nullopt;
  for (std::size_t I = 0; I < Count; ++I) {
    Handover.RemainingHops[I] = member_id{loadU64(Body.data() + FixedSize + I * 8)};
    if (Handover.RemainingHops[I] == NoMember)
      return std::nullopt;
  }
  return Handover;
}

} // namespace briarpoint
