#ifndef BRIARPOINT_MEASURE_FAKE_PACKET_H
#define BRIARPOINT_MEASURE_FAKE_PACKET_H

#include "net/flow_key.h"

#include <optional>
#include <span>

namespace briarpoint::measure {

inline constexpr std::uint8_t TcpFin = 0x01;
inline constexpr std::uint8_t TcpSyn = 0x02;
inline constexpr std::uint8_t TcpRst = 0x04;
inline constexpr std::uint8_t TcpAck = 0x10;

/// A packet between a simulated caller and a simulated target.
struct fake_packet {
  /// Index of the flow, and port of the caller. The caller's address is 10.0.0.0 + the index.
  std::uint32_t Flow = 0;
  std::uint16_t CallerPort = 0;
  std::uint8_t Service = 0;
  std::uint16_t ServicePort = 0;
  transport Protocol = transport::Tcp;
  bool ToCaller = false;
  /// Whether the packet is an ICMP error about a packet of the flow, and its code.
  bool IsIcmp = false;
  std::uint8_t IcmpCode = 0;
  std::uint8_t Flags = 0;
  std::uint32_t Sequence = 0;
  std::uint32_t Acknowledgement = 0;
  std::uint16_t PayloadSize = 0;
};

/// Largest packet in bytes.
inline constexpr std::size_t MaxFakePacketSize = 128;

/// Writes an IPv4 packet with valid checksums and returns its size in bytes. \p Out must have
/// MaxFakePacketSize bytes.
std::size_t writeFakePacket(const fake_packet &Packet, std::span<std::byte> Out);

/// Parses a packet. Returns nothing if it is too short or its protocol is neither TCP, UDP nor an
/// ICMP error.
std::optional<fake_packet> readFakePacket(std::span<const std::byte> Bytes);

} // namespace briarpoint::measure

#endif // BRIARPOINT_MEASURE_FAKE_PACKET_H
