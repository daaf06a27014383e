#include "core/member/heartbeat_ring.h"

#include <algorithm>

namespace briarpoint {

namespace {

/// Receivers in each data centre other than the sender's own.
constexpr std::size_t RemoteReceivers = 2;

/// Appends the \p Count members that follow \p Member on \p Ring.
void appendSuccessors(const std::vector<member_id> &Ring, member_id Member, std::size_t Count,
                      std::vector<member_id> &Result) {
  auto Position = std::upper_bound(Ring.begin(), Ring.end(), Member);
  for (std::size_t I = 0; I < Ring.size() && Count > 0; ++I, ++Position) {
    if (Position == Ring.end())
      Position = Ring.begin();
    if (*Position == Member)
      break;
    Result.push_back(*Position);
    --Count;
  }
}

} // namespace

std::string heartbeat_ring::ringName(const std::string &DataCentre) const {
  return Scope == ownership_scope::All ? std::string() : DataCentre;
}

void heartbeat_ring::add(member_id Member, const std::string &DataCentre) {
  std::vector<member_id> &Ring = Rings[ringName(DataCentre)];
  Ring.insert(std::lower_bound(Ring.begin(), Ring.end(), Member), Member);
}

std::vector<member_id> heartbeat_ring::receiversOf(member_id Member,
                                                   const std::string &DataCentre) const {
  std::vector<member_id> Receivers;
  const std::string Own = ringName(DataCentre);
  for (const auto &[Name, Ring] : Rings)
    appendSuccessors(Ring, Member, Name == Own ? Successors : RemoteReceivers, Receivers);
  return Receivers;
}

} // namespace briarpoint
