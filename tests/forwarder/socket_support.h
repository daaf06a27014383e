#ifndef BRIARPOINT_TESTS_FORWARDER_SOCKET_SUPPORT_H
#define BRIARPOINT_TESTS_FORWARDER_SOCKET_SUPPORT_H

#include "io/time_source.h"
#include "log/event_log.h"
#include "net/endpoint.h"

#include <gtest/gtest.h>
#include <spdlog/sinks/null_sink.h>

namespace briarpoint {

/// Returns the loopback address with a port that the system chooses.
inline endpoint anyPort() { return {parseEndpoint("127.0.0.1:1")->Address, 0}; }

/// A clock that tests set, and a log that writes nothing.
class socket_test : public testing::Test {
protected:
  class set_clock final : public time_source {
  public:
    instant now() override { return Now; }
    instant Now{std::chrono::seconds(100)};
  };

  set_clock Clock;
  event_log Log{
      std::make_shared<spdlog::logger>("none", std::make_shared<spdlog::sinks::null_sink_mt>()),
      Clock};
};

} // namespace briarpoint

#endif // BRIARPOINT_TESTS_FORWARDER_SOCKET_SUPPORT_H
