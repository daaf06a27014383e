#ifndef BRIARPOINT_TESTS_CTL_CTL_HARNESS_H
#define BRIARPOINT_TESTS_CTL_CTL_HARNESS_H

#include "ctl/exit_code.h"
#include "standins/http_service.h"

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

struct event_base;

namespace briarpoint::test {

/// Runs briarpointctl against an HTTP server that sends prepared responses.
class ctl_harness {
public:
  struct outcome {
    exit_code Code = exit_code::UnexpectedAnswer;
    std::string Out;
    std::string Err;
  };

  ctl_harness();
  ~ctl_harness();

  /// Sets the response to the request "METHOD target". Requests without a response get 404.
  void setResponse(const std::string &Request, std::uint16_t Status, const std::string &Body);
  /// Leaves the request "METHOD target" without a response.
  void leaveUnanswered(const std::string &Request);

  /// Runs with the arguments, --server for this server and a time limit of 0.5 s.
  outcome run(std::vector<std::string> Arguments);
  /// Runs with the arguments only.
  outcome runExactly(const std::vector<std::string> &Arguments);

  /// Address of the server.
  std::string address() const;
  /// Starts a second server that gives every request the same response. Returns its address.
  std::string startSecondServer(std::uint16_t Status, const std::string &Body);
  /// Returns an address that refuses connections.
  static std::string refusingAddress();

  /// Environment variables of the runs.
  std::map<std::string, std::string> EnvironmentVariables;
  /// Requests received so far, each as "METHOD target".
  std::vector<std::string> Requests;
  /// Body and Authorization header of the last POST.
  std::string PostBody;
  std::string PostAuthorization;

private:
  void handle(const standins::http_service::request &Request);

  struct base_deleter {
    void operator()(event_base *Base) const;
  };
  std::unique_ptr<event_base, base_deleter> Base;
  std::map<std::string, std::optional<standins::http_service::response>> Responses;
  std::unique_ptr<standins::http_service> Server;
  std::unique_ptr<standins::http_service> SecondServer;
};

} // namespace briarpoint::test

#endif // BRIARPOINT_TESTS_CTL_CTL_HARNESS_H
