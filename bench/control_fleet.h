#ifndef BRIARPOINT_BENCH_CONTROL_FLEET_H
#define BRIARPOINT_BENCH_CONTROL_FLEET_H

#include "base/seeded_random.h"
#include "core/control/control_plane.h"
#include "core/sync/memory_object_store.h"

#include <memory>
#include <vector>

namespace briarpoint::bench {

/// Size of a fleet whose control planes run in this process.
struct fleet_size {
  std::size_t Members = 18;
  std::size_t DataCentres = 3;
  std::size_t Services = 2;
  std::size_t TargetsPerService = 9;
};

/// What the control planes did, summed over all members.
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

/// Real control planes joined by an exchange without loss that delivers at the next step. It
/// measures what they cost; it doesn't check what they decide.
class control_fleet {
public:
  explicit control_fleet(const fleet_size &Size);
  ~control_fleet();

  /// Starts all members and runs until all are ready.
  void start();
  /// Runs for a time in steps of 100 ms.
  void run(duration Length);
  /// Restarts a member, as a new process of the same name.
  void restart(std::size_t Member);
  /// Submits a patch that drains a target, or ends the drain.
  void toggleTarget(std::size_t Target);
  /// Runs until all members have the version of the last patch in force; returns the simulated
  /// time.
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
  config_version Wanted = 0;
  std::vector<bool> Drained;
  std::vector<message> Sent;
  std::vector<std::unique_ptr<member>> Members;
};

} // namespace briarpoint::bench

#endif // BRIARPOINT_BENCH_CONTROL_FLEET_H
