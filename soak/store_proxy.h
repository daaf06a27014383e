#ifndef BRIARPOINT_SOAK_STORE_PROXY_H
#define BRIARPOINT_SOAK_STORE_PROXY_H

#include "io/event_loop.h"
#include "net/endpoint.h"

#include <memory>

namespace briarpoint::soak {

/// What a proxy does with the connections that pass through it.
enum class proxy_fault : std::uint8_t {
  None,
  /// Bytes are read and never passed on, in both directions.
  Silent,
  /// The same for answers only: the server acts on requests.
  AnswersLost,
  /// Connections are ended, and new ones at once.
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

  /// Ends all connections.
  void endConnections();

private:
  struct state;
  std::unique_ptr<state> State;
};

} // namespace briarpoint::soak

#endif // BRIARPOINT_SOAK_STORE_PROXY_H
