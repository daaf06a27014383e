#ifndef BRIARPOINT_BASE_BYTE_READER_H
#define BRIARPOINT_BASE_BYTE_READER_H

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace briarpoint {

/// Reads integers of fixed width in network byte order from the front of a byte string. The string
/// must be long enough for each read.
class byte_reader {
public:
  explicit byte_reader(std::string_view Bytes) : Bytes(Bytes) {}

  std::uint64_t read(std::size_t Width) {
    std::uint64_t Value = 0;
    for (std::size_t I = 0; I < Width; ++I)
      Value = Value << 8U | static_cast<unsigned char>(Bytes[I]);
    Bytes.remove_prefix(Width);
    return Value;
  }

  std::string_view rest() const { return Bytes; }

private:
  std::string_view Bytes;
};

} // namespace briarpoint

#endif // BRIARPOINT_BASE_BYTE_READER_H
