#ifndef BRIARPOINT_DAEMON_OPERATOR_INTERFACE_H
#define BRIARPOINT_DAEMON_OPERATOR_INTERFACE_H

#include "daemon/operator_backend.h"
#include "io/http_message.h"

namespace briarpoint {

/// Handles the requests of the operators' HTTP interface. The HTTP server is separate.
class operator_interface {
public:
  /// \p Token authorizes writes; if it is empty, writes are refused. \p Backend must outlive the
  /// object.
  operator_interface(std::string Token, operator_backend &Backend);

  void setToken(std::string NewToken) { Token = std::move(NewToken); }

  void handle(const incoming_request &Request, const http_responder &Respond);

private:
  void handleGet(const incoming_request &Request, const http_responder &Respond);
  void handlePost(const incoming_request &Request, const http_responder &Respond);
  void readConfiguration(const std::string &VersionText, const http_responder &Respond);
  void submitPatch(const incoming_request &Request, const http_responder &Respond);
  void refuse(const incoming_request &Request, int Status, const std::string &Message,
              const http_responder &Respond);
  bool isAuthorized(const incoming_request &Request) const;

  std::string Token;
  operator_backend &Backend;
};

} // namespace briarpoint

#endif // BRIARPOINT_DAEMON_OPERATOR_INTERFACE_H
