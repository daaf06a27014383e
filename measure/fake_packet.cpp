#include "measure/fake_packet.h"

#include <algorithm>

namespace briarpoint::measure {

namespace {

void put16(std::span<std::byte> Out, std::size_t At, std::uint32_t Value) {
  Out[At] = static_cast<std::byte>(Value >> 8U);
  Out[At + 1] = static_cast<std::byte>(Value);
}

void put32(std::span<std::byte> Out, std::size_t At, std::uint32_t Value) {
  put16(Out, At, Value >> 16U);
  put16(Out, At + 2, Value & 0xFFFFU);
}

std::uint32_t get16(std::span<const std::byte> In, std::size_t At) {
  return std::to_integer<std::uint32_t>(In[At]) << 8U | std::to_integer<std::uint32_t>(In[At + 1]);
}

std::uint32_t get32(std::span<const std::byte> In, std::size_t At) {
  return get16(In, At) << 16U | get16(In, At + 2);
}

std::uint32_t addWords(std::span<const std::byte> Bytes, std::uint32_t Sum) {
  for (std::size_t I = 0; I + 1 < Bytes.size(); I += 2)
    Sum += get16(Bytes, I);
  return Sum;
}

std::uint32_t fold(std::uint32_t Sum) {
  Sum = (Sum & 0xFFFFU) + (Sum >> 16U);
  Sum = (Sum & 0xFFFFU) + (Sum >> 16U);
  return ~Sum & 0xFFFFU;
}

} // namespace

std::size_t writeFakePacket(const fake_packet &Packet, std::span<std::byte> Out) {
  const bool Tcp = Packet.Protocol == transport::Tcp;
  const std::size_t HeaderSize = Tcp ? 20 : 8;
  // The checksum needs whole 16-bit words; all payload sizes in use are even.
  const std::size_t Size = 20 + HeaderSize + Packet.PayloadSize;
  std::fill_n(Out.begin(), Size, std::byte{0});
  const std::uint32_t Caller = 0x0A000000U | Packet.Flow;
  const std::uint32_t Service = 0xC6336401U + Packet.Service;
  put16(Out, 0, 0x4500);
  put16(Out, 2, static_cast<std::uint32_t>(Size));
  put16(Out, 8, 0x4000U | static_cast<std::uint32_t>(Packet.Protocol));
  put32(Out, 12, Packet.ToCaller ? Service : Caller);
  put32(Out, 16, Packet.ToCaller ? Caller : Service);
  put16(Out, 10, fold(addWords(Out.first(20), 0)));
  put16(Out, 20, Packet.ToCaller ? Packet.ServicePort : Packet.CallerPort);
  put16(Out, 22, Packet.ToCaller ? Packet.CallerPort : Packet.ServicePort);
  if (Tcp) {
    put32(Out, 24, Packet.Sequence);
    put32(Out, 28, Packet.Acknowledgement);
    put16(Out, 32, 0x5000U | Packet.Flags);
    put16(Out, 34, 0xFFFF);
  } else {
    put16(Out, 24, static_cast<std::uint32_t>(8 + Packet.PayloadSize));
  }
  // Pseudo header: addresses, protocol, length.
  const std::uint32_t Pseudo =
      static_cast<std::uint32_t>(Packet.Protocol) + static_cast<std::uint32_t>(Size - 20);
  put16(Out, Tcp ? 36 : 26, fold(addWords(Out.subspan(12, Size - 12), Pseudo)));
  return Size;
}

std::optional<fake_packet> readFakePacket(std::span<const std::byte> Bytes) {
  if (Bytes.size() < 28)
    return std::nullopt;
  fake_packet Packet;
  std::uint32_t Protocol = std::to_integer<std::uint32_t>(Bytes[9]);
  // An ICMP error contains the start of the packet that the caller sent.
  if (Protocol == 1 && Bytes.size() >= 56) {
    Packet.IsIcmp = true;
    Packet.IcmpCode = std::to_integer<std::uint8_t>(Bytes[21]);
    Bytes = Bytes.subspan(28);
    Protocol = std::to_integer<std::uint32_t>(Bytes[9]);
  }
  if (Protocol != 6 && Protocol != 17)
    return std::nullopt;
  Packet.Protocol = static_cast<transport>(Protocol);
  const std::uint32_t Source = get32(Bytes, 12);
  const std::uint32_t Destination = get32(Bytes, 16);
  Packet.ToCaller = Source >> 24U != 10;
  Packet.Flow = (Packet.ToCaller ? Destination : Source) & 0xFFFFFFU;
  Packet.Service =
      static_cast<std::uint8_t>((Packet.ToCaller ? Source : Destination) - 0xC6336401U);
  Packet.CallerPort = static_cast<std::uint16_t>(get16(Bytes, Packet.ToCaller ? 22 : 20));
  Packet.ServicePort = static_cast<std::uint16_t>(get16(Bytes, Packet.ToCaller ? 20 : 22));
  if (Packet.IsIcmp)
    return Packet;
  if (Protocol == 17) {
    Packet.PayloadSize = static_cast<std::uint16_t>(Bytes.size() - 28);
    return Packet;
  }
  if (Bytes.size() < 40)
    return std::nullopt;
  Packet.Sequence = get32(Bytes, 24);
  Packet.Acknowledgement = get32(Bytes, 28);
  Packet.Flags = std::to_integer<std::uint8_t>(Bytes[33]);
  Packet.PayloadSize = static_cast<std::uint16_t>(Bytes.size() - 40);
  return Packet;
}

} // namespace briarpoint::measure
