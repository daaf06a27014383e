#ifndef BRIARPOINT_TESTS_DAEMON_CONTROL_SUPPORT_H
#define BRIARPOINT_TESTS_DAEMON_CONTROL_SUPPORT_H

#include "base/seeded_random.h"
#include "core/sync/memory_object_store.h"
#include "daemon/control_task.h"
#include "tests/daemon/fabric_support.h"

#include <sstream>

namespace briarpoint {

/// Loopback endpoint that no other test process uses: the address contains the process id.
endpoint testEndpoint(std::uint8_t Host, std::uint16_t Port);

/// HTTP client for tests.
class test_http_client {
public:
  explicit test_http_client(event_loop &Loop) : Client(Loop) {}

  /// A call in progress. Result is valid when Done is set; it is empty if the call failed.
  struct pending {
    bool Done = false;
    std::optional<http_response> Result;
  };
  std::shared_ptr<pending> send(const endpoint &Server, const std::string &Method,
                                const std::string &Target, const std::string &Body = "");

private:
  http_client Client;
};

/// One balancer's control task. The test acts as its packet task.
struct control_task_fixture {
  control_task_fixture(std::uint8_t Host, const settings &Settings, event_loop &Loop,
                       time_source &Clock, object_store &Store);

  packet_commands Commands;
  packet_reports Reports;
  seeded_random Random;
  std::ostringstream LogText;
  event_log Log;
  control_task Task;
};

/// Several control tasks that share an object store in memory, with a clock that the test advances.
class control_task_group {
public:
  explicit control_task_group(std::uint8_t Count);

  static settings settingsOf(std::uint8_t Host);

  /// Advances the clock by 50 ms, then runs the work that is due and handles what has arrived.
  void round();
  /// Runs rounds until \p Condition holds. Returns false if it doesn't hold within two minutes of
  /// the test's clock.
  bool runUntil(const std::function<bool()> &Condition);
  bool allReady();
  /// Sends a request to the operators' interface of a task and returns the response.
  http_response call(std::size_t Index, const std::string &Method, const std::string &Target,
                     const std::string &Body = "");

  event_loop Loop;
  manual_time_source Clock;
  memory_object_store Store;
  test_http_client Http{Loop};
  std::deque<control_task_fixture> Tasks;
};

} // namespace briarpoint

#endif // BRIARPOINT_TESTS_DAEMON_CONTROL_SUPPORT_H
