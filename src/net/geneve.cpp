#include "net/geneve.h"

#include "net/byte_order.h"

#include <algorithm>
#include <cstring>

namespace briarpoint {

namespace {

constexpr std::size_t BaseHeaderSize = 8;
constexpr std::size_t OptionHeaderSize = 4;
constexpr std::size_t MaxOptionBodySize = 124;
constexpr std::uint16_t EtherTypeIpv4 = 0x0800;
constexpr std::uint16_t EtherTypeIpv6 = 0x86DD;
constexpr std::uint8_t CriticalBit = 0x80;
/// Control packet (O) and critical options present (C), in the second byte of the base header.
constexpr std::uint8_t ControlFlag = 0x80;
constexpr std::uint8_t CriticalFlag = 0x40;

/// Reads the options; returns false if one is malformed or critical and unknown.
bool parseOptions(std::span<const std::byte> Options, geneve_view &View) {
  while (!Options.empty()) {
    if (Options.size() < OptionHeaderSize)
      return false;
    const std::uint16_t Class = loadU16(Options.data());
    const std::uint8_t Type = loadU8(Options.data() + 2);
    const std::size_t BodySize = (loadU8(Options.data() + 3) & 0x1FU) * std::size_t{4};
    if (Options.size() < OptionHeaderSize + BodySize)
      return false;
    if (Class == HandoverOptionClass) {
      // With two hand-over options, it would be ambiguous which one applies.
      if (!View.OptionBody.empty())
        return false;
      View.OptionType = Type & static_cast<std::uint8_t>(~CriticalBit);
      View.OptionBody = Options.subspan(OptionHeaderSize, BodySize);
    } else if ((Type & CriticalBit) != 0) {
      return false;
    }
    Options = Options.subspan(OptionHeaderSize + BodySize);
  }
  return true;
}

} // namespace

std::optional<geneve_view> parseGeneve(std::span<const std::byte> Payload) {
  if (Payload.size() < BaseHeaderSize)
    return std::nullopt;
  const std::uint8_t First = loadU8(Payload.data());
  const std::uint8_t Flags = loadU8(Payload.data() + 1);
  const std::size_t OptionsSize = (First & 0x3FU) * std::size_t{4};
  if ((First >> 6U) != 0 || (Flags & ControlFlag) != 0)
    return std::nullopt;
  const std::uint16_t EtherType = loadU16(Payload.data() + 2);
  if (EtherType != EtherTypeIpv4 && EtherType != EtherTypeIpv6)
    return std::nullopt;
  if (Payload.size() < BaseHeaderSize + OptionsSize)
    return std::nullopt;

  geneve_view View;
  View.Vni = loadU32(Payload.data() + 4) >> 8U;
  View.InnerIsV6 = EtherType == EtherTypeIpv6;
  View.Inner = Payload.subspan(BaseHeaderSize + OptionsSize);
  if (!parseOptions(Payload.subspan(BaseHeaderSize, OptionsSize), View))
    return std::nullopt;
  return View;
}

std::size_t writeGeneveHeader(std::span<std::byte> Header, std::uint32_t Vni, bool InnerIsV6,
                              std::uint8_t OptionType, std::span<const std::byte> OptionBody) {
  const std::size_t BodySize = std::min(OptionBody.size(), MaxOptionBodySize);
  const std::size_t PaddedSize = (BodySize + 3) / 4 * 4;
  const std::size_t OptionsSize = BodySize == 0 ? 0 : OptionHeaderSize + PaddedSize;
  storeU8(Header.data(), static_cast<std::uint8_t>(OptionsSize / 4));
  storeU8(Header.data() + 1, BodySize == 0 ? 0 : CriticalFlag);
  storeU16(Header.data() + 2, InnerIsV6 ? EtherTypeIpv6 : EtherTypeIpv4);
  storeU32(Header.data() + 4, Vni << 8U);
  if (BodySize == 0)
    return BaseHeaderSize;

  // The option is critical, so that a receiver that doesn't support it drops the packet instead of
  // handling it as one without the option.
  std::byte *Option = Header.data() + BaseHeaderSize;
  storeU16(Option, HandoverOptionClass);
  storeU8(Option + 2, OptionType | CriticalBit);
  storeU8(Option + 3, static_cast<std::uint8_t>(PaddedSize / 4));
  std::memset(Option + OptionHeaderSize, 0, PaddedSize);
  std::memcpy(Option + OptionHeaderSize, OptionBody.data(), BodySize);
  return BaseHeaderSize + OptionsSize;
}

} // namespace briarpoint
