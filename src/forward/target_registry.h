#ifndef BRIARPOINT_FORWARD_TARGET_REGISTRY_H
#define BRIARPOINT_FORWARD_TARGET_REGISTRY_H

#include "forward/flow_locator.h"
#include "forward/target.h"

#include <map>
#include <memory>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

namespace briarpoint {

/// Settings of target_registry.
struct target_registry_settings {
  std::string DataCentre;
  /// Entries that lapse while the store is away are back within about 2 s of its return, if the
  /// target lives (the platform's statement). Until then a missing entry doesn't say that the
  /// target is gone.
  duration LapseGracePeriod = std::chrono::milliseconds(2000);
  /// A removed target is remembered for as long as a flow may live, so that its flows are still
  /// found and its token isn't given to another target.
  duration FlowLifetime = std::chrono::seconds(60);
};

/// All targets known from their registrations in the store, by name, service and token.
///
/// Two targets may share a token. The one whose entry the store created first owns it, and the
/// other one gets no new flows. All balancers see entries in the order of the store's revisions, so
/// a balancer that knows the later target knows the earlier one, too.
class target_registry final : public flow_locator {
public:
  explicit target_registry(target_registry_settings Settings) : Settings(std::move(Settings)) {}

  /// Adds or updates a target. An older revision of a known entry is ignored.
  void put(const target_registration &Registration, instant Now);
  /// The entry of a target disappeared at \p Revision while the store was in order.
  void remove(const std::string &Name, std::uint64_t Revision, instant Now);
  /// Replaces all entries by a complete list. Missing ones count as lapsed for LapseGracePeriod.
  void replaceAll(std::span<const target_registration> Registrations, std::uint64_t Revision,
                  instant Now);
  /// Forgets targets that were removed longer than FlowLifetime ago.
  void expire(instant Now);

  target *locate(flow_token Token) override;
  target *find(const std::string &Name);
  /// Targets of a service, removed ones included.
  std::span<target *const> ofService(const std::string &Service) const;

  /// Calls \p Visit with each target, removed ones included, in the order of names.
  template <typename T> void forEach(T &&Visit) const {
    for (const auto &[Name, Target] : Targets)
      Visit(*Target);
  }

  bool contains(const std::string &Name) const { return Targets.contains(Name); }
  std::size_t size() const { return Targets.size(); }

private:
  /// Enters a target into the services and tokens.
  void addToIndex(target &Target);
  /// Makes services and tokens anew, which takes time in proportion to the number of targets.
  void index();

  target_registry_settings Settings;
  std::map<std::string, std::unique_ptr<target>> Targets;
  std::map<std::string, std::vector<target *>, std::less<>> Services;
  std::unordered_map<std::uint32_t, target *> Tokens;
};

} // namespace briarpoint

#endif // BRIARPOINT_FORWARD_TARGET_REGISTRY_H
