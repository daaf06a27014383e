#ifndef BRIARPOINT_CONFIG_LOG_LEVEL_H
#define BRIARPOINT_CONFIG_LOG_LEVEL_H

#include "config/enum_text.h"

namespace briarpoint {

/// Minimum severity of the log events that are written.
enum class log_level : std::uint8_t { Debug, Info, Warning, Error };

template <> struct enum_names<log_level> {
  static constexpr std::array<std::pair<std::string_view, log_level>, 4> Names{
      {{"debug", log_level::Debug},
       {"info", log_level::Info},
       {"warning", log_level::Warning},
       {"error", log_level::Error}}};
};

} // namespace briarpoint

#endif // BRIARPOINT_CONFIG_LOG_LEVEL_H
