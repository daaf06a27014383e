#include "daemon/event_log.h"

#include <spdlog/sinks/stdout_sinks.h>

namespace briarpoint {

namespace {

/// Quotes a value that isn't a plain word. Control characters become "?", so that input can't forge
/// log lines.
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

} // namespace

event_log::event_log(std::shared_ptr<spdlog::logger> Logger, time_source &Clock)
    : Logger(std::move(Logger)), Clock(Clock) {}

void event_log::write(log_event Event, std::initializer_list<log_field> Fields) {
  rate &Rate = Rates[Event];
  const instant Now = Clock.now();
  if (Now >= Rate.WindowEnd) {
    Rate.WindowEnd = Now + RateWindow;
    Rate.Written = 0;
  }
  if (Rate.Written >= MaxPerWindow) {
    ++Rate.LeftOut;
    ++Suppressed;
    return;
  }
  ++Rate.Written;

  const log_definition &Definition = definitionOf(Event);
  std::string Line = "event=" + std::to_string(static_cast<unsigned>(Event)) +
                     " name=" + std::string(Definition.Name) + " text=" + quote(Definition.Text);
  for (const log_field &Field : Fields)
    Line += " " + std::string(Field.Key) + "=" + quote(Field.Value);
  if (Rate.LeftOut > 0)
    Line += " suppressed=" + std::to_string(std::exchange(Rate.LeftOut, 0));
  Logger->log(toSpdlog(Definition.Level), "{}", Line);
}

void event_log::setLevel(log_level Level) { Logger->set_level(toSpdlog(Level)); }

std::shared_ptr<spdlog::logger> makeStandardErrorLogger() {
  auto Logger = std::make_shared<spdlog::logger>("briarpoint",
                                                 std::make_shared<spdlog::sinks::stderr_sink_mt>());
  Logger->set_pattern("time=%Y-%m-%dT%H:%M:%S.%e%z level=%l %v");
  Logger->flush_on(spdlog::level::info);
  return Logger;
}

} // namespace briarpoint
