#ifndef BRIARPOINT_MEASURE_EVENT_QUEUE_H
#define BRIARPOINT_MEASURE_EVENT_QUEUE_H

#include "base/instant.h"

#include <algorithm>
#include <functional>
#include <utility>
#include <vector>

namespace briarpoint::measure {

/// Kind of an event. event::Subject is the index of the packet, flow or closure.
enum class event_kind : std::uint8_t { Packet, FlowTimer, Closure };

/// Binary heap of small events. Events of the same time are removed in the order in which they were
/// added.
class event_queue {
public:
  struct event {
    instant At;
    std::uint64_t Order = 0;
    std::uint32_t Subject = 0;
    event_kind Kind = event_kind::Packet;
  };

  void add(instant At, event_kind Kind, std::uint32_t Subject) {
    Heap.push_back({At, Added++, Subject, Kind});
    std::push_heap(Heap.begin(), Heap.end(), isLater);
  }

  /// Schedules a closure. More costly than add; meant for rare events.
  void scheduleCall(instant At, std::function<void()> Closure) {
    if (FreeClosures.empty()) {
      FreeClosures.push_back(static_cast<std::uint32_t>(Closures.size()));
      Closures.emplace_back();
    }
    const std::uint32_t Index = FreeClosures.back();
    FreeClosures.pop_back();
    Closures[Index] = std::move(Closure);
    add(At, event_kind::Closure, Index);
  }

  /// Returns whether an event is due at or before \p End.
  bool hasDue(instant End) const { return !Heap.empty() && Heap.front().At <= End; }

  event pop() {
    std::pop_heap(Heap.begin(), Heap.end(), isLater);
    const event Event = Heap.back();
    Heap.pop_back();
    return Event;
  }

  void runClosure(std::uint32_t Index) {
    const std::function<void()> Closure = std::move(Closures[Index]);
    FreeClosures.push_back(Index);
    Closure();
  }

private:
  static bool isLater(const event &A, const event &B) {
    return A.At != B.At ? A.At > B.At : A.Order > B.Order;
  }

  std::vector<event> Heap;
  std::uint64_t Added = 0;
  std::vector<std::function<void()>> Closures;
  std::vector<std::uint32_t> FreeClosures;
};

} // namespace briarpoint::measure

#endif // BRIARPOINT_MEASURE_EVENT_QUEUE_H
