#ifndef BRIARPOINT_FORWARD_FLOW_ADMISSION_H
#define BRIARPOINT_FORWARD_FLOW_ADMISSION_H

#include "base/instant.h"

#include <cstdint>
#include <string>

namespace briarpoint {

/// Decides whether a new flow is admitted, before a target is chosen.
class flow_admission {
public:
  virtual ~flow_admission() = default;

  /// \p Priority is that of the route, 0 is the highest; \p Caller is the caller's IPv4 address in
  /// host byte order. Call it once for each new flow.
  virtual bool admits(const std::string &Service, std::uint32_t Priority, std::uint32_t Caller,
                      instant Now) = 0;
};

} // namespace briarpoint

#endif // BRIARPOINT_FORWARD_FLOW_ADMISSION_H
