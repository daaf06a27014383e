#ifndef BRIARPOINT_CORE_DATA_SERVICE_MATCHER_H
#define BRIARPOINT_CORE_DATA_SERVICE_MATCHER_H

#include "core/view/forwarding_view.h"

namespace briarpoint {

/// Finds the service of a packet. A small direct-mapped cache of results is enough, because a
/// fabric has few services.
class service_matcher {
public:
  /// \p NewView must live until the next call.
  void setView(const forwarding_view &NewView) {
    View = &NewView;
    Cache = {};
  }

  const forwarding_view::service_match &match(const endpoint &Destination, transport Protocol) {
    const std::size_t Index = (Destination.Port ^ Destination.Address.Bytes[3] ^
                               Destination.Address.Bytes[15] ^ (Destination.Port >> 5U)) %
                              CacheSize;
    result &Result = Cache[Index];
    if (Result.Match.Service == nullptr || Result.Protocol != Protocol ||
        Result.Destination != Destination)
      Result = {Destination, Protocol, View->matchService(Destination, Protocol)};
    return Result.Match;
  }

private:
  static constexpr std::size_t CacheSize = 64;

  struct result {
    endpoint Destination;
    transport Protocol = transport::Tcp;
    forwarding_view::service_match Match;
  };

  const forwarding_view *View = nullptr;
  std::array<result, CacheSize> Cache;
};

} // namespace briarpoint

#endif // BRIARPOINT_CORE_DATA_SERVICE_MATCHER_H
