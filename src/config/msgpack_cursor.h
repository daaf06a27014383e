#ifndef BRIARPOINT_CONFIG_MSGPACK_CURSOR_H
#define BRIARPOINT_CONFIG_MSGPACK_CURSOR_H

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace briarpoint {

/// A MessagePack value without its elements or fields, which follow it.
struct msgpack_head {
  enum class type : std::uint8_t {
    Nil,
    Boolean,
    /// An integer that isn't negative.
    Unsigned,
    Negative,
    Float,
    Text,
    /// Binary and extension values.
    Bytes,
    Array,
    Map,
  };

  type Type = type::Nil;
  /// Value of an integer as two's complement; 0 or 1 for a boolean.
  std::uint64_t Number = 0;
  double Float = 0;
  /// Content of a text.
  std::string_view Text = {};
  /// Number of elements of an array, or of fields of a map.
  std::uint32_t Count = 0;
};

/// Reads MessagePack (the format's specification, all types) one head at a time. msgpack-cxx isn't
/// used here: its parser can't skip a value, and keeps an entry for each open array, so that 1 MB
/// of nested arrays takes many times its size.
class msgpack_cursor {
public:
  explicit msgpack_cursor(std::string_view Bytes) : Bytes(Bytes) {}

  /// Reads the next head. Returns false if there is none, or the bytes end within it; the cursor
  /// can't be used after that.
  bool read(msgpack_head &Head);
  /// Skips the next value with all that it contains, in constant memory. Returns as read() does.
  bool skip();

  /// Number of bytes read.
  std::size_t position() const { return Position; }

private:
  /// Reads an unsigned integer of \p Size bytes in network byte order.
  bool readNumber(std::size_t Size, std::uint64_t &Out);
  bool readText(std::uint64_t Size, std::string_view &Out);
  bool readTagged(std::uint8_t Tag, msgpack_head &Head);
  bool readSized(msgpack_head::type Type, std::size_t SizeBytes, std::size_t Extra,
                 msgpack_head &Head);
  bool readCounted(msgpack_head::type Type, std::size_t CountBytes, msgpack_head &Head);

  std::string_view Bytes;
  std::size_t Position = 0;
};

} // namespace briarpoint

#endif // BRIARPOINT_CONFIG_MSGPACK_CURSOR_H
