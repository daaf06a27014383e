#ifndef BRIARPOINT_IO_EVENT_POINTER_H
#define BRIARPOINT_IO_EVENT_POINTER_H

#include <event2/event.h>

#include <memory>

namespace briarpoint {

struct event_deleter {
  void operator()(event *Event) const { event_free(Event); }
};

/// Owns an event of libevent.
using event_pointer = std::unique_ptr<event, event_deleter>;

} // namespace briarpoint

#endif // BRIARPOINT_IO_EVENT_POINTER_H
