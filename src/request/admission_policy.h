#ifndef BRIARPOINT_REQUEST_ADMISSION_POLICY_H
#define BRIARPOINT_REQUEST_ADMISSION_POLICY_H

#include "base/instant.h"
#include "config/request_class.h"

namespace briarpoint {

/// Decides which new requests of one service are admitted under overload.
class admission_policy {
public:
  virtual ~admission_policy() = default;

  /// Returns whether a new request may go to a target.
  virtual bool admit(request_class Class, instant Now) = 0;

  /// Records whether a target refused an admitted request.
  virtual void recordOutcome(bool Refused, instant Now) = 0;
};

} // namespace briarpoint

#endif // BRIARPOINT_REQUEST_ADMISSION_POLICY_H
