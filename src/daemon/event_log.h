#ifndef BRIARPOINT_DAEMON_EVENT_LOG_H
#define BRIARPOINT_DAEMON_EVENT_LOG_H

#include "daemon/log_event.h"
#include "io/time_source.h"

#include <spdlog/logger.h>

#include <cstdint>
#include <initializer_list>
#include <map>
#include <memory>
#include <string>

namespace briarpoint {

/// A named value of a log line.
struct log_field {
  std::string_view Key;
  std::string Value;
};

/// Writes events as lines of key=value pairs and limits the rate of each event, so that hostile
/// input can't flood the log. Not thread-safe.
class event_log {
public:
  /// Lines of one event per RateWindow; the rest is counted.
  static constexpr std::uint32_t MaxPerWindow = 10;
  static constexpr duration RateWindow = std::chrono::seconds(10);

  /// \p Clock must outlive the log.
  event_log(std::shared_ptr<spdlog::logger> Logger, time_source &Clock);

  void write(log_event Event, std::initializer_list<log_field> Fields = {});

  /// Events below \p Level are not written.
  void setLevel(log_level Level);

  /// Lines that were left out since the start.
  std::uint64_t suppressed() const { return Suppressed; }

private:
  struct rate {
    instant WindowEnd{};
    std::uint32_t Written = 0;
    std::uint64_t LeftOut = 0;
  };

  std::shared_ptr<spdlog::logger> Logger;
  time_source &Clock;
  std::uint64_t Suppressed = 0;
  std::map<log_event, rate> Rates;
};

/// Returns a logger that writes to the standard error stream.
std::shared_ptr<spdlog::logger> makeStandardErrorLogger();

} // namespace briarpoint

#endif // BRIARPOINT_DAEMON_EVENT_LOG_H
