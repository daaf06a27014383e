#ifndef BRIARPOINT_BENCH_CONTROL_FLEET_H
#define BRIARPOINT_BENCH_CONTROL_FLEET_H

#include "base/seeded_random.h"
#include "core/control/control_plane.h"
#include "core/sync/memory_object_store.h"

#include <memory>
#include <vector>

namespace briarpoint::bench {

/// Size of a simulated fleet.
struct fleet_size {
  std::size_t Members = 18;
  std::size_t DataCentres = 3;
  std::size_t Services = 2;
  std::size_t TargetsPerService = 9;
};

/// Numbers of operations of the control planes, summed over all members.
struct fleet_totals {
  std::uint64_t Messages = 0;
  std::uint64_t MessageBytes = 0;
  std::uint64_t Probes = 0;
  std::uint64_t Fetches = 0;
  std::uint64_t Reads = 0;
  std::uint64_t Writes = 0;
  std::uint64_t Watches = 0;
};

/// Returns a configuration with the services and targets of \p Size.
configuration makeConfiguration(const fleet_size &Size);

/// Control planes in one process that exchange messages without loss; a message arrives at the next
/// step. For measuring their cost; their decisions aren't checked.
class control_fleet {
public:
  explicit control_fleet(const fleet_size &Size);
  ~control_fleet();

  /// Starts all members and runs until all are ready.
  void start();
  /// Runs for \p Length of simulated time in steps of 100 ms.
  void run(duration Length);
  /// Replaces a member by a new incarnation of the same name.
  void restart(std::size_t Member);
  /// Submits a patch that drains a target or ends its drain, and runs until it is accepted.
  void toggleTarget(std::size_t Target);
  /// Runs until the version of the last patch is in force at all members, for \p Limit at most.
  /// Returns the simulated time that this took.
  duration runUntilInForce(duration Limit);

  bool allReady() const;
  const fleet_totals &totals() const { return Totals; }
  std::size_t memberCount() const { return Members.size(); }

private:
  class member;
  struct message {
    std::size_t To = 0;
    endpoint From;
    peer_message Content;
  };
  void step();

  fleet_size Size;
  instant Now{std::chrono::seconds(1000)};
  seeded_random Random{1};
  memory_object_store Platform;
  fleet_totals Totals;
  /// Version of the last accepted patch.
  config_version LatestVersion = 0;
  std::vector<bool> Drained;
  std::vector<message> InTransit;
  std::vector<std::unique_ptr<member>> Members;
};

} // namespace briarpoint::bench

#endif // BRIARPOINT_BENCH_CONTROL_FLEET_H
