#ifndef BRIARPOINT_SOAK_STORE_PROXY_H
#define BRIARPOINT_SOAK_STORE_PROXY_H

#include "io/event_loop.h"
#include "net/endpoint.h"

#include <memory>

namespace briarpoint::soak {

/// Fault that a proxy applies to its connections.
enum class proxy_fault : std::uint8_t {
  None,
  /// Reads and discards bytes in both directions.
  DiscardAll,
  /// Discards answers only; requests still reach the server and take effect.
  DiscardAnswers,
  /// Ends all connections, and closes new ones immediately.
  Reset,
};

/// A TCP proxy between a forwarder and the store.
class store_proxy {
public:
  /// \throws std::runtime_error if \p Local can't be bound.
  store_proxy(event_loop &Loop, const endpoint &Local, const endpoint &Store);
  ~store_proxy();
  store_proxy(const store_proxy &) = delete;
  store_proxy &operator=(const store_proxy &) = delete;

  void setFault(proxy_fault Fault);

  /// Ends the current connections; new ones are accepted unless the fault is Reset.
  void endConnections();

private:
  struct state;
  std::unique_ptr<state> State;
};

} // namespace briarpoint::soak

#endif // BRIARPOINT_SOAK_STORE_PROXY_H
