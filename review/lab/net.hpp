#ifndef REVIEW_LAB_NET_HPP
#define REVIEW_LAB_NET_HPP

#include <cerrno>
#include <compare>
#include <cstdint>
#include <cstring>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

namespace lab {

inline std::string dotted(std::uint32_t Address) {
  in_addr In{htonl(Address)};
  char Text[INET_ADDRSTRLEN];
  inet_ntop(AF_INET, &In, Text, sizeof(Text));
  return Text;
}

inline std::string dotted(std::uint32_t Address, std::uint16_t Port) {
  return dotted(Address) + ":" + std::to_string(Port);
}

inline sockaddr_in socketAddress(std::uint32_t Address, std::uint16_t Port) {
  sockaddr_in Result{};
  Result.sin_family = AF_INET;
  Result.sin_addr.s_addr = htonl(Address);
  Result.sin_port = htons(Port);
  return Result;
}

inline int openSocket(int Type, std::uint32_t Address, std::uint16_t Port) {
  const int Descriptor = socket(AF_INET, Type | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  const int On = 1;
  if (Type == SOCK_STREAM)
    setsockopt(Descriptor, SOL_SOCKET, SO_REUSEADDR, &On, sizeof(On));
  const sockaddr_in Local = socketAddress(Address, Port);
  if (bind(Descriptor, reinterpret_cast<const sockaddr *>(&Local), sizeof(Local)) != 0 ||
      (Type == SOCK_STREAM && listen(Descriptor, 128) != 0)) {
    close(Descriptor);
    throw std::runtime_error("can't bind " + dotted(Address, Port));
  }
  return Descriptor;
}

/// The platform's packet.
struct packet {
  enum : unsigned { Rst = 1, Fin = 2, Syn = 8, Ack = 16 };
  unsigned Flags = 0;
  std::uint32_t Sum = 0;
  std::uint32_t Seq = 0;
  std::uint32_t Acked = 0;
  std::uint32_t Echo = 0;
  std::uint32_t Src = 0;
  std::uint32_t Dst = 0;
  std::uint16_t Dport = 0;
  std::uint16_t Sport = 0;
  std::string Data;

  /// Sum over all fields but the echo; the key is known to hosts and clients only.
  std::uint32_t sum() const {
    std::uint64_t Hash = 0x9e3779b97f4a7c15;
    const auto Mix = [&](std::uint64_t Value) {
      Hash = (Hash ^ Value) * 0x100000001b3;
      Hash ^= Hash >> 29;
    };
    for (const std::uint64_t Field :
         {std::uint64_t{Flags}, std::uint64_t{Seq}, std::uint64_t{Acked}, std::uint64_t{Src},
          std::uint64_t{Dst}, std::uint64_t{Dport}, std::uint64_t{Sport},
          std::uint64_t{Data.size()}})
      Mix(Field);
    for (const char Character : Data)
      Mix(static_cast<unsigned char>(Character));
    const auto Result = static_cast<std::uint32_t>(Hash & 0xffffff);
    return Result == 0 ? 1 : Result;
  }

  std::string encode() const {
    std::string Out;
    const auto Put = [&](std::uint64_t Value, int Bytes) {
      for (int I = Bytes - 1; I >= 0; --I)
        Out += static_cast<char>(Value >> (8 * I));
    };
    Put(Flags, 1);
    Put(Data.size(), 2);
    Put(sum(), 4);
    Put(Seq, 4);
    Put(Acked, 4);
    Put(Echo, 4);
    Put(Src, 4);
    Put(Dst, 4);
    Put(Dport, 2);
    Put(Sport, 2);
    return Out + Data;
  }

  static std::optional<packet> decode(std::string_view Bytes) {
    constexpr std::size_t HeaderSize = 31;
    if (Bytes.size() < HeaderSize)
      return std::nullopt;
    std::size_t Next = 0;
    const auto Get = [&](int Count) {
      std::uint64_t Value = 0;
      for (int I = 0; I < Count; ++I)
        Value = Value << 8 | static_cast<unsigned char>(Bytes[Next++]);
      return Value;
    };
    packet Result;
    Result.Flags = static_cast<unsigned>(Get(1));
    const auto Length = Get(2);
    Result.Sum = static_cast<std::uint32_t>(Get(4));
    Result.Seq = static_cast<std::uint32_t>(Get(4));
    Result.Acked = static_cast<std::uint32_t>(Get(4));
    Result.Echo = static_cast<std::uint32_t>(Get(4));
    Result.Src = static_cast<std::uint32_t>(Get(4));
    Result.Dst = static_cast<std::uint32_t>(Get(4));
    Result.Dport = static_cast<std::uint16_t>(Get(2));
    Result.Sport = static_cast<std::uint16_t>(Get(2));
    if (Bytes.size() != HeaderSize + Length)
      return std::nullopt;
    Result.Data = Bytes.substr(HeaderSize);
    return Result;
  }

  bool intact() const { return Sum == sum(); }
};

/// Source and destination of a client's packets.
struct flow_key {
  std::uint32_t Src = 0;
  std::uint16_t Sport = 0;
  std::uint32_t Dst = 0;
  std::uint16_t Dport = 0;
  auto operator<=>(const flow_key &) const = default;
};

inline std::string name(const flow_key &Flow) {
  return dotted(Flow.Src, Flow.Sport) + " -> " + dotted(Flow.Dst, Flow.Dport);
}

inline void sendTo(int Descriptor, std::uint32_t Address, std::uint16_t Port,
                   const std::string &Bytes) {
  const sockaddr_in To = socketAddress(Address, Port);
  sendto(Descriptor, Bytes.data(), Bytes.size(), MSG_DONTWAIT,
         reinterpret_cast<const sockaddr *>(&To), sizeof(To));
}

/// Calls \p Handle with each waiting datagram.
template <typename T> void receiveAll(int Descriptor, T &&Handle) {
  char Buffer[4096];
  for (;;) {
    const ssize_t Size = recv(Descriptor, Buffer, sizeof(Buffer), MSG_DONTWAIT);
    if (Size < 0)
      return;
    Handle(std::string_view(Buffer, static_cast<std::size_t>(Size)));
  }
}

} // namespace lab

#endif // REVIEW_LAB_NET_HPP
