#ifndef BRIARPOINT_CTL_DAEMON_CLIENT_H
#define BRIARPOINT_CTL_DAEMON_CLIENT_H

#include "ctl/ctl_options.h"
#include "io/http_answer.h"

#include <memory>
#include <string>

struct event_base;

namespace briarpoint {

/// Blocking client of the operators' HTTP interface of balancers.
class daemon_client {
public:
  /// \p Options must outlive the object.
  explicit daemon_client(const ctl_options &Options);

  /// Sends a GET to the first server that can be reached.
  /// \throws ctl_error if there is none, or the answer isn't 200.
  std::string get(const std::string &Target) const;

  /// Sends a GET to one server. The caller looks at the outcome.
  http_answer getFrom(const endpoint &Server, const std::string &Target) const;

  /// Sends a POST with the token to the first server to which a connection can be made. It isn't
  /// repeated at another server once it may have been sent.
  http_answer post(const std::string &Target, const std::string &Body) const;

private:
  http_answer call(const endpoint &Server, bool Post, const std::string &Target,
                   const std::string &Body) const;

  struct base_deleter {
    void operator()(event_base *Base) const;
  };

  const ctl_options &Options;
  std::unique_ptr<event_base, base_deleter> Base;
};

} // namespace briarpoint

#endif // BRIARPOINT_CTL_DAEMON_CLIENT_H
