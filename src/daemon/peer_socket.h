#ifndef BRIARPOINT_DAEMON_PEER_SOCKET_H
#define BRIARPOINT_DAEMON_PEER_SOCKET_H

#include "core/control/peer_message.h"
#include "daemon/control_counters.h"
#include "io/file_descriptor.h"
#include "io/receive_batch.h"
#include "log/event_log.h"
#include "peer/authenticator_settings.h"
#include "peer/message_authenticator.h"

#include <functional>

namespace briarpoint {

/// UDP socket for authenticated messages between balancers.
class peer_socket {
public:
  using handler = std::function<void(const endpoint &, const peer_message &)>;

  /// \throws std::system_error if \p Local can't be bound.
  peer_socket(const endpoint &Local, const authenticator_settings &Settings,
              control_counters &Counters, event_log &Log);

  int descriptor() const { return Socket.get(); }
  endpoint local() const;

  void send(const endpoint &To, const peer_message &Message);

  /// Receives all waiting messages and calls \p Handle for each valid one. Others are counted,
  /// logged and dropped.
  void receive(const handler &Handle);

  /// Replaces the keys. \p Settings must have a higher incarnation, because sequence numbers
  /// start at 1 again.
  void setAuthenticator(const authenticator_settings &Settings) {
    Authenticator = message_authenticator(Settings);
  }

private:
  void handleDatagram(const endpoint &From, std::string_view Bytes, const handler &Handle);

  file_descriptor Socket;
  message_authenticator Authenticator;
  control_counters &Counters;
  event_log &Log;
  receive_batch Incoming;
};

} // namespace briarpoint

#endif // BRIARPOINT_DAEMON_PEER_SOCKET_H
