#include "forward/warm_up_limiter.h"

#include "base/hash.h"

#include <algorithm>
#include <cmath>

namespace briarpoint {

namespace {

/// Keeps odd settings and rates within the range of integers.
constexpr double MaxAllowance = 1e9;

} // namespace

void warm_up_limiter::setSeeds(std::span<const ip_address> Addresses, instant Now) {
  std::map<ip_address, std::uint64_t> Hashes;
  for (const ip_address &Address : Addresses)
    Hashes.emplace(Address, hashBytes(toString(Address)));
  if (Hashes == SeedHashes)
    return;
  SeedHashes = std::move(Hashes);
  GrantsFrom = std::max(GrantsFrom, Now + Window);
}

std::uint64_t warm_up_limiter::allowance(double RatePerSecond) const {
  const double Flows = std::floor(RatePerSecond * Settings.RateFactor + Settings.Burst);
  return static_cast<std::uint64_t>(std::clamp(Flows, 0.0, MaxAllowance));
}

std::uint64_t warm_up_limiter::shareOf(std::uint64_t Allowance) const {
  return SeedHashes.empty() ? 0 : Allowance / (ConcurrentLists * SeedHashes.size());
}

bool warm_up_limiter::isFirstHolder(const target &Target) const {
  const auto Weight = [&](const auto &Entry) {
    return mixHash(Entry.second, Target.Registration.Number);
  };
  const auto First =
      std::max_element(SeedHashes.begin(), SeedHashes.end(),
                       [&](const auto &A, const auto &B) { return Weight(A) < Weight(B); });
  return First != SeedHashes.end() && First->first == Local;
}

bool warm_up_limiter::limits(const target &Target, instant Now) const {
  return Settings.RateFactor > 0 && Now < Target.WarmUpEndsAt &&
         Routes.warmUpRate(Target.Registration.Service) > 0;
}

bool warm_up_limiter::allows(const target &Target, instant Now) const {
  if (!limits(Target, Now))
    return true;
  if (!isHolder() || Now < GrantsFrom)
    return false;
  const std::uint64_t Allowance = allowance(Routes.warmUpRate(Target.Registration.Service));
  std::uint64_t Share = shareOf(Allowance);
  // With two lists in use, two balancers may consider themselves the first holder.
  if (Share == 0 && Allowance >= ConcurrentLists && isFirstHolder(Target))
    Share = 1;
  const auto Earlier = Grants.find(Target.Registration.Name);
  if (Earlier == Grants.end())
    return Share > 0;
  const auto Counted = std::count_if(Earlier->second.begin(), Earlier->second.end(),
                                     [Now](instant GrantedAt) { return GrantedAt + Window > Now; });
  return static_cast<std::uint64_t>(Counted) < Share;
}

void warm_up_limiter::onAssigned(const target &Target, instant Now) {
  if (!limits(Target, Now))
    return;
  std::deque<instant> &Times = Grants[Target.Registration.Name];
  while (!Times.empty() && Times.front() + Window <= Now)
    Times.pop_front();
  Times.push_back(Now);
  ++GrantedCount;
}

void warm_up_limiter::expire(instant Now) {
  std::erase_if(Grants, [Now](const auto &Entry) { return Entry.second.back() + Window <= Now; });
}

std::vector<warm_up_share> warm_up_limiter::shares() const {
  std::vector<warm_up_share> Result;
  if (Settings.RateFactor <= 0)
    return Result;
  for (const auto &[Service, Rate] : Routes.warmUpRates())
    if (Rate > 0) {
      const std::uint64_t Allowance = allowance(Rate);
      Result.push_back({Service, Allowance, shareOf(Allowance), isHolder()});
    }
  return Result;
}

} // namespace briarpoint
