#ifndef BRIARPOINT_STORE_CALL_LISTENER_H
#define BRIARPOINT_STORE_CALL_LISTENER_H

#include "store/object_api.h"
#include "store/store_call.h"

namespace briarpoint {

/// Receives each call that an object_watcher makes, for logs.
class call_listener {
public:
  virtual ~call_listener() = default;

  virtual void onCallSent(const store_call &Call) = 0;
  /// \p Revision is the store's revision in the answer, \p Objects the number of objects or changes
  /// in it. Both are 0 unless \p Outcome is Done.
  virtual void onCallEnded(const store_call &Call, call_outcome Outcome, std::uint64_t Revision,
                           std::size_t Objects) = 0;
  /// The watcher cancelled the call to send another one.
  virtual void onCallDropped(const store_call &Call) = 0;
  /// A check of the changes after \p CheckedFrom ended while the checked call was in progress.
  virtual void onCheckEnded(const store_position &CheckedFrom, const watch_answer &Answer) = 0;
};

} // namespace briarpoint

#endif // BRIARPOINT_STORE_CALL_LISTENER_H
