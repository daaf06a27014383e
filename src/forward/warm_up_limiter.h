#ifndef BRIARPOINT_FORWARD_WARM_UP_LIMITER_H
#define BRIARPOINT_FORWARD_WARM_UP_LIMITER_H

#include "forward/route_table.h"
#include "forward/target.h"
#include "net/ip_address.h"

#include <cstdint>
#include <deque>
#include <map>
#include <span>
#include <string>
#include <vector>

namespace briarpoint {

/// Settings of warm_up_limiter.
struct warm_up_settings {
  /// Factor on a service's warmup_per_s; 0 switches the limits off.
  double RateFactor = 0;
  /// Flows a second to a cold target that are allowed beyond the rate.
  double Burst = 0;

  auto operator<=>(const warm_up_settings &) const = default;
};

/// The limit of one service as this balancer applies it.
struct warm_up_share {
  std::string Service;
  /// Flows that all balancers together may open to a cold target in any second.
  std::uint64_t Allowance = 0;
  /// Part of the allowance that each holder may use.
  std::uint64_t Share = 0;
  /// This balancer is a holder.
  bool Holder = false;

  auto operator<=>(const warm_up_share &) const = default;
};

/// Limits the flows that are opened to targets that are still warming up, so that all balancers
/// together stay within the allowance of the target's service. Made for the load on a target that
/// has just started while every balancer of a large deployment considers it the least loaded one.
///
/// The balancers whose addresses are among the seeds (holders) have fixed equal shares; others open
/// no flows to such targets. No messages are needed, and the sum doesn't depend on what balancers
/// know of each other.
class warm_up_limiter {
public:
  /// Time over which flows are counted. A balancer grants nothing for this long after its start or
  /// a change of the seeds, because its previous process or list may have granted until then.
  static constexpr duration Window = std::chrono::seconds(1);
  /// Lists of seeds that may be in use at the same time while settings change.
  static constexpr std::uint64_t ConcurrentLists = 2;

  /// \p Routes must outlive the object. \p Local is the address of this balancer and \p StartedAt
  /// the start of its process.
  warm_up_limiter(const warm_up_settings &Settings, const route_table &Routes,
                  const ip_address &Local, instant StartedAt)
      : Settings(Settings), Routes(Routes), Local(Local), GrantsFrom(StartedAt + Window) {}

  /// Duplicates and the order of \p Addresses don't matter.
  void setSeeds(std::span<const ip_address> Addresses, instant Now);

  /// Returns whether the target is cold and its service has a limit.
  bool limits(const target &Target, instant Now) const;
  /// Returns whether a new flow may be assigned to the target.
  bool allows(const target &Target, instant Now) const;
  /// A new flow was assigned to the target.
  void onAssigned(const target &Target, instant Now);
  /// A target was left out of a choice because allows() returned false.
  void onRefused() { ++RefusedCount; }
  /// Forgets flows that no longer count.
  void expire(instant Now);

  /// Returns the limits of all services that have one, ordered by service.
  std::vector<warm_up_share> shares() const;
  /// Flows assigned to limited cold targets, and choices that left out at least one of them.
  std::uint64_t granted() const { return GrantedCount; }
  std::uint64_t refused() const { return RefusedCount; }

private:
  std::uint64_t allowance(double RatePerSecond) const;
  /// Returns the share of each holder in \p Allowance, rounded down.
  std::uint64_t shareOf(std::uint64_t Allowance) const;
  /// Returns whether this balancer is the first holder of the target by rendezvous hashing.
  bool isFirstHolder(const target &Target) const;
  bool isHolder() const { return SeedHashes.contains(Local); }

  warm_up_settings Settings;
  const route_table &Routes;
  ip_address Local;
  /// Hash of each seed's address.
  std::map<ip_address, std::uint64_t> SeedHashes;
  instant GrantsFrom;
  /// When flows were assigned to each limited target, by its name. Kept apart from the registry,
  /// so that an entry that is removed and written again has no new allowance.
  std::map<std::string, std::deque<instant>> Grants;
  std::uint64_t GrantedCount = 0;
  std::uint64_t RefusedCount = 0;
};

} // namespace briarpoint

#endif // BRIARPOINT_FORWARD_WARM_UP_LIMITER_H
