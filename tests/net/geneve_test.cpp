#include "net/geneve.h"

#include <gtest/gtest.h>
#include <vector>

namespace briarpoint {
namespace {

using bytes = std::vector<std::byte>;

bytes toBytes(std::initializer_list<unsigned> Values) {
  bytes Result;
  for (const unsigned Value : Values)
    Result.push_back(static_cast<std::byte>(Value));
  return Result;
}

// Guards against a header that other implementations of RFC 8926 can't read: exact bytes.
TEST(geneve, HeaderWithoutOptionHasTheBytesOfTheStandard) {
  bytes Header(MaxGeneveHeaderSize);
  Header.resize(writeGeneveHeader(Header, 0x123456, false, 0, {}));
  EXPECT_EQ(Header, toBytes({0x00, 0x00, 0x08, 0x00, 0x12, 0x34, 0x56, 0x00}));
  Header.resize(MaxGeneveHeaderSize);
  Header.resize(writeGeneveHeader(Header, 1, true, 0, {}));
  EXPECT_EQ(Header, toBytes({0x00, 0x00, 0x86, 0xDD, 0x00, 0x00, 0x01, 0x00}));
}

// Guards against an option that receivers may skip, and against padding with old content of the
// buffer.
TEST(geneve, HeaderWithOptionIsCriticalAndPadded) {
  bytes Header(MaxGeneveHeaderSize, std::byte{0xEE});
  const bytes Body = toBytes({1, 2, 3, 4, 5});
  Header.resize(writeGeneveHeader(Header, 2, false, 4, Body));
  EXPECT_EQ(Header, toBytes({0x03, 0x40, 0x08, 0x00, 0x00, 0x00, 0x02, 0x00, 0xFF, 0x01,
                             0x84, 0x02, 1,    2,    3,    4,    5,    0,    0,    0}));
}

// Guards against options that are lost between writing and parsing, up to the largest.
TEST(geneve, OptionOfEachSizeIsRead) {
  for (std::size_t Size = 4; Size <= 124; Size += 4) {
    SCOPED_TRACE(Size);
    const bytes Body(Size, std::byte{0xAB});
    bytes Packet(MaxGeneveHeaderSize);
    Packet.resize(writeGeneveHeader(Packet, 0xFFFFFF, true, 5, Body));
    Packet.push_back(std::byte{0x60});
    const auto View = parseGeneve(Packet);
    ASSERT_TRUE(View.has_value());
    EXPECT_EQ(View->Vni, 0xFFFFFFU);
    EXPECT_TRUE(View->InnerIsV6);
    EXPECT_EQ(View->OptionType, 5);
    EXPECT_EQ(bytes(View->OptionBody.begin(), View->OptionBody.end()), Body);
    ASSERT_EQ(View->Inner.size(), 1U);
    EXPECT_EQ(View->Inner[0], std::byte{0x60});
  }
}

struct malformed_case {
  const char *Name;
  bytes Payload;
};

// Guards against forwarding a packet that is malformed, or that needs a protocol or option
// that is not supported here.
TEST(geneve, EachMalformedPacketIsRefused) {
  const malformed_case Table[] = {
      {"empty", {}},
      {"shorter than the base header", toBytes({0, 0, 8, 0, 0, 0, 1})},
      {"version 1", toBytes({0x40, 0, 8, 0, 0, 0, 1, 0})},
      {"control packet", toBytes({0, 0x80, 8, 0, 0, 0, 1, 0})},
      {"Ethernet inside", toBytes({0, 0, 0x65, 0x58, 0, 0, 1, 0})},
      {"options beyond the packet", toBytes({1, 0, 8, 0, 0, 0, 1, 0})},
      {"option beyond the options",
       toBytes({1, 0, 8, 0, 0, 0, 1, 0, 0xFF, 0x01, 0x01, 0x01, 1, 2, 3, 4})},
      {"unknown critical option", toBytes({1, 0x40, 8, 0, 0, 0, 1, 0, 0x01, 0x02, 0x80, 0x00})},
      {"two hand-over options",
       toBytes({4, 0x40, 8, 0, 0,    0,    1,    0,    0xFF, 0x01, 0x81, 0x01,
                1, 2,    3, 4, 0xFF, 0x01, 0x81, 0x01, 1,    2,    3,    4})},
  };
  for (const malformed_case &Case : Table) {
    SCOPED_TRACE(Case.Name);
    EXPECT_FALSE(parseGeneve(Case.Payload).has_value());
  }
}

// Guards against refusing packets because of options that a receiver may ignore.
TEST(geneve, UnknownOptionThatIsNotCriticalIsSkipped) {
  const auto View =
      parseGeneve(toBytes({4, 0x40, 8, 0, 0,    0,    7,    0,    0x01, 0x02, 0x03, 0x01,
                           9, 9,    9, 9, 0xFF, 0x01, 0x81, 0x01, 1,    2,    3,    4}));
  ASSERT_TRUE(View.has_value());
  EXPECT_EQ(View->Vni, 7U);
  EXPECT_EQ(View->OptionType, 1);
  EXPECT_EQ(View->OptionBody.size(), 4U);
  EXPECT_TRUE(View->Inner.empty());
}

} // namespace
} // namespace briarpoint
