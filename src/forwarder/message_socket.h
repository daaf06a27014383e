#ifndef BRIARPOINT_FORWARDER_MESSAGE_SOCKET_H
#define BRIARPOINT_FORWARDER_MESSAGE_SOCKET_H

#include "forward/dead_target_exchange.h"
#include "forward/load_exchange.h"
#include "forward/suspicion_exchange.h"
#include "forwarder/forwarder_counters.h"
#include "io/file_descriptor.h"
#include "io/receive_batch.h"
#include "log/event_log.h"
#include "store/revision_exchange.h"

#include <string>

namespace briarpoint {

/// The receivers of messages of other forwarders.
struct peer_exchanges {
  revision_exchange &Revisions;
  suspicion_exchange &Suspicions;
  dead_target_exchange &DeadTargets;
  load_exchange &Loads;
};

/// Exchanges messages with other forwarders over UDP.
class message_socket final : public revision_sender,
                             public suspicion_sender,
                             public target_state_sender,
                             public load_sender {
public:
  /// Opens no socket if the port of \p Local is 0. Everything that is referred to must outlive the
  /// object.
  /// \throws std::system_error if \p Local can't be bound.
  message_socket(const endpoint &Local, event_log &Log, forwarder_counters &Counters);

  bool isOpen() const { return Socket.get() >= 0; }
  int descriptor() const { return Socket.get(); }

  void send(const endpoint &To, const revision_message &Message) override;
  void send(const endpoint &To, const suspicion_message &Message) override;
  void send(const endpoint &To, const target_state_message &Message) override;
  void send(const endpoint &To, const load_report &Message) override;
  void send(const endpoint &To, const load_summary &Message) override;

  /// Passes the received messages on. Malformed ones are counted and dropped.
  void receive(const peer_exchanges &Exchanges, instant Now);

private:
  void handle(const endpoint &From, std::string_view Bytes, const peer_exchanges &Exchanges,
              instant Now);
  void sendBytes(const endpoint &To, const std::string &Bytes);

  event_log &Log;
  forwarder_counters &Counters;
  file_descriptor Socket;
  receive_batch Incoming;
};

} // namespace briarpoint

#endif // BRIARPOINT_FORWARDER_MESSAGE_SOCKET_H
