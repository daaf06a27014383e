#include "config/msgpack_cursor.h"

#include <bit>

namespace briarpoint {

namespace {

using type = msgpack_head::type;

} // namespace

bool msgpack_cursor::readNumber(std::size_t Size, std::uint64_t &Out) {
  if (Bytes.size() - Position < Size)
    return false;
  Out = 0;
  for (std::size_t I = 0; I < Size; ++I)
    Out = Out << 8U | static_cast<unsigned char>(Bytes[Position++]);
  return true;
}

bool msgpack_cursor::readText(std::uint64_t Size, std::string_view &Out) {
  if (Bytes.size() - Position < Size)
    return false;
  Out = Bytes.substr(Position, Size);
  Position += Size;
  return true;
}

bool msgpack_cursor::readSized(type Type, std::size_t SizeBytes, std::size_t Extra,
                               msgpack_head &Head) {
  Head.Type = Type;
  std::uint64_t Size = 0;
  return readNumber(SizeBytes, Size) && readText(Size + Extra, Head.Text);
}

bool msgpack_cursor::readCounted(type Type, std::size_t CountBytes, msgpack_head &Head) {
  Head.Type = Type;
  std::uint64_t Count = 0;
  const bool Read = readNumber(CountBytes, Count);
  Head.Count = static_cast<std::uint32_t>(Count);
  return Read;
}

bool msgpack_cursor::read(msgpack_head &Head) {
  Head = {};
  if (Position == Bytes.size())
    return false;
  const auto Tag = static_cast<std::uint8_t>(Bytes[Position++]);
  if (Tag <= 0x7f) {
    Head.Type = type::Unsigned;
    Head.Number = Tag;
    return true;
  }
  if (Tag >= 0xe0) {
    Head.Type = type::Negative;
    Head.Number = static_cast<std::uint64_t>(std::int64_t{static_cast<std::int8_t>(Tag)});
    return true;
  }
  if (Tag <= 0x9f) {
    Head.Type = Tag <= 0x8f ? type::Map : type::Array;
    Head.Count = Tag & 0x0fU;
    return true;
  }
  if (Tag <= 0xbf) {
    Head.Type = type::Text;
    return readText(Tag & 0x1fU, Head.Text);
  }
  return readTagged(Tag, Head);
}

bool msgpack_cursor::readTagged(std::uint8_t Tag, msgpack_head &Head) {
  switch (Tag) {
  case 0xc0:
    return true;
  case 0xc2:
  case 0xc3:
    Head.Type = type::Boolean;
    Head.Number = Tag & 1U;
    return true;
  case 0xc4:
  case 0xc5:
  case 0xc6:
    return readSized(type::Bytes, std::size_t{1} << (Tag - 0xc4U), 0, Head);
  // Extension values have a byte for their type.
  case 0xc7:
  case 0xc8:
  case 0xc9:
    return readSized(type::Bytes, std::size_t{1} << (Tag - 0xc7U), 1, Head);
  case 0xca: {
    Head.Type = type::Float;
    std::uint64_t Bits = 0;
    const bool Read = readNumber(4, Bits);
    Head.Float = std::bit_cast<float>(static_cast<std::uint32_t>(Bits));
    return Read;
  }
  case 0xcb: {
    Head.Type = type::Float;
    std::uint64_t Bits = 0;
    const bool Read = readNumber(8, Bits);
    Head.Float = std::bit_cast<double>(Bits);
    return Read;
  }
  case 0xcc:
  case 0xcd:
  case 0xce:
  case 0xcf:
    Head.Type = type::Unsigned;
    return readNumber(std::size_t{1} << (Tag - 0xccU), Head.Number);
  case 0xd0:
  case 0xd1:
  case 0xd2:
  case 0xd3: {
    const std::size_t Size = std::size_t{1} << (Tag - 0xd0U);
    if (!readNumber(Size, Head.Number))
      return false;
    // Extends the sign.
    const unsigned Unused = 64U - 8U * static_cast<unsigned>(Size);
    const std::int64_t Value = static_cast<std::int64_t>(Head.Number << Unused) >> Unused;
    Head.Number = static_cast<std::uint64_t>(Value);
    Head.Type = Value < 0 ? type::Negative : type::Unsigned;
    return true;
  }
  case 0xd4:
  case 0xd5:
  case 0xd6:
  case 0xd7:
  case 0xd8:
    Head.Type = type::Bytes;
    return readText((std::uint64_t{1} << (Tag - 0xd4U)) + 1, Head.Text);
  case 0xd9:
  case 0xda:
  case 0xdb:
    return readSized(type::Text, std::size_t{1} << (Tag - 0xd9U), 0, Head);
  case 0xdc:
  case 0xdd:
    return readCounted(type::Array, std::size_t{2} << (Tag - 0xdcU), Head);
  case 0xde:
  case 0xdf:
    return readCounted(type::Map, std::size_t{2} << (Tag - 0xdeU), Head);
  default: // 0xc1 is never used.
    return false;
  }
}

bool msgpack_cursor::skip() {
  msgpack_head Head;
  for (std::uint64_t Remaining = 1; Remaining > 0; --Remaining) {
    if (!read(Head))
      return false;
    Remaining += Head.Type == type::Map ? 2 * std::uint64_t{Head.Count} : Head.Count;
  }
  return true;
}

} // namespace briarpoint
