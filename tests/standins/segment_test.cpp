#include "standins/segment.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace briarpoint {
namespace {

segment makeSegment(segment_kind Kind, bool IsV6, const std::string &Payload) {
  segment Segment;
  Segment.Kind = Kind;
  Segment.Source = *parseEndpoint(IsV6 ? "[2001:db8::1]:5000" : "198.18.0.1:5000");
  Segment.Destination = *parseEndpoint(IsV6 ? "[2001:db8::2]:80" : "203.0.113.1:80");
  if (Kind == segment_kind::Tcp) {
    Segment.Flags = TcpAck;
    Segment.Sequence = 0xfffffff0;
    Segment.Acknowledgement = 7;
  }
  Segment.Payload = Payload;
  return Segment;
}

// Guards against fields that encodeSegment() and parseSegment() treat differently.
RC_GTEST_PROP(segment_codec, parsesEncodedSegments,
              (bool IsTcp, bool IsV6, const std::string &Payload)) {
  const segment Segment = makeSegment(IsTcp ? segment_kind::Tcp : segment_kind::Udp, IsV6, Payload);
  const auto Parsed = parseSegment(encodeSegment(Segment));
  RC_ASSERT(Parsed.has_value());
  RC_ASSERT(*Parsed == Segment);
}

// Guards against accepting corrupt packets: a flipped bit anywhere that a checksum covers must be
// detected. IPv4 only, because an IPv6 header has no checksum; only its addresses and lengths are
// covered by the transport's.
TEST(segment_codec, detectsFlippedBits) {
  const std::vector<std::byte> Good =
      encodeSegment(makeSegment(segment_kind::Tcp, false, "payload"));
  for (std::size_t I = 0; I < Good.size() * 8; ++I) {
    std::vector<std::byte> Bad = Good;
    Bad[I / 8] ^= static_cast<std::byte>(1U << (I % 8));
    EXPECT_FALSE(parseSegment(Bad)) << "bit " << I;
  }
}

// Guards against reads beyond the end of a truncated packet.
TEST(segment_codec, refusesTruncatedPackets) {
  for (const segment_kind Kind : {segment_kind::Tcp, segment_kind::Udp})
    for (const bool IsV6 : {false, true}) {
      const std::vector<std::byte> Good = encodeSegment(makeSegment(Kind, IsV6, "payload"));
      for (std::size_t Size = 0; Size < Good.size(); ++Size)
        EXPECT_FALSE(parseSegment(std::span(Good).first(Size))) << Size;
    }
}

} // namespace
} // namespace briarpoint
