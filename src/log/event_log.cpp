#include "log/event_log.h"

#include <spdlog/details/null_mutex.h>
#include <spdlog/sinks/base_sink.h>
#include <spdlog/sinks/stdout_sinks.h>

#include <fcntl.h>
#include <unistd.h>

namespace briarpoint {

namespace {

/// Quotes a value unless it is a plain word. Control characters are replaced by "?", so that input
/// can't forge log lines.
std::string quote(std::string_view Value) {
  const bool Plain = !Value.empty() && Value.find_first_of(" =\"\\") == std::string_view::npos;
  std::string Result = Plain ? "" : "\"";
  for (const char Character : Value) {
    if (Character == '"' || Character == '\\')
      Result += '\\';
    const auto Code = static_cast<unsigned char>(Character);
    Result += Code < 0x20 || Code == 0x7f ? '?' : Character;
  }
  return Plain ? Result : Result + "\"";
}

spdlog::level::level_enum toSpdlog(log_level Level) {
  switch (Level) {
  case log_level::Debug:
    return spdlog::level::debug;
  case log_level::Info:
    return spdlog::level::info;
  case log_level::Warning:
    return spdlog::level::warn;
  case log_level::Error:
    break;
  }
  return spdlog::level::err;
}

/// Writes each line with one call to a non-blocking descriptor. Not thread-safe.
class non_blocking_sink final : public spdlog::sinks::base_sink<spdlog::details::null_mutex> {
public:
  non_blocking_sink(int Descriptor, std::uint64_t &Dropped)
      : Descriptor(Descriptor), Dropped(Dropped) {
    fcntl(Descriptor, F_SETFL, fcntl(Descriptor, F_GETFL) | O_NONBLOCK);
  }

protected:
  void sink_it_(const spdlog::details::log_msg &Message) override {
    spdlog::memory_buf_t Line;
    formatter_->format(Message, Line);
    // A line of up to PIPE_BUF bytes is written whole or not at all.
    if (write(Descriptor, Line.data(), Line.size()) != static_cast<ssize_t>(Line.size()))
      ++Dropped;
  }
  void flush_() override {}

private:
  int Descriptor;
  std::uint64_t &Dropped;
};

constexpr const char *LinePattern = "time=%Y-%m-%dT%H:%M:%S.%e%z level=%l %v";

} // namespace

event_log::event_log(std::shared_ptr<spdlog::logger> Logger, time_source &Clock,
                     const event_log_limits &Limits)
    : Logger(std::move(Logger)), Clock(Clock), Limits(Limits) {}

void event_log::write(log_event Event, std::initializer_list<log_field> Fields) {
  event_rate &Rate = Rates[Event];
  const instant Now = Clock.now();
  if (Now >= Rate.WindowEnd) {
    Rate.WindowEnd = Now + Limits.Window;
    Rate.Written = 0;
  }
  if (Rate.Written >= Limits.MaxLinesPerWindow) {
    ++Rate.SuppressedLines;
    ++TotalSuppressed;
    return;
  }
  ++Rate.Written;

  const log_event_definition &Definition = definitionOf(Event);
  std::string Line = "event=" + std::to_string(static_cast<unsigned>(Event)) +
                     " name=" + std::string(Definition.Name) + " text=" + quote(Definition.Text);
  for (const log_field &Field : Fields)
    Line += " " + std::string(Field.Key) + "=" + quote(Field.Value);
  if (Rate.SuppressedLines > 0)
    Line += " suppressed=" + std::to_string(std::exchange(Rate.SuppressedLines, 0));
  Logger->log(toSpdlog(Definition.Level), "{}", Line);
}

void event_log::setLevel(log_level Level) { Logger->set_level(toSpdlog(Level)); }

std::shared_ptr<spdlog::logger> makeStandardErrorLogger() {
  auto Logger = std::make_shared<spdlog::logger>("briarpoint",
                                                 std::make_shared<spdlog::sinks::stderr_sink_mt>());
  Logger->set_pattern(LinePattern);
  Logger->flush_on(spdlog::level::info);
  return Logger;
}

std::shared_ptr<spdlog::logger> makeNonBlockingLogger(std::uint64_t &Dropped) {
  auto Logger = std::make_shared<spdlog::logger>(
      "briarpoint", std::make_shared<non_blocking_sink>(STDOUT_FILENO, Dropped));
  Logger->set_pattern(LinePattern);
  return Logger;
}

} // namespace briarpoint
