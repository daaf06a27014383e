#include "platform/flow_packet_format.h"

#include <gtest/gtest.h>

#include <array>
#include <string>

namespace briarpoint::platform {
namespace {

std::vector<std::byte> bytes(const std::string &Hex) {
  std::vector<std::byte> Result;
  for (std::size_t I = 0; I + 1 < Hex.size(); I += 2)
    Result.push_back(static_cast<std::byte>(std::stoi(Hex.substr(I, 2), nullptr, 16)));
  return Result;
}

std::string hex(std::span<const std::byte> Bytes) {
  static constexpr std::string_view Digits = "0123456789abcdef";
  std::string Result;
  for (const std::byte Byte : Bytes) {
    Result += Digits[std::to_integer<unsigned>(Byte) >> 4U];
    Result += Digits[std::to_integer<unsigned>(Byte) & 15U];
  }
  return Result;
}

/// Example in the platform's documentation: a SYN from 100.64.0.7:40001 to 198.18.0.1:443 with
/// sequence number 0x11223344.
const std::string Syn = "080000a1b2c3d5112233440000000000000000644000"
                        "07c612000101bb9c41";

class platform_packets : public testing::Test {
protected:
  flow_packet_format Format;
};

// Guards against a layout that differs from the platform's.
TEST_F(platform_packets, readsTheDocumentedExample) {
  const std::optional<caller_packet> Packet = Format.parse(bytes(Syn));
  ASSERT_TRUE(Packet);
  EXPECT_EQ(toString(Packet->Flow.Caller), "100.64.0.7:40001");
  EXPECT_EQ(toString(Packet->Flow.Service), "198.18.0.1:443");
  EXPECT_TRUE(Packet->Opens);
  EXPECT_FALSE(Packet->Ends);
  EXPECT_EQ(Packet->Sequence, 0x11223344U);
  EXPECT_EQ(Packet->Token, NoToken);
}

// Guards against a reset that the caller doesn't accept. The bytes are those of the platform's
// documentation.
TEST_F(platform_packets, writesTheDocumentedReset) {
  const std::optional<caller_packet> Packet = Format.parse(bytes(Syn));
  std::array<std::byte, 64> Buffer{};
  const std::size_t Size = Format.writeReset(Buffer, Packet->Flow, 0);
  EXPECT_EQ(hex(std::span(Buffer).first(Size)),
            "01000000000000000000000000000000000000c6120001644000079c4101bb");
}

// Guards against any other change of the caller's packet: its checksum covers all but the token.
TEST_F(platform_packets, changesOnlyTheTokenAndAddsTheTargetsIdentity) {
  target Target;
  Target.Registration.Number = 0x7f3a91c2;
  Target.Token = flow_token{0xdeadbeef};
  std::array<std::byte, 64> Buffer{};
  const std::vector<std::byte> Datagram = bytes(Syn);
  Format.writeHeader(Buffer, Datagram, Target);
  std::string Expected = Syn;
  Expected.replace(30, 8, "deadbeef");
  EXPECT_EQ(hex(std::span(Buffer).first(Format.targetHeaderSize())), "000000007f3a91c2" + Expected);
}

// Guards against accepting, or crashing on, datagrams that are no packets of callers.
TEST_F(platform_packets, refusesMalformedDatagrams) {
  const auto Changed = [](std::size_t Offset, unsigned Value) {
    std::vector<std::byte> Datagram = bytes(Syn);
    Datagram[Offset] = static_cast<std::byte>(Value);
    return Datagram;
  };
  std::vector<std::byte> TooLong = bytes(Syn);
  TooLong.push_back(std::byte{0});
  std::vector<std::byte> Oversized(31 + 1201);
  Oversized[1] = std::byte{0x04};
  Oversized[2] = std::byte{0xb1};
  EXPECT_FALSE(Format.parse({}));
  const std::vector<std::byte> Whole = bytes(Syn);
  EXPECT_FALSE(Format.parse(std::span(Whole).first(30))) << "short header";
  EXPECT_FALSE(Format.parse(Changed(2, 5))) << "less data than the length field says";
  EXPECT_FALSE(Format.parse(TooLong)) << "more data than the length field says";
  EXPECT_FALSE(Format.parse(Oversized)) << "more data than allowed";
  EXPECT_FALSE(Format.parse(Changed(0, 64))) << "unknown flag";
  EXPECT_FALSE(Format.parse(Changed(0, 8 | 16))) << "from a host: SYN and ACK";
  EXPECT_FALSE(Format.parse(Changed(0, 8 | 1))) << "SYN and RST";
}

// Guards against a RST or FIN that isn't read as the end of its flow.
TEST_F(platform_packets, readsTheEndOfAFlow) {
  for (const unsigned Flags : {1U, 2U, 2U | 16U}) {
    std::vector<std::byte> Datagram = bytes(Syn);
    Datagram[0] = static_cast<std::byte>(Flags);
    const std::optional<caller_packet> Packet = Format.parse(Datagram);
    ASSERT_TRUE(Packet);
    EXPECT_TRUE(Packet->Ends);
    EXPECT_FALSE(Packet->Opens);
  }
}

// Guards against log lines that can't be matched to a request, and against a read past the data.
TEST_F(platform_packets, findsTheRequestIdForLogs) {
  const auto WithData = [](const std::string &Data) {
    std::vector<std::byte> Datagram = bytes(Syn);
    for (const char Character : Data)
      Datagram.push_back(static_cast<std::byte>(Character));
    return Datagram;
  };
  EXPECT_EQ(Format.requestId(WithData("GET / HTTP/1.1\r\nX-Briarpoint-Request-Id: 4f2a\r\n\r\n")),
            "4f2a");
  EXPECT_EQ(Format.requestId(WithData("GET / HTTP/1.1\r\nX-Briarpoint-Request-Id: 4f2a")), "");
  EXPECT_EQ(Format.requestId(WithData("")), "");
}

} // namespace
} // namespace briarpoint::platform
