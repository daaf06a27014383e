#ifndef BRIARPOINT_NET_BYTE_ORDER_H
#define BRIARPOINT_NET_BYTE_ORDER_H

#include <bit>
#include <cstddef>
#include <cstdint>
#include <cstring>

namespace briarpoint {

static_assert(std::endian::native == std::endian::little,
              "loads and stores swap bytes, which needs a little-endian host");

/// Load an integer in network byte order. \p From must point to at least that many bytes.
inline std::uint8_t loadU8(const std::byte *From) { return std::to_integer<std::uint8_t>(*From); }
inline std::uint16_t loadU16(const std::byte *From) {
  std::uint16_t Value = 0;
  std::memcpy(&Value, From, sizeof(Value));
  return __builtin_bswap16(Value);
}
inline std::uint32_t loadU32(const std::byte *From) {
  std::uint32_t Value = 0;
  std::memcpy(&Value, From, sizeof(Value));
  return __builtin_bswap32(Value);
}
inline std::uint64_t loadU64(const std::byte *From) {
  std::uint64_t Value = 0;
  std::memcpy(&Value, From, sizeof(Value));
  return __builtin_bswap64(Value);
}

/// Store an integer in network byte order. \p To must have room for that many bytes.
inline void storeU8(std::byte *To, std::uint8_t Value) { *To = std::byte{Value}; }
inline void storeU16(std::byte *To, std::uint16_t Value) {
  Value = __builtin_bswap16(Value);
  std::memcpy(To, &Value, sizeof(Value));
}
inline void storeU32(std::byte *To, std::uint32_t Value) {
  Value = __builtin_bswap32(Value);
  std::memcpy(To, &Value, sizeof(Value));
}
inline void storeU64(std::byte *To, std::uint64_t Value) {
  Value = __builtin_bswap64(Value);
  std::memcpy(To, &Value, sizeof(Value));
}

} // namespace briarpoint

#endif // BRIARPOINT_NET_BYTE_ORDER_H
