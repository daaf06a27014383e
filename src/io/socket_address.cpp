#include "io/socket_address.h"

#include <netinet/in.h>

#include <cstring>
#include <system_error>

namespace briarpoint {

socket_address toSocketAddress(const endpoint &Endpoint) {
  socket_address Result;
  if (Endpoint.Address.IsV6) {
    sockaddr_in6 V6{};
    V6.sin6_family = AF_INET6;
    V6.sin6_port = htons(Endpoint.Port);
    std::memcpy(&V6.sin6_addr, Endpoint.Address.Bytes.data(), sizeof(V6.sin6_addr));
    std::memcpy(&Result.Storage, &V6, sizeof(V6));
    Result.Size = sizeof(V6);
    return Result;
  }
  sockaddr_in V4{};
  V4.sin_family = AF_INET;
  V4.sin_port = htons(Endpoint.Port);
  std::memcpy(&V4.sin_addr, Endpoint.Address.Bytes.data(), sizeof(V4.sin_addr));
  std::memcpy(&Result.Storage, &V4, sizeof(V4));
  Result.Size = sizeof(V4);
  return Result;
}

endpoint toEndpoint(const sockaddr_storage &Storage) {
  endpoint Result;
  if (Storage.ss_family == AF_INET6) {
    sockaddr_in6 V6{};
    std::memcpy(&V6, &Storage, sizeof(V6));
    Result.Address.IsV6 = true;
    std::memcpy(Result.Address.Bytes.data(), &V6.sin6_addr, sizeof(V6.sin6_addr));
    Result.Port = ntohs(V6.sin6_port);
  } else if (Storage.ss_family == AF_INET) {
    sockaddr_in V4{};
    std::memcpy(&V4, &Storage, sizeof(V4));
    std::memcpy(Result.Address.Bytes.data(), &V4.sin_addr, sizeof(V4.sin_addr));
    Result.Port = ntohs(V4.sin_port);
  }
  return Result;
}

endpoint localEndpoint(int Descriptor) {
  sockaddr_storage Storage{};
  socklen_t Size = sizeof(Storage);
  if (getsockname(Descriptor, reinterpret_cast<sockaddr *>(&Storage), &Size) != 0)
    throw std::system_error(errno, std::generic_category(), "getsockname");
  return toEndpoint(Storage);
}

} // namespace briarpoint
