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

/// Queue of messages from one task to another. Holds at most \p Limit messages: a receiver that
/// doesn't keep up must not use up the memory of the process.
template <typename Message> class mailbox {
public:
  explicit mailbox(std::size_t Limit = 65536)
      : Limit(Limit), Event(eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC)) {
    if (Event.get() < 0)
      throw std::system_error(errno, std::generic_category(), "eventfd");
  }

  /// Adds a message and wakes the receiver. Returns false, and drops the message, if the mailbox is
  /// full.
  bool push(Message NewMessage) {
    {
      const std::scoped_lock Lock(Mutex);
      if (Messages.size() >= Limit)
        return false;
      Messages.push_back(std::move(NewMessage));
    }
    eventfd_write(Event.get(), 1);
    return true;
  }

  /// Takes all messages, oldest first.
  std::vector<Message> popAll() {
    eventfd_t Count = 0;
    eventfd_read(Event.get(), &Count);
    const std::scoped_lock Lock(Mutex);
    return std::exchange(Messages, {});
  }

  /// Readable while there are messages; for poll() or an event loop.
  int descriptor() const { return Event.get(); }

private:
  const std::size_t Limit;
  file_descriptor Event;
  std::mutex Mutex;
  std::vector<Message> Messages;
};

} // namespace briarpoint

#endif // BRIARPOINT_IO_MAILBOX_H
