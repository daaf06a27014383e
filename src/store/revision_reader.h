#ifndef BRIARPOINT_STORE_REVISION_READER_H
#define BRIARPOINT_STORE_REVISION_READER_H

#include "store/store_position.h"

#include <functional>
#include <optional>

namespace briarpoint {

/// Learns the store's current revision.
class revision_reader {
public:
  /// Receives a position that the store had at a moment after read() was called, or std::nullopt if
  /// that is unknown.
  using callback = std::function<void(std::optional<store_position>)>;

  virtual ~revision_reader() = default;

  /// \p Done is called once, from the event loop, never from within this call.
  virtual void read(callback Done) = 0;
};

} // namespace briarpoint

#endif // BRIARPOINT_STORE_REVISION_READER_H
