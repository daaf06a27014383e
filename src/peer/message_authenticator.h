#ifndef BRIARPOINT_PEER_MESSAGE_AUTHENTICATOR_H
#define BRIARPOINT_PEER_MESSAGE_AUTHENTICATOR_H

#include "peer/authenticator_settings.h"
#include "peer/replay_window.h"

#include <string_view>
#include <unordered_map>

namespace briarpoint {

/// Payload and sender of an authenticated message.
struct authenticated_message {
  member_id Sender{};
  /// Points into the received bytes.
  std::string_view Payload;
};

/// Signs messages between balancers and refuses those that are forged, repeated or from another
/// fabric.
///
/// Layout, in network byte order: version (1 byte), hash of the fabric's name (8), sender (8),
/// incarnation (8), sequence (8), payload, HMAC-SHA-256 of all of it truncated to 16 bytes.
class message_authenticator {
public:
  /// \throws findings_error if there is no key, more than two, or one below 16 bytes. The error
  /// text contains no key.
  explicit message_authenticator(const authenticator_settings &Settings);

  /// Returns \p Payload with header and authentication code. Each call uses the next sequence
  /// number.
  std::string seal(std::string_view Payload);

  /// Verifies a received message.
  /// \throws findings_error if it is malformed, of another fabric, forged or repeated.
  authenticated_message open(std::string_view Bytes);

  /// Bytes that seal() adds to a payload.
  static constexpr std::size_t Overhead = 1 + 8 + 8 + 8 + 8 + 16;

private:
  struct sender_state {
    std::uint64_t Incarnation = 0;
    replay_window Window;
  };

  void checkCode(std::string_view Bytes) const;
  void checkReplay(member_id Sender, std::uint64_t Incarnation, std::uint64_t Sequence);

  authenticator_settings Settings;
  std::uint64_t FabricHash;
  std::uint64_t Sequence = 0;
  /// An entry is created only after the authentication code was verified, so that forged messages
  /// don't use memory.
  std::unordered_map<member_id, sender_state> Senders;
};

} // namespace briarpoint

#endif // BRIARPOINT_PEER_MESSAGE_AUTHENTICATOR_H
