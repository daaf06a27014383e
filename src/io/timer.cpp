#include "io/timer.h"

#include "io/timeval.h"

#include <algorithm>
#include <stdexcept>
#include <utility>

namespace briarpoint {

timer::timer(event_loop &Loop, std::function<void()> Handler)
    : Handler(std::move(Handler)), Event(event_new(Loop.base(), -1, 0, onExpiry, this)) {
  if (Event == nullptr)
    throw std::runtime_error("event_new failed");
}

void timer::onExpiry(int, short, void *Argument) { static_cast<timer *>(Argument)->Handler(); }

void timer::set(duration Delay) {
  const timeval Time = toTimeval(std::max(Delay, duration::zero()));
  event_add(Event.get(), &Time);
}

} // namespace briarpoint
