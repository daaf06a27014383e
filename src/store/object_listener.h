#ifndef BRIARPOINT_STORE_OBJECT_LISTENER_H
#define BRIARPOINT_STORE_OBJECT_LISTENER_H

#include "store/object_api.h"

namespace briarpoint {

/// Receives the objects of one kind and their changes from an object_watcher.
class object_listener {
public:
  virtual ~object_listener() = default;

  /// All objects of the kind, as of \p Position. Changes between the previous call and this list
  /// may not have been reported.
  virtual void onList(const std::vector<stored_object> &Objects,
                      const store_position &Position) = 0;
  /// Changes in the order of their revisions; \p Position is that of the last one or later.
  virtual void onChanges(const std::vector<object_change> &Changes,
                         const store_position &Position) = 0;
  /// Contact with the store was lost or regained. \p Outcome is that of the last call.
  virtual void onContactChanged(bool InContact, call_outcome Outcome) = 0;
  /// The store came back from an older copy, and a list follows. Until \p RecoveryEndsAt, that list
  /// may lack what the store had acknowledged before.
  virtual void onEraRose(instant RecoveryEndsAt) = 0;
};

} // namespace briarpoint

#endif // BRIARPOINT_STORE_OBJECT_LISTENER_H
