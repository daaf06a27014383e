#ifndef BRIARPOINT_CORE_DATA_TARGET_SELECTOR_H
#define BRIARPOINT_CORE_DATA_TARGET_SELECTOR_H

#include "base/random_source.h"
#include "core/data/target_directory.h"

#include <span>

namespace briarpoint {

/// Chooses targets for new flows by rendezvous hashing with bounded loads. Excludes failing targets
/// until their backoff ends.
class target_selector {
public:
  /// \p Targets and \p Random must outlive the object.
  target_selector(target_directory &Targets, random_source &Random, double LoadEpsilon)
      : Targets(Targets), Random(Random), LoadEpsilon(LoadEpsilon) {}

  /// Returns the target for a new flow: the first in the flow's rendezvous order that accepts new
  /// flows, isn't in \p Tried and has fewer open flows than (1 + LoadEpsilon) times its weighted
  /// mean. Returns NoIndex if no target outside \p Tried accepts new flows.
  std::uint32_t choose(const service_view &Service, const flow_id &Id,
                       std::span<const std::uint32_t> Tried, instant Now);

  /// Returns the first target in the flow's rendezvous order that isn't dead, or NoIndex.
  std::uint32_t defaultTarget(const service_view &Service, const flow_id &Id) const;

  /// Whether a target is in the view and accepts new flows.
  bool acceptsNew(std::uint32_t Target) const;

  /// Starts the target's backoff after a setup was refused or got no reply, or a flow was silent.
  /// Its duration is random (full jitter) below a bound that doubles with each failure in a row.
  void recordFailure(std::uint32_t Target, instant Now);

  void recordSuccess(std::uint32_t Target) {
    Targets[Target].Failures = 0;
    Targets[Target].BackoffUntil = instant::min();
  }

private:
  struct candidate {
    std::uint32_t Target = NoIndex;
    std::uint64_t Score = 0;
  };

  void collectCandidates(const service_view &Service, const flow_id &Id,
                         std::span<const std::uint32_t> Tried);
  void removeFailing(std::size_t ServiceSize, instant Now);

  target_directory &Targets;
  random_source &Random;
  double LoadEpsilon;
  /// A member only to reuse its memory.
  std::vector<candidate> Candidates;
};

} // namespace briarpoint

#endif // BRIARPOINT_CORE_DATA_TARGET_SELECTOR_H
