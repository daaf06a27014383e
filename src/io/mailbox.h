#ifndef BRIARPOINT_IO_MAILBOX_H
#define BRIARPOINT_IO_MAILBOX_H

#include "io/file_descriptor.h"

#include <sys/eventfd.h>

#include <cerrno>
#include <cstddef>
#include <cstdint>
#include <mutex>
#include <system_error>
#include <utility>
#include <vector>

namespace briarpoint {

/// Thread-safe queue of messages from one task to another. Its capacity is limited, so that a
/// receiver that doesn't keep up can't use up the memory of the process.
template <typename Message> class mailbox {
public:
  explicit mailbox(std::size_t Capacity = 65536)
      : Capacity(Capacity), Event(eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC)) {
    if (Event.get() < 0)
      throw std::system_error(errno, std::generic_category(), "eventfd");
  }

  /// Adds a message and wakes the receiver. Returns false, and drops the message, if the mailbox is
  /// full.
  bool push(Message NewMessage) {
    {
      const std::scoped_lock Lock(Mutex);
      if (Messages.size() >= Capacity)
        return false;
      Messages.push_back(std::move(NewMessage));
    }
    eventfd_write(Event.get(), 1);
    return true;
  }

  /// Removes and returns all messages, oldest first.
  std::vector<Message> popAll() {
    eventfd_t Count = 0;
    eventfd_read(Event.get(), &Count);
    const std::scoped_lock Lock(Mutex);
    return std::exchange(Messages, {});
  }

  /// File descriptor for poll() or an event loop; readable while there are messages.
  int descriptor() const { return Event.get(); }

private:
  const std::size_t Capacity;
  file_descriptor Event;
  std::mutex Mutex;
  std::vector<Message> Messages;
};

} // namespace briarpoint

#endif // BRIARPOINT_IO_MAILBOX_H
