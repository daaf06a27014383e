#include "core/control/state_exchange.h"

#include <algorithm>

namespace briarpoint {

namespace {

/// How long digests must differ before an exchange; shorter differences are updates still in
/// transit.
constexpr duration MinDifferenceDuration = std::chrono::seconds(2);
/// Minimum interval between two exchanges that this process starts.
constexpr duration MinExchangeInterval = std::chrono::seconds(5);
/// Minimum interval between two full states to one peer.
constexpr duration MinFullStateInterval = std::chrono::seconds(2);
/// Minimum average interval between two full states. With the current number of balancers, a
/// full state has about 4 KB.
constexpr duration RefillInterval = std::chrono::seconds(4);
/// Bytes of content in one message, without header and authentication.
constexpr std::size_t MaxContentBytes = 1100;
/// Upper bounds of encoded sizes in bytes: a member without its strings, with IPv6 endpoints, and a
/// status.
constexpr std::size_t MemberBytes = 90;
constexpr std::size_t StatusBytes = 32;

std::size_t sizeOf(const member_info &Info) {
  return MemberBytes + Info.Name.size() + Info.DataCentre.size() + Info.Rack.size();
}

} // namespace

std::vector<full_state> splitFullState(const full_state &State) {
  std::vector<full_state> Messages;
  std::size_t Used = 0;
  const auto MessageFor = [&](std::size_t Size) -> full_state & {
    if (Messages.empty() || Used + Size > MaxContentBytes) {
      Messages.push_back({State.Sender, State.Version, false, {}, {}});
      Used = 0;
    }
    Used += Size;
    return Messages.back();
  };
  for (const member_info &Info : State.Members)
    MessageFor(sizeOf(Info)).Members.push_back(Info);
  for (const target_status &Status : State.Statuses)
    MessageFor(StatusBytes).Statuses.push_back(Status);
  // One reply to all messages is enough.
  MessageFor(0).WantsReply = State.WantsReply;
  return Messages;
}

void state_exchange::recordDigests(member_id Peer, bool Equal, instant Now) {
  if (Equal)
    DueAt.erase(Peer);
  else
    DueAt.try_emplace(Peer, Now + MinDifferenceDuration);
}

std::optional<member_id> state_exchange::takeDue(instant Now) {
  if (Now < NextExchangeAt)
    return std::nullopt;
  const auto IsDue = [&](const auto &Item) { return Now >= Item.second; };
  auto Due = std::find_if(DueAt.upper_bound(LastPeer), DueAt.end(), IsDue);
  if (Due == DueAt.end())
    Due = std::find_if(DueAt.begin(), DueAt.end(), IsDue);
  if (Due == DueAt.end())
    return std::nullopt;
  const member_id Peer = LastPeer = Due->first;
  // Other peers may have differed for the same reason; if not, their next heartbeats differ again.
  DueAt.clear();
  NextExchangeAt = Now + MinExchangeInterval;
  return Peer;
}

void state_exchange::refill(instant Now) {
  while (Tokens < MaxTokens && Now >= RefillAt) {
    ++Tokens;
    RefillAt += RefillInterval;
  }
}

bool state_exchange::tryAcquire(member_id Peer, instant Now) {
  refill(Now);
  std::erase_if(NextFullStateAt, [&](const auto &Item) { return Now >= Item.second; });
  if (Tokens == 0 || NextFullStateAt.contains(Peer))
    return false;
  if (Tokens == MaxTokens)
    RefillAt = Now + RefillInterval;
  --Tokens;
  NextFullStateAt[Peer] = Now + MinFullStateInterval;
  return true;
}

} // namespace briarpoint
