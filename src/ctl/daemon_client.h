#ifndef BRIARPOINT_CTL_DAEMON_CLIENT_H
#define BRIARPOINT_CTL_DAEMON_CLIENT_H

#include "ctl/ctl_options.h"
#include "io/http_answer.h"

#include <memory>
#include <string>

struct event_base;

namespace briarpoint {

/// Client of the operators' HTTP interface of balancers. Each request blocks until it is answered
/// or its time limit has passed. A request target is a path with an optional query.
class daemon_client {
public:
  /// \p Options must outlive the object.
  explicit daemon_client(const ctl_options &Options);

  /// Sends a GET to the servers in order until one answers, and returns the body.
  /// \throws ctl_error with exit_code::Unreachable if no server answers, or with
  /// exit_code::UnexpectedAnswer if the status of the answer is not 200.
  std::string get(const std::string &RequestTarget) const;

  /// Sends a GET to one server.
  http_answer getFrom(const endpoint &Server, const std::string &RequestTarget) const;

  /// Sends a POST to the first server that accepts a connection. Once the request may have been
  /// sent, no other server is tried, because the first one may have executed it.
  http_answer post(const std::string &RequestTarget, const std::string &Body) const;

private:
  http_answer send(const endpoint &Server, bool IsPost, const std::string &RequestTarget,
                   const std::string &Body) const;

  struct base_deleter {
    void operator()(event_base *Base) const;
  };

  const ctl_options &Options;
  std::unique_ptr<event_base, base_deleter> Base;
};

} // namespace briarpoint

#endif // BRIARPOINT_CTL_DAEMON_CLIENT_H
