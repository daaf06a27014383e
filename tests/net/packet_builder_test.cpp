#include "net/packet_builder.h"

#include "net/byte_order.h"

#include <gtest/gtest.h>

namespace briarpoint {
namespace {

using bytes = std::vector<std::byte>;

struct address_pair {
  const char *Source;
  const char *Destination;
};

constexpr address_pair Ipv4{"203.0.113.7:4000", "198.51.100.1:80"};
constexpr address_pair Ipv6{"[2001:db8::7]:4000", "[2001:db8::1]:80"};

bytes forwardPacket(const address_pair &Addresses, transport Protocol, std::uint8_t Flags,
                    std::size_t PayloadSize) {
  const bytes Payload(PayloadSize, std::byte{1});
  return buildPacket({*parseEndpoint(Addresses.Source), *parseEndpoint(Addresses.Destination),
                      Protocol, Flags, 1000, 7000, Payload});
}

packet_view parsed(std::span<const std::byte> Packet) {
  packet_view View;
  EXPECT_EQ(parsePacket(Packet, View), parse_error::None);
  return View;
}

// Guards against a checksum that other implementations reject: known values, computed by hand from
// RFC 1071's example and for an odd number of bytes.
TEST(internet_checksum, KnownValues) {
  const std::uint8_t Example[] = {0x00, 0x01, 0xF2, 0x03, 0xF4, 0xF5, 0xF6, 0xF7};
  EXPECT_EQ(internetChecksum(std::as_bytes(std::span(Example))), 0x220D);
  EXPECT_EQ(internetChecksum(std::as_bytes(std::span(Example).first(3))),
            static_cast<std::uint16_t>(~(0x0001U + 0xF200U)));
  EXPECT_EQ(internetChecksum({}), 0xFFFF);
}

// Guards against checksumsMatch accepting anything, which would make the other tests vacuous.
TEST(internet_checksum, EachChangedByteIsDetected) {
  for (const address_pair &Addresses : {Ipv4, Ipv6}) {
    bytes Packet = forwardPacket(Addresses, transport::Tcp, TcpAck, 3);
    ASSERT_TRUE(checksumsMatch(Packet));
    const std::size_t Covered = Addresses.Source == Ipv6.Source ? 8 : 0;
    for (std::size_t I = Covered; I < Packet.size(); ++I) {
      SCOPED_TRACE(I);
      // Changing the version or header size changes what is covered.
      if (I == 0)
        continue;
      Packet[I] ^= std::byte{0x10};
      EXPECT_FALSE(checksumsMatch(Packet));
      Packet[I] ^= std::byte{0x10};
    }
  }
}

// Guards against a UDP checksum of 0, which would mean that the packet has no checksum.
TEST(packet_builder, UdpChecksumIsNeverZero) {
  std::size_t Replaced = 0;
  for (std::uint32_t I = 0; I < 0x10000; ++I) {
    std::array<std::byte, 2> Payload{};
    storeU16(Payload.data(), static_cast<std::uint16_t>(I));
    const bytes Packet = buildPacket({*parseEndpoint(Ipv4.Source), *parseEndpoint(Ipv4.Destination),
                                      transport::Udp, 0, 0, 0, Payload});
    ASSERT_NE(loadU16(Packet.data() + 26), 0);
    Replaced += loadU16(Packet.data() + 26) == 0xFFFF ? 1 : 0;
  }
  EXPECT_GE(Replaced, 1U);
}

/// A packet of the caller and the RST that RFC 9293, section 3.5.2, prescribes.
struct reset_case {
  const char *Name;
  std::uint8_t Flags;
  std::size_t PayloadSize;
  std::uint8_t ResetFlags;
  std::uint32_t Sequence;
  std::uint32_t Acknowledgement;
};

// Guards against a RST that the caller ignores because its sequence numbers are unacceptable.
TEST(packet_builder, ResetToCallerHasAcceptableSequenceNumbers) {
  const reset_case Table[] = {
      {"SYN", TcpSyn, 0, TcpRst | TcpAck, 0, 1001},
      {"SYN with data", TcpSyn, 10, TcpRst | TcpAck, 0, 1011},
      {"data without acknowledgement", 0, 10, TcpRst | TcpAck, 0, 1010},
      {"FIN without acknowledgement", TcpFin, 0, TcpRst | TcpAck, 0, 1001},
      {"acknowledgement", TcpAck, 0, TcpRst, 7000, 0},
      {"data", TcpAck | TcpPsh, 100, TcpRst, 7000, 0},
  };
  for (const reset_case &Case : Table) {
    for (const address_pair &Addresses : {Ipv4, Ipv6}) {
      SCOPED_TRACE(Case.Name);
      const bytes Packet = forwardPacket(Addresses, transport::Tcp, Case.Flags, Case.PayloadSize);
      const packet_view Forward = parsed(Packet);
      const built_packet Reset = buildRstToCaller(Forward);
      EXPECT_TRUE(checksumsMatch(Reset.bytes()));
      const packet_view View = parsed(Reset.bytes());
      EXPECT_EQ(View.Source, Forward.Destination);
      EXPECT_EQ(View.Destination, Forward.Source);
      EXPECT_EQ(View.Flags, Case.ResetFlags);
      EXPECT_EQ(View.Sequence, Case.Sequence);
      EXPECT_EQ(View.Acknowledgement, Case.Acknowledgement);
    }
  }
}

// Guards against a RST that the target ignores: it must carry the caller's sequence number.
TEST(packet_builder, ResetToTargetContinuesTheCallersSequence) {
  const bytes Packet = forwardPacket(Ipv4, transport::Tcp, TcpAck | TcpPsh, 50);
  const packet_view Forward = parsed(Packet);
  const built_packet Reset = buildRstToTarget(Forward);
  EXPECT_TRUE(checksumsMatch(Reset.bytes()));
  const packet_view View = parsed(Reset.bytes());
  EXPECT_EQ(View.Source, Forward.Source);
  EXPECT_EQ(View.Destination, Forward.Destination);
  EXPECT_EQ(View.Flags, TcpRst | TcpAck);
  EXPECT_EQ(View.Sequence, 1000U);
  EXPECT_EQ(View.Acknowledgement, 7000U);
}

struct icmp_case {
  const char *Name;
  address_pair Addresses;
  built_packet (*Build)(const packet_view &);
  std::uint8_t Type;
  std::uint8_t Code;
  std::size_t MaxSize;
};

// Guards against an ICMP error that the caller's kernel can't assign to its socket: wrong type or
// code, wrong checksum, or ports that aren't quoted.
TEST(packet_builder, IcmpErrorsQuoteThePacket) {
  const icmp_case Table[] = {
      {"port unreachable", Ipv4, buildPortUnreachable, 3, 3, 576},
      {"prohibited", Ipv4, buildProhibited, 3, 13, 576},
      {"port unreachable v6", Ipv6, buildPortUnreachable, 1, 4, 1280},
      {"prohibited v6", Ipv6, buildProhibited, 1, 1, 1280},
  };
  for (const icmp_case &Case : Table) {
    for (const std::size_t PayloadSize : {std::size_t{0}, std::size_t{1401}}) {
      SCOPED_TRACE(Case.Name);
      SCOPED_TRACE(PayloadSize);
      const bytes Packet = forwardPacket(Case.Addresses, transport::Udp, 0, PayloadSize);
      const packet_view Forward = parsed(Packet);
      const built_packet Error = Case.Build(Forward);
      EXPECT_TRUE(checksumsMatch(Error.bytes()));
      EXPECT_LE(Error.Size, Case.MaxSize);
      const std::size_t HeaderSize = Forward.Source.Address.IsV6 ? 40 : 20;
      EXPECT_EQ(loadU8(Error.bytes().data() + HeaderSize), Case.Type);
      EXPECT_EQ(loadU8(Error.bytes().data() + HeaderSize + 1), Case.Code);
      icmp_error_view View;
      ASSERT_TRUE(parseIcmpError(Error.bytes(), View));
      EXPECT_EQ(View.Quoted, Forward.forwardKey());
      EXPECT_EQ(View.Source, Forward.Destination.Address);
    }
  }
}

// Guards against reading beyond a truncated ICMP message, and against parsing another message as an
// ICMP error.
TEST(packet_view, TruncatedOrOtherIcmpMessagesAreRefused) {
  for (const address_pair &Addresses : {Ipv4, Ipv6}) {
    const bytes Packet = forwardPacket(Addresses, transport::Udp, 0, 0);
    const built_packet Error = buildPortUnreachable(parsed(Packet));
    icmp_error_view View;
    ASSERT_TRUE(parseIcmpError(Error.bytes(), View));
    for (std::size_t Size = 0; Size < Error.Size; ++Size) {
      SCOPED_TRACE(Size);
      const bytes Cut(Error.bytes().begin(),
                      Error.bytes().begin() + static_cast<std::ptrdiff_t>(Size));
      EXPECT_FALSE(parseIcmpError(Cut, View));
    }
    bytes Echo(Error.bytes().begin(), Error.bytes().end());
    Echo[Addresses.Source == Ipv6.Source ? 40 : 20] = std::byte{8};
    EXPECT_FALSE(parseIcmpError(Echo, View));
    EXPECT_FALSE(parseIcmpError(Packet, View));
  }
}

// Guards against writing beyond a buffer.
TEST(packet_builder, TooSmallABufferIsRefused) {
  const packet_spec Spec{*parseEndpoint(Ipv4.Source),
                         *parseEndpoint(Ipv4.Destination),
                         transport::Tcp,
                         TcpSyn,
                         1,
                         0,
                         {}};
  bytes Buffer(packetSize(Spec) - 1);
  EXPECT_EQ(writePacket(Spec, Buffer), 0U);
  Buffer.resize(packetSize(Spec));
  EXPECT_EQ(writePacket(Spec, Buffer), Buffer.size());
}

} // namespace
} // namespace briarpoint
