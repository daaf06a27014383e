#ifndef BRIARPOINT_FORWARD_TARGET_REGISTRY_H
#define BRIARPOINT_FORWARD_TARGET_REGISTRY_H

#include "forward/evacuation_table.h"
#include "forward/flow_locator.h"
#include "forward/target.h"
#include "forward/target_state_message.h"

#include <map>
#include <memory>
#include <set>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

namespace briarpoint {

/// Settings of target_registry.
struct target_registry_settings {
  std::string DataCentre;
  /// Time for which a target with a missing entry doesn't count as gone. The platform specifies
  /// that entries that lapsed during an outage of the store are back within about 2 s of the
  /// store's return if the target lives.
  duration LapseGracePeriod = std::chrono::milliseconds(2000);
  /// Longest time that a flow can last. A removed target is kept for this time, so that its flows
  /// still reach it and its token isn't owned by another target.
  duration FlowLifetime = std::chrono::seconds(60);
};

/// All targets with a registration in the store, indexed by name, service and token.
///
/// Two targets may have the same token. The one whose process started first owns the token, and the
/// other one gets no new flows. Targets state their start in their entries, so all balancers that
/// have the same entries agree on the owner. The store's revisions don't serve for that: an entry
/// that lapses and is written again has new ones. An entry of a service that no route names, or
/// without a start, may be another writer's, so it comes after the others.
///
/// A balancer that started after the earlier target's entry was removed opens flows at the later
/// target, while the others keep the token for the removed one until releaseToken().
///
/// A store that comes back from an older copy lacks entries and announcements of an end until the
/// targets have written them again; see beginRecovery().
class target_registry final : public flow_locator {
public:
  explicit target_registry(target_registry_settings Settings) : Settings(std::move(Settings)) {}

  /// Inserts or updates a target. An older position of an existing entry is ignored.
  void put(const target_registration &Registration, instant Now);
  /// Marks a target as removed whose entry disappeared at \p Position, while the store was
  /// available.
  void remove(const std::string &Name, const store_position &Position, instant Now);
  /// Replaces all entries by a complete list. Targets that are missing in it count as gone after
  /// LapseGracePeriod.
  void replaceAll(std::span<const target_registration> Registrations,
                  const store_position &Position, instant Now);
  /// Sets the data centres whose targets get no new flows.
  void setEvacuated(const evacuation_table::data_centres &DataCentres);
  /// Sets the services that routes name.
  void setNamedServices(std::set<std::string> Names);
  /// The store came back from an older copy. Until \p EndsAt, a target that a list lacks stays in
  /// use like the others, and a draining one stays draining unless its process restarts.
  void beginRecovery(instant EndsAt) { RecoveryEndsAt = EndsAt; }
  /// Erases targets without open flows that were removed at least FlowLifetime ago. Pointers to
  /// them become invalid.
  void expire(instant Now);

  target *findByToken(flow_token Token) override;
  /// Gives the token of a removed target to another one that has the same token and an entry. Call
  /// it when the removed target answers no caller. Returns the new owner; nullptr, and nothing
  /// changes, if there is none.
  target *releaseToken(target &Removed);
  /// Returns nullptr if there is no such target.
  target *find(const std::string &Name);
  /// Returns the targets of a service, including removed ones. Valid until the registry changes.
  std::span<target *const> findByService(const std::string &Service) const;

  /// Calls \p Visit with each target, including removed ones, in the order of names.
  template <typename T> void forEach(T &&Visit) const {
    for (const auto &[Name, Target] : Targets)
      Visit(*Target);
  }

  bool contains(const std::string &Name) const { return Targets.contains(Name); }
  std::size_t size() const { return Targets.size(); }

private:
  bool isNamed(const std::string &Service) const {
    return NamedServices.empty() || NamedServices.contains(Service);
  }
  /// Adds a target to Services and Tokens.
  void addToIndex(target &Target);
  /// Rebuilds Services and Tokens. Takes time in proportion to the number of targets.
  void rebuildIndex();

  target_registry_settings Settings;
  evacuation_table::data_centres Evacuated;
  /// Services that routes name; empty if no route is known.
  std::set<std::string> NamedServices;
  instant RecoveryEndsAt{};
  std::map<std::string, std::unique_ptr<target>> Targets;
  std::map<std::string, std::vector<target *>, std::less<>> Services;
  std::unordered_map<std::uint32_t, target *> Tokens;
};

/// Returns the target with the number and process start of \p Process, or nullptr.
inline target *findProcess(target_registry &Targets, const target_process &Process) {
  target *Target = Targets.findByToken(makeFlowToken(Process.Number));
  return Target != nullptr && Target->Registration.Number == Process.Number &&
                 Target->Registration.StartedMs == Process.StartedMs
             ? Target
             : nullptr;
}

} // namespace briarpoint

#endif // BRIARPOINT_FORWARD_TARGET_REGISTRY_H
