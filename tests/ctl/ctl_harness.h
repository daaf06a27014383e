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

/// Runs briarpointctl against a server that answers from a table.
class ctl_harness {
public:
  struct outcome {
    exit_code Code = exit_code::UnexpectedAnswer;
    std::string Out;
    std::string Err;
  };

  ctl_harness();
  ~ctl_harness();

  /// Sets the answer to "METHOD target"; requests without one get 404.
  void answer(const std::string &Request, std::uint16_t Status, const std::string &Body);
  /// Never answers this request.
  void leaveUnanswered(const std::string &Request);

  /// Runs with the arguments, "--server" for this server and a short time limit.
  outcome run(std::vector<std::string> Arguments);
  /// Runs with exactly these arguments.
  outcome runExactly(const std::vector<std::string> &Arguments);

  std::string address() const;
  /// Returns an address that refuses connections.
  static std::string refusingAddress();

  /// Environment variables of the runs.
  std::map<std::string, std::string> EnvironmentVariables;
  /// Requests received so far as "METHOD target".
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
  std::map<std::string, std::optional<standins::http_service::response>> Answers;
  std::unique_ptr<standins::http_service> Server;
};

} // namespace briarpoint::test

#endif // BRIARPOINT_TESTS_CTL_CTL_HARNESS_H
