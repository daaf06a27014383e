#include "net/packet_builder.h"

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

packet_spec specOf(const address_pair &Addresses, transport Protocol) {
  packet_spec Spec;
  Spec.Source = *parseEndpoint(Addresses.Source);
  Spec.Destination = *parseEndpoint(Addresses.Destination);
  Spec.Protocol = Protocol;
  if (Protocol == transport::Tcp) {
    Spec.Flags = TcpAck | TcpPsh;
    Spec.Sequence = 0xFFFFFFF0;
    Spec.Acknowledgement = 17;
  }
  return Spec;
}

// Guards against reading fields at a wrong offset in one of the four header combinations.
TEST(packet_view, EachCombinationOfHeadersIsReadAsItWasBuilt) {
  const bytes Payload(33, std::byte{0x5A});
  for (const address_pair &Addresses : {Ipv4, Ipv6}) {
    for (const transport Protocol : {transport::Tcp, transport::Udp}) {
      SCOPED_TRACE(Addresses.Source);
      SCOPED_TRACE(static_cast<int>(Protocol));
      packet_spec Spec = specOf(Addresses, Protocol);
      Spec.Payload = Payload;
      bytes Packet = buildPacket(Spec);
      EXPECT_TRUE(checksumsMatch(Packet));
      // Bytes after the packet, for example Ethernet padding, don't belong to it.
      Packet.resize(Packet.size() + 5);

      packet_view View;
      ASSERT_EQ(parsePacket(Packet, View), parse_error::None);
      EXPECT_EQ(View.Source, Spec.Source);
      EXPECT_EQ(View.Destination, Spec.Destination);
      EXPECT_EQ(View.Protocol, Protocol);
      EXPECT_EQ(View.Flags, Spec.Flags);
      EXPECT_EQ(View.Sequence, Spec.Sequence);
      EXPECT_EQ(View.Acknowledgement, Spec.Acknowledgement);
      EXPECT_EQ(View.Bytes.size(), Packet.size() - 5);
      EXPECT_EQ(bytes(View.payload().begin(), View.payload().end()), Payload);
      EXPECT_EQ(View.replyKey().Caller, Spec.Destination);
    }
  }
}

/// A well-formed packet of which one byte is replaced, and the expected error.
struct changed_byte {
  const char *Name;
  address_pair Addresses;
  transport Protocol;
  std::size_t Offset;
  std::uint8_t Value;
  parse_error Expected;
};

// Guards against forwarding a packet whose headers contradict each other or whose ports are
// unknown.
TEST(packet_view, EachMalformedHeaderIsRefused) {
  const changed_byte Table[] = {
      {"version 5", Ipv4, transport::Tcp, 0, 0x55, parse_error::BadHeader},
      {"IPv4 header of 4 words", Ipv4, transport::Tcp, 0, 0x44, parse_error::BadHeader},
      {"IPv4 header beyond the packet", Ipv4, transport::Tcp, 0, 0x4F, parse_error::BadLength},
      {"IPv4 total length too large", Ipv4, transport::Tcp, 3, 200, parse_error::BadLength},
      {"IPv4 total length below header", Ipv4, transport::Tcp, 3, 19, parse_error::BadLength},
      {"IPv4 total length cuts TCP", Ipv4, transport::Tcp, 3, 39, parse_error::BadLength},
      {"IPv4 more fragments", Ipv4, transport::Tcp, 6, 0x20, parse_error::Fragment},
      {"IPv4 fragment offset", Ipv4, transport::Udp, 7, 0x01, parse_error::Fragment},
      {"IPv4 with ICMP", Ipv4, transport::Tcp, 9, 1, parse_error::UnsupportedProtocol},
      {"TCP header of 4 words", Ipv4, transport::Tcp, 32, 0x40, parse_error::BadHeader},
      {"TCP header beyond the packet", Ipv4, transport::Tcp, 32, 0xF0, parse_error::BadLength},
      {"UDP length too small", Ipv4, transport::Udp, 25, 7, parse_error::BadLength},
      {"UDP length too large", Ipv4, transport::Udp, 25, 100, parse_error::BadLength},
      {"IPv6 payload length too large", Ipv6, transport::Tcp, 5, 200, parse_error::BadLength},
      {"IPv6 payload length cuts TCP", Ipv6, transport::Tcp, 5, 19, parse_error::BadLength},
      {"IPv6 fragment header", Ipv6, transport::Tcp, 6, 44, parse_error::Fragment},
      {"IPv6 hop-by-hop options", Ipv6, transport::Tcp, 6, 0, parse_error::UnsupportedProtocol},
      {"IPv6 routing header", Ipv6, transport::Udp, 6, 43, parse_error::UnsupportedProtocol},
      {"IPv6 TCP header beyond packet", Ipv6, transport::Tcp, 52, 0xF0, parse_error::BadLength},
  };
  for (const changed_byte &Case : Table) {
    SCOPED_TRACE(Case.Name);
    bytes Packet = buildPacket(specOf(Case.Addresses, Case.Protocol));
    packet_view View;
    ASSERT_EQ(parsePacket(Packet, View), parse_error::None);
    Packet[Case.Offset] = std::byte{Case.Value};
    EXPECT_EQ(parsePacket(Packet, View), Case.Expected);
  }
}

// Guards against reading beyond a truncated packet.
TEST(packet_view, EachTruncatedPacketIsRefused) {
  for (const address_pair &Addresses : {Ipv4, Ipv6}) {
    for (const transport Protocol : {transport::Tcp, transport::Udp}) {
      const bytes Packet = buildPacket(specOf(Addresses, Protocol));
      for (std::size_t Size = 0; Size < Packet.size(); ++Size) {
        SCOPED_TRACE(Size);
        // A copy of exactly this size, so that a sanitizer sees a read beyond it.
        const bytes Truncated(Packet.begin(), Packet.begin() + static_cast<std::ptrdiff_t>(Size));
        packet_view View;
        EXPECT_EQ(parsePacket(Truncated, View), parse_error::BadLength);
      }
    }
  }
}

// Guards against taking a later segment of a connection for a connection attempt.
TEST(packet_view, OnlySynWithoutAckRstOrFinIsASetup) {
  const std::pair<std::uint8_t, bool> Table[] = {
      {TcpSyn, true},           {TcpSyn | TcpPsh, true},  {TcpSyn | TcpAck, false},
      {TcpSyn | TcpFin, false}, {TcpSyn | TcpRst, false}, {TcpAck, false},
      {TcpFin | TcpAck, false}, {TcpRst, false},          {0, false},
  };
  for (const auto &[Flags, Expected] : Table) {
    SCOPED_TRACE(static_cast<int>(Flags));
    packet_view View;
    View.Flags = Flags;
    EXPECT_EQ(View.isSetup(), Expected);
  }
}

} // namespace
} // namespace briarpoint
