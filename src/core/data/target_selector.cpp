#include "core/data/target_selector.h"

#include "base/hash.h"

#include <algorithm>

namespace briarpoint {

namespace {

/// Upper bound of the backoff after the first failure. It is short, because a single lost packet
/// looks like a failing target.
constexpr duration BackoffBase = std::chrono::milliseconds(100);
/// Limits the bound of the backoff: 100 ms doubled 7 times is 12.8 s.
constexpr std::uint32_t BackoffDoublings = 7;

std::uint64_t rendezvousScore(const flow_id &Id, target_id Target) {
  return mixHash(static_cast<std::uint64_t>(Target), Id.Low ^ Id.High);
}

} // namespace

bool target_selector::acceptsNew(std::uint32_t Target) const {
  const target_view *View = Targets[Target].View;
  return View != nullptr && View->AcceptsNew && !View->Dead;
}

void target_selector::collectCandidates(const service_view &Service, const flow_id &Id,
                                        std::span<const std::uint32_t> Tried) {
  Candidates.clear();
  for (const std::uint32_t Target : Targets.ofService(Service)) {
    if (acceptsNew(Target) && std::find(Tried.begin(), Tried.end(), Target) == Tried.end())
      Candidates.push_back({Target, rendezvousScore(Id, Targets[Target].Id)});
  }
}

void target_selector::removeFailing(std::size_t ServiceSize, instant Now) {
  const auto IsFailing = [&](const candidate &Candidate) {
    return Now < Targets[Candidate.Target].BackoffUntil;
  };
  // At most a third of the service's targets is excluded: those with the most failures.
  const auto FirstFailing =
      std::partition(Candidates.begin(), Candidates.end(),
                     [&](const candidate &Candidate) { return !IsFailing(Candidate); });
  std::sort(FirstFailing, Candidates.end(), [&](const candidate &A, const candidate &B) {
    const target_state &First = Targets[A.Target];
    const target_state &Second = Targets[B.Target];
    return First.Failures != Second.Failures ? First.Failures < Second.Failures
                                             : First.Id < Second.Id;
  });
  const auto Failing = static_cast<std::size_t>(Candidates.end() - FirstFailing);
  std::size_t Removed = std::min(Failing, ServiceSize / 3);
  if (Removed == Candidates.size() && Removed > 0)
    --Removed;
  Candidates.resize(Candidates.size() - Removed);
}

std::uint32_t target_selector::choose(const service_view &Service, const flow_id &Id,
                                      std::span<const std::uint32_t> Tried, instant Now) {
  collectCandidates(Service, Id, Tried);
  removeFailing(Targets.ofService(Service).size(), Now);
  if (Candidates.empty())
    return NoIndex;
  std::sort(Candidates.begin(), Candidates.end(),
            [](const candidate &A, const candidate &B) { return A.Score > B.Score; });

  // The mean includes the new flow, so at least one target is below its bound.
  double Weights = 0;
  double Flows = 1;
  for (const candidate &Candidate : Candidates) {
    Weights += Targets[Candidate.Target].View->Weight;
    Flows += Targets[Candidate.Target].OpenFlows;
  }
  for (const candidate &Candidate : Candidates) {
    const target_state &Target = Targets[Candidate.Target];
    if (Target.OpenFlows < (1 + LoadEpsilon) * Flows * Target.View->Weight / Weights)
      return Candidate.Target;
  }
  // All weights are 0.
  return Candidates.front().Target;
}

std::uint32_t target_selector::defaultTarget(const service_view &Service, const flow_id &Id) const {
  candidate Best;
  for (const std::uint32_t Target : Targets.ofService(Service)) {
    const target_state &State = Targets[Target];
    if (State.View == nullptr || State.View->Dead)
      continue;
    const std::uint64_t Score = rendezvousScore(Id, State.Id);
    if (Best.Target == NoIndex || Score > Best.Score)
      Best = {Target, Score};
  }
  return Best.Target;
}

void target_selector::recordFailure(std::uint32_t Target, instant Now) {
  target_state &State = Targets[Target];
  const duration Bound = BackoffBase * (1U << std::min(State.Failures, BackoffDoublings));
  ++State.Failures;
  State.BackoffUntil = Now + duration(Random.below(static_cast<std::uint64_t>(Bound.count()) + 1));
}

} // namespace briarpoint
