#ifndef BRIARPOINT_NET_GENEVE_H
#define BRIARPOINT_NET_GENEVE_H

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>

namespace briarpoint {

/// Option class of the balancers' hand-over option, from the range for experimental use (RFC 8926,
/// section 3.5).
inline constexpr std::uint16_t HandoverOptionClass = 0xFF01;

/// Longest encapsulation header: 8 bytes base header and 63 words of options.
inline constexpr std::size_t MaxGeneveHeaderSize = 8 + 63 * 4;

/// A parsed Geneve packet. The spans point into the parsed bytes.
struct geneve_view {
  /// Virtual network identifier, 24 bits.
  std::uint32_t Vni = 0;
  /// True if the protocol type is 0x86DD (IPv6), false if it is 0x0800 (IPv4).
  bool InnerIsV6 = false;
  /// Type (without the critical bit) and body of the hand-over option. The body is empty if there
  /// is none.
  std::uint8_t OptionType = 0;
  std::span<const std::byte> OptionBody;
  /// The encapsulated IP packet.
  std::span<const std::byte> Inner;
};

/// Parses a UDP payload as Geneve version 0. Returns nothing if it is malformed, if its protocol
/// type isn't IP, or if it has a critical option other than the hand-over option.
std::optional<geneve_view> parseGeneve(std::span<const std::byte> Payload);

/// Writes a Geneve header into \p Header and returns its size in bytes. \p Header must have
/// MaxGeneveHeaderSize bytes. \p OptionBody has at most 124 bytes and is padded to words with
/// zeros; without a body no option is written.
std::size_t writeGeneveHeader(std::span<std::byte> Header, std::uint32_t Vni, bool InnerIsV6,
                              std::uint8_t OptionType, std::span<const std::byte> OptionBody);

} // namespace briarpoint

#endif // BRIARPOINT_NET_GENEVE_H
