#ifndef BRIARPOINT_LOG_EVENT_LOG_H
#define BRIARPOINT_LOG_EVENT_LOG_H

#include "io/time_source.h"
#include "log/log_event.h"

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

/// Rate limit of each event: further lines within the window are suppressed and counted.
struct event_log_limits {
  std::uint32_t MaxLinesPerWindow = 10;
  duration Window = std::chrono::seconds(10);
};

/// Writes events as lines of key=value pairs and limits the rate of each event, so that hostile
/// input can't flood the log. Not thread-safe.
class event_log {
public:
  /// \p Clock must outlive the log.
  event_log(std::shared_ptr<spdlog::logger> Logger, time_source &Clock,
            const event_log_limits &Limits = {});

  void write(log_event Event, std::initializer_list<log_field> Fields = {});

  /// Events below \p Level are not written.
  void setLevel(log_level Level);

  /// Lines suppressed by the rate limit since the log was created.
  std::uint64_t suppressedLines() const { return TotalSuppressed; }

private:
  struct event_rate {
    instant WindowEnd{};
    std::uint32_t Written = 0;
    /// Since the last line that was written.
    std::uint64_t SuppressedLines = 0;
  };

  std::shared_ptr<spdlog::logger> Logger;
  time_source &Clock;
  event_log_limits Limits;
  std::uint64_t TotalSuppressed = 0;
  std::map<log_event, event_rate> Rates;
};

/// Returns a logger that writes to the standard error stream.
std::shared_ptr<spdlog::logger> makeStandardErrorLogger();

/// Returns a logger that writes to the standard output without blocking: lines that don't fit into
/// the pipe are dropped and counted in \p Dropped, which must outlive the logger.
std::shared_ptr<spdlog::logger> makeNonBlockingLogger(std::uint64_t &Dropped);

} // namespace briarpoint

#endif // BRIARPOINT_LOG_EVENT_LOG_H
