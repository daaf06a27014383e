#ifndef BRIARPOINT_CORE_CONTROL_STATE_EXCHANGE_H
#define BRIARPOINT_CORE_CONTROL_STATE_EXCHANGE_H

#include "base/instant.h"
#include "core/control/peer_message.h"

#include <map>
#include <optional>

namespace briarpoint {

/// Splits a full state into messages of at most about 1,200 bytes each, at least one.
std::vector<full_state> splitFullState(const full_state &State);

/// Limits the rate of full-state exchanges, so that they stay a small part of the control traffic.
class state_exchange {
public:
  /// Records whether a heartbeat of \p Peer had the same digests as this process.
  void recordDigests(member_id Peer, bool Equal, instant Now);

  /// Returns a peer whose digests have differed for long enough, if an exchange may start now.
  std::optional<member_id> takeDue(instant Now);

  /// Returns true if a full state may be sent to \p Peer now, and counts it as sent.
  bool tryAcquire(member_id Peer, instant Now);

private:
  void refill(instant Now);

  /// When the digests of each peer will have differed for long enough.
  std::map<member_id, instant> DueAt;
  /// Earliest time of the next full state to each peer.
  std::map<member_id, instant> NextFullStateAt;
  /// Peer of the last exchange. The next exchange is with the first due peer after it, so that
  /// peers take turns.
  member_id LastPeer = NoMember;
  instant NextExchangeAt{};
  /// Token bucket: full states that may be sent now, and when the next one is added.
  std::uint32_t Tokens = MaxTokens;
  instant RefillAt{};

  static constexpr std::uint32_t MaxTokens = 6;
};

} // namespace briarpoint

#endif // BRIARPOINT_CORE_CONTROL_STATE_EXCHANGE_H
