#ifndef BRIARPOINT_TESTS_CONTROL_FLEET_SUPPORT_H
#define BRIARPOINT_TESTS_CONTROL_FLEET_SUPPORT_H

#include "base/seeded_random.h"
#include "core/control/control_plane.h"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace briarpoint::test {

/// Simulated clock with scheduled events.
class event_queue {
public:
  instant now() const { return Now; }
  void after(duration Delay, std::function<void()> Action) {
    Events.emplace(Now + Delay, std::move(Action));
  }
  void runUntil(instant End);

private:
  instant Now = instant{} + std::chrono::seconds(1000);
  std::multimap<instant, std::function<void()>> Events;
};

/// Objects of the platform and faults that are injected into calls to it.
struct fake_platform {
  struct object {
    object_version Version = 0;
    std::string Value;
  };
  std::map<std::string, object> Objects;
  bool Down = false;
  /// The next LostAnswers puts of this key take effect, but their answers are lost.
  std::string LoseAnswersOf;
  std::uint32_t LostAnswers = 0;
  /// The platform becomes unavailable with such a loss.
  bool DownAfterLoss = false;
  std::uint64_t Calls = 0;
  /// Control endpoints of the instances that the platform lists.
  std::map<std::string, std::string> Instances;
};

/// Access of one process to the platform.
class fake_store final : public object_store {
public:
  fake_store(event_queue &Queue, fake_platform &Platform) : Queue(Queue), Platform(Platform) {}
  void get(const std::string &Key, callback Done) override;
  void put(const std::string &Key, object_version Expected, const std::string &Value,
           callback Done) override;
  void watch(const std::string &Key, object_version Known, callback Done) override;
  void listInstances(instances_callback Done) override;

  bool Reachable = true;

private:
  void pollWatch(const std::string &Key, object_version Known, instant End, const callback &Done);
  bool up() const { return Reachable && !Platform.Down; }

  event_queue &Queue;
  fake_platform &Platform;
};

/// A target as probes see it.
struct fake_target {
  bool Alive = true;
  bool Draining = false;
  std::uint32_t Slots = 3;
  std::function<std::uint32_t()> SlotsInUse = [] { return 1U; };
  std::function<std::uint32_t()> Connections = [] { return 100U; };
  /// Indices of the processes whose probes get no answer although the target is alive.
  std::set<std::size_t> HiddenFrom;
};

class fleet;

/// A balancer process with a minimal data plane.
class process final : public control_plane_listener {
public:
  process(fleet &Fleet, std::size_t Index, const control_plane_settings &Settings);

  void sendMessage(const endpoint &Control, const peer_message &Message) override;
  void publishView(std::shared_ptr<const forwarding_view> NewView) override;
  void probeTarget(target_id Target, const endpoint &Health) override;
  void fetchConfiguration(member_id From, const endpoint &Rpc, config_version Version) override;
  void storeRecords(std::span<const flow_record> Records) override {
    StoredRecords += Records.size();
  }
  void resetFlows() override { ++Resets; }

  /// Delivers the message now, or when a pause ends.
  void deliver(const endpoint &From, const peer_message &Message);
  void tick();

  fleet &Fleet;
  std::size_t Index;
  control_plane_settings Settings;
  fake_store Store;
  seeded_random Random;
  std::unique_ptr<control_plane> Control;
  std::shared_ptr<const forwarding_view> View;
  bool Paused = false;
  std::vector<std::pair<endpoint, peer_message>> ReceivedWhilePaused;
  /// Whether the simulated data plane finishes transfers, and the members to which it did.
  bool FinishesTransfers = true;
  std::set<member_id> Transferred;
  std::size_t StoredRecords = 0;
  std::size_t Resets = 0;
  /// Checked at each tick.
  config_version HighestVersion = 0;
  bool VersionFell = false;
  /// How often a new view showed each member as newly suspected or removed.
  std::map<member_id, std::size_t> NewSuspicions;
};

/// Control planes connected by a simulated network with faults.
class fleet {
public:
  explicit fleet(std::uint64_t Seed = 1, ownership_scope Scope = ownership_scope::DataCentre);

  /// Adds a process in data centre \p DataCentre; returns its index.
  std::size_t add(const std::string &DataCentre = "a");
  void addMany(std::size_t Count, std::size_t DataCentres = 1);
  void start(std::size_t Index);
  void crash(std::size_t Index);
  /// Starts a process of the same name again with a higher incarnation.
  void restart(std::size_t Index);
  void pause(std::size_t Index, duration Length);

  void run(duration Length);
  /// Runs until the condition holds; returns the time it took, or Limit if it never held.
  duration runUntil(const std::function<bool()> &Condition, duration Limit);

  bool alive(std::size_t Index) const { return Processes.count(Index) != 0; }
  process &at(std::size_t Index) { return *Processes.at(Index); }
  std::vector<std::size_t> running() const;
  member_id idOf(std::size_t Index) const { return AllSettings[Index].Self.Id; }

  /// True if all processes in \p Expected run and see exactly \p Expected as ready and unsuspected.
  bool allSee(const std::set<std::size_t> &Expected) const;
  bool allReady() const;
  bool allHaveVersion(config_version Version) const;
  bool anyVersionFell() const;

  /// Submits a patch at a process; the outcome is stored in Outcomes under its id.
  void submit(std::size_t Index, const patch &Patch);

  event_queue Queue;
  fake_platform Platform;
  std::map<target_id, fake_target> Targets;
  std::map<std::string, patch_outcome> Outcomes;
  /// Faults: a message is lost if IsBlocked returns true, or with probability LossRate.
  std::function<bool(std::size_t From, std::size_t To)> IsBlocked = [](std::size_t, std::size_t) {
    return false;
  };
  double LossRate = 0;
  bool CountBytes = false;
  /// Bytes of encoded and authenticated messages and of probes per process, across its restarts.
  std::map<std::size_t, std::uint64_t> BytesSent;
  duration MaxDelay = std::chrono::milliseconds(2);
  seeded_random Random;
  ownership_scope Scope;

  std::size_t indexOf(const endpoint &Control) const;

private:
  friend class process;
  void scheduleTick(std::size_t Index, std::uint64_t Generation);
  void create(std::size_t Index);

  std::vector<control_plane_settings> AllSettings;
  std::vector<std::uint64_t> Generations;
  std::map<std::size_t, std::unique_ptr<process>> Processes;
};

/// Returns the patch that creates a configuration with one service "gate" of \p Count targets.
patch gatePatch(std::size_t Count, std::uint32_t Slots = 3);
target_id gateTarget(std::size_t Index, std::uint32_t Slots = 3);
patch intentPatch(const std::string &Id, config_version Base, std::size_t Target,
                  target_intent Intent = target_intent::Leaving);

} // namespace briarpoint::test

#endif // BRIARPOINT_TESTS_CONTROL_FLEET_SUPPORT_H
