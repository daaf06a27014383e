#ifndef BRIARPOINT_PEER_AUTHENTICATOR_SETTINGS_H
#define BRIARPOINT_PEER_AUTHENTICATOR_SETTINGS_H

#include "base/ids.h"

#include <string>
#include <vector>

namespace briarpoint {

/// Settings of message_authenticator.
struct authenticator_settings {
  /// Name of the fabric; messages of other fabrics are refused.
  std::string Fabric;
  /// One key, or two during a key change. The first one signs, each one verifies. At least 16
  /// bytes.
  std::vector<std::string> Keys;
  member_id Sender{};
  /// Incarnation of this process at its start. Raised when the process starts again, so that its
  /// sequence numbers may begin anew.
  std::uint64_t Incarnation = 0;
};

} // namespace briarpoint

#endif // BRIARPOINT_PEER_AUTHENTICATOR_SETTINGS_H
