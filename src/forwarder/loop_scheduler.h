#ifndef BRIARPOINT_FORWARDER_LOOP_SCHEDULER_H
#define BRIARPOINT_FORWARDER_LOOP_SCHEDULER_H

#include "io/time_source.h"
#include "io/timer.h"
#include "store/scheduler.h"

#include <utility>

namespace briarpoint {

/// A scheduler on an event loop.
class loop_scheduler final : public scheduler {
public:
  /// Both must outlive the object.
  loop_scheduler(event_loop &Loop, time_source &Clock)
      : Clock(Clock), Timer(Loop, [this] { std::exchange(Action, nullptr)(); }) {}

  instant now() override { return Clock.now(); }
  void runAt(instant Time, std::function<void()> NewAction) override {
    Action = std::move(NewAction);
    Timer.set(Time - Clock.now());
  }

private:
  time_source &Clock;
  std::function<void()> Action;
  timer Timer;
};

} // namespace briarpoint

#endif // BRIARPOINT_FORWARDER_LOOP_SCHEDULER_H
