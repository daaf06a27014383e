#ifndef BRIARPOINT_IO_TIME_SOURCE_H
#define BRIARPOINT_IO_TIME_SOURCE_H

#include "base/instant.h"

namespace briarpoint {

/// Clock of the tasks. Tests replace it by a simulated one.
class time_source {
public:
  virtual ~time_source() = default;

  virtual instant now() = 0;
};

/// The monotonic clock of the operating system.
class steady_time_source final : public time_source {
public:
  instant now() override {
    return instant(
        std::chrono::duration_cast<duration>(std::chrono::steady_clock::now().time_since_epoch()));
  }
};

} // namespace briarpoint

#endif // BRIARPOINT_IO_TIME_SOURCE_H
