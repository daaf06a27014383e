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
  /// Keys of at least 16 bytes: one, or two during a key change. The first one signs, and each one
  /// verifies.
  std::vector<std::string> Keys;
  member_id Sender{};
  /// Incarnation of this process. Must be higher after each restart, because the sequence numbers
  /// start at 1 again.
  std::uint64_t Incarnation = 0;
};

} // namespace briarpoint

#endif // BRIARPOINT_PEER_AUTHENTICATOR_SETTINGS_H
