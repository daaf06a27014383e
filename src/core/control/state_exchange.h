#ifndef BRIARPOINT_CORE_CONTROL_STATE_EXCHANGE_H
#define BRIARPOINT_CORE_CONTROL_STATE_EXCHANGE_H

#include "base/instant.h"
#include "core/control/peer_message.h"

#include <map>
#include <optional>

namespace briarpoint {

/// Splits a full state into messages of at most about 1,200 bytes each, at least one.
std::vector<full_state> splitFullState(const full_state &State);

/// Decides when full states are exchanged, so that they stay a small part of the control traffic.
class state_exchange {
public:
  /// A heartbeat of \p Peer had the same digests as this process, or others.
  void recordDigests(member_id Peer, bool Equal, instant Now);

  /// A peer whose digests have differed for long, if an exchange may begin now.
  std::optional<member_id> takeDue(instant Now);

  /// True if a full state may be sent to \p Peer now; it counts as sent then.
  bool tryAcquire(member_id Peer, instant Now);

private:
  void refill(instant Now);

  /// When the digests of a peer will have differed for long enough.
  std::map<member_id, instant> DueAt;
  /// When the peer may get the next full state.
  std::map<member_id, instant> NextReplyAt;
  /// The next exchange is with the first due peer after this one, so that each has its turn.
  member_id LastPeer = NoMember;
  instant NextExchangeAt{};
  /// Full states that may be sent at once, and when the next one is added.
  std::uint32_t Tokens = MaxTokens;
  instant RefillAt{};

  static constexpr std::uint32_t MaxTokens = 6;
};

} // namespace briarpoint

#endif // BRIARPOINT_CORE_CONTROL_STATE_EXCHANGE_H
