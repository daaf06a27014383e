#ifndef BRIARPOINT_CORE_TARGET_TARGET_CONTROLLER_H
#define BRIARPOINT_CORE_TARGET_TARGET_CONTROLLER_H

#include "base/random_source.h"
#include "config/configuration.h"
#include "core/member/dissemination_queue.h"
#include "core/target/target_entry.h"
#include "core/target/target_settings.h"
#include "core/view/member_view.h"

#include <set>
#include <span>
#include <unordered_map>
#include <utility>

namespace briarpoint {

/// A probe that has to be sent now.
struct due_probe {
  target_id Target{};
  /// Endpoint that answers GET /health.
  endpoint Health;

  auto operator<=>(const due_probe &) const = default;
};

/// Assigns probers to the targets and rates the targets by the probers' reports, the load, and this
/// balancer's own flows. It does no I/O; the caller sends the due probes and the updates.
class target_controller {
public:
  /// \p Random must outlive the object.
  target_controller(const target_settings &Settings, random_source &Random);

  /// Replaces the targets by those of a configuration; targets in both keep their state. Targets
  /// added to an earlier configuration begin with a slow start.
  void applyConfiguration(const configuration &Configuration, instant Now);

  /// Reassigns the probers for a new membership.
  void applyMembers(const std::vector<member_view> &Members, instant Now);

  /// Sets the data centres without a reachable balancer. A target there that is down may still
  /// serve flows through the balancers on its side of the partition: it gets no new flows, but
  /// isn't dead.
  void setUnreachableDataCentres(std::set<std::string> DataCentres);

  /// Returns the probes that are due and schedules the next ones. Sorted by target.
  std::vector<due_probe> takeDueProbes(instant Now);
  void handleProbe(const probe_result &Result, instant Now);

  /// Applies reports of other balancers.
  void handleStatuses(std::span<const target_status> Statuses, instant Now);
  void handleObservations(std::span<const target_observation> Observations, instant Now);

  /// Updates the ratings: merged reports, slow starts, penalties and load weights.
  void tick(instant Now);

  /// Returns up to \p Limit reports for a heartbeat that is sent to \p Copies receivers.
  std::vector<target_status> takeUpdates(std::size_t Limit, std::uint32_t Copies);

  /// Returns true once after a change of health, which should be sent without waiting for the next
  /// heartbeat.
  bool takeUrgent() { return std::exchange(HasUrgentUpdate, false); }

  /// Digest of the reported health. Load isn't included: it changes continuously, and the next
  /// report replaces a lost one.
  std::uint64_t digest() const;

  /// Returns all reports that count, sorted.
  std::vector<target_status> fullState() const;

  /// Returns the rating of a target. An unknown target accepts no flows.
  target_rating rating(target_id Target) const;

  /// Incremented at each change of a rating.
  std::uint64_t generation() const { return Generation; }

private:
  void assign(target_id Id, target_entry &Entry, instant Now);
  void storeOwnReport(target_entry &Entry, instant Now);
  void storeReport(target_entry &Entry, const target_status &Status, instant Now);
  void queueUpdate(const target_status &Status, bool HealthChanged);
  void mergeReports(target_entry &Entry, instant Now);
  void mergeLoad(target_entry &Entry, instant Now);
  static bool isCounted(const target_report &Report, instant Now);
  void rateService(const std::vector<target_id> &Targets, instant Now);
  /// Returns whether the target is in another data centre that has balancers of its own.
  bool isRemote(const target_entry &Entry) const;
  /// Returns whether the target is down and in a data centre without a reachable balancer.
  bool isCutOff(const target_entry &Entry) const;
  void rateTarget(target_entry &Entry, bool Ejected, instant Now);
  double slowStartShare(const target_entry &Entry, instant Now) const;
  std::uint32_t updateCopies(bool HealthChanged) const;

  target_settings Settings;
  random_source &Random;
  /// False until a configuration of version 1 or higher has been applied.
  bool HasConfiguration = false;
  std::vector<member_view> Members;
  std::set<std::string> UnreachableDataCentres;
  std::unordered_map<target_id, target_entry> Targets;
  std::vector<std::vector<target_id>> Services;
  dissemination_queue<std::pair<target_id, member_id>> Updates;
  std::uint64_t NextSequence;
  instant NextLoadWeightsAt = instant::min();
  bool HasUrgentUpdate = false;
  /// Ratings may have changed since the last tick.
  bool RatingsOutdated = true;
  std::uint64_t Generation = 1;
};

} // namespace briarpoint

#endif // BRIARPOINT_CORE_TARGET_TARGET_CONTROLLER_H
