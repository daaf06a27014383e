#ifndef BRIARPOINT_IO_TIMER_H
#define BRIARPOINT_IO_TIMER_H

#include "io/event_loop.h"
#include "io/event_pointer.h"

#include <functional>

namespace briarpoint {

/// A timer on an event loop that fires once each time it is set.
class timer {
public:
  /// \p Loop must outlive the timer.
  timer(event_loop &Loop, std::function<void()> Handler);
  timer(const timer &) = delete;
  timer &operator=(const timer &) = delete;

  /// Makes the timer fire after \p Delay, at once if that is negative. Replaces the time set
  /// before.
  void set(duration Delay);

private:
  static void onExpiry(int, short, void *Argument);

  std::function<void()> Handler;
  event_pointer Event;
};

} // namespace briarpoint

#endif // BRIARPOINT_IO_TIMER_H
