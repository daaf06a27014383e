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
  endpoint Health;

  auto operator<=>(const due_probe &) const = default;
};

/// State of the targets: who probes them, what the probers report, what the own flows show, and the
/// weights that follow. It sends nothing itself.
class target_controller {
public:
  /// \p Random must outlive the object.
  target_controller(const target_settings &Settings, random_source &Random);

  /// Takes over the targets of a configuration. Targets that join a running process start slowly.
  void applyConfiguration(const configuration &Configuration, instant Now);

  /// Assigns the probers anew.
  void applyMembers(const std::vector<member_view> &Members, instant Now);

  /// Sets the data centres of which no balancer can be reached. A target there that doesn't answer
  /// may serve its flows through its own side, so it gets no new flows but isn't declared dead.
  void setUnreachableDataCentres(std::set<std::string> DataCentres);

  std::vector<due_probe> takeDueProbes(instant Now);
  void handleProbe(const probe_result &Result, instant Now);

  /// Applies reports of other probers.
  void handleStatuses(std::span<const target_status> Statuses, instant Now);
  void handleObservations(std::span<const target_observation> Observations, instant Now);

  /// Moves ramps, penalties and load weights.
  void tick(instant Now);

  /// News for a heartbeat that goes to \p Copies receivers.
  std::vector<target_status> takeUpdates(std::size_t Limit, std::uint32_t Copies);

  /// True once after a change of health that should be spread without waiting.
  bool takeUrgent() { return std::exchange(Urgent, false); }

  /// Digest of the reported health. Load isn't part of it: it changes all the time, and a lost
  /// report is replaced by the next one.
  std::uint64_t digest() const;

  /// All reports that count.
  std::vector<target_status> fullState() const;

  /// Rating of a target; that of an unknown one accepts nothing.
  target_rating rating(target_id Target) const;

  /// Raised at each change of a rating.
  std::uint64_t generation() const { return Generation; }

private:
  void assign(target_id Id, target_entry &Entry, instant Now);
  void takeReport(target_entry &Entry, instant Now);
  void store(target_entry &Entry, const target_status &Status, instant Now);
  void queue(const target_status &Status, bool Important);
  void mergeReports(target_entry &Entry, instant Now);
  void mergeLoad(target_entry &Entry, instant Now);
  static bool counts(const target_report &Report, instant Now);
  void rateService(const std::vector<target_id> &Targets, instant Now);
  /// Whether it is in another data centre, which has balancers of its own.
  bool isRemote(const target_entry &Entry) const;
  /// Whether it doesn't answer and is on the other side of a partition.
  bool isCutOff(const target_entry &Entry) const;
  void rate(target_entry &Entry, bool Ejected, instant Now);
  double ramp(const target_entry &Entry, instant Now) const;
  std::uint32_t copies(bool Important) const;

  target_settings Settings;
  random_source &Random;
  bool Configured = false;
  std::vector<member_view> Members;
  std::set<std::string> Unreachable;
  std::unordered_map<target_id, target_entry> Targets;
  std::vector<std::vector<target_id>> Services;
  dissemination_queue<std::pair<target_id, member_id>> Updates;
  std::uint64_t NextSequence;
  instant LoadStepAt = instant::min();
  bool Urgent = false;
  /// Ratings may have changed since the last tick.
  bool Stale = true;
  std::uint64_t Generation = 1;
};

} // namespace briarpoint

#endif // BRIARPOINT_CORE_TARGET_TARGET_CONTROLLER_H
