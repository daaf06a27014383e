#ifndef BRIARPOINT_IO_EVENT_LOOP_H
#define BRIARPOINT_IO_EVENT_LOOP_H

#include "base/instant.h"

#include <functional>
#include <memory>
#include <vector>

struct event;
struct event_base;

namespace briarpoint {

/// A libevent loop. It belongs to the thread that calls run().
class event_loop {
public:
  event_loop();
  ~event_loop();
  event_loop(const event_loop &) = delete;
  event_loop &operator=(const event_loop &) = delete;

  event_base *base() const { return Base; }

  /// Calls \p Handler whenever \p Descriptor is readable.
  void onReadable(int Descriptor, std::function<void()> Handler);
  /// Calls \p Handler every \p Interval.
  void onInterval(duration Interval, std::function<void()> Handler);
  /// Calls \p Handler when the process receives \p Signal.
  void onSignal(int Signal, std::function<void()> Handler);

  /// Handles events until stop() is called.
  void run();
  /// Handles the events that are ready. If \p Wait is set, waits until there is at least one.
  void runOnce(bool Wait);
  /// Ends run() after the current event. May be called from any handler of this loop.
  void stop();

private:
  struct registration {
    std::function<void()> Handler;
    event *Event = nullptr;
  };

  static void dispatch(int Descriptor, short Events, void *Argument);
  void add(int Descriptor, short Events, const duration *Interval, std::function<void()> Handler);

  event_base *Base;
  std::vector<std::unique_ptr<registration>> Registrations;
};

} // namespace briarpoint

#endif // BRIARPOINT_IO_EVENT_LOOP_H
