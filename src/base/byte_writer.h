#ifndef BRIARPOINT_BASE_BYTE_WRITER_H
#define BRIARPOINT_BASE_BYTE_WRITER_H

#include <cstddef>
#include <cstdint>
#include <string>

namespace briarpoint {

/// Appends integers of fixed width in network byte order.
class byte_writer {
public:
  /// Appends the lowest \p Width bytes of \p Value.
  void append(std::uint64_t Value, std::size_t Width) {
    for (std::size_t I = Width; I-- > 0;)
      Bytes += static_cast<char>(static_cast<unsigned char>(Value >> (8 * I)));
  }

  const std::string &bytes() const { return Bytes; }

private:
  std::string Bytes;
};

} // namespace briarpoint

#endif // BRIARPOINT_BASE_BYTE_WRITER_H
