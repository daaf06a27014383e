#ifndef BRIARPOINT_TESTS_DATA_SIMULATED_FABRIC_SUPPORT_H
#define BRIARPOINT_TESTS_DATA_SIMULATED_FABRIC_SUPPORT_H

#include "base/seeded_random.h"
#include "core/data/data_plane.h"
#include "net/packet_builder.h"

#include <deque>
#include <map>

namespace briarpoint::testing {

using bytes = std::vector<std::byte>;

/// A packet that reached a target.
struct target_packet {
  target_id Target{};
  service_id Service{};
  bytes Packet;
};

/// Probabilities (0 to 1) that a message between balancers is lost, duplicated or delayed. Delayed
/// messages are also reordered.
struct message_faults {
  double Loss = 0;
  double Duplication = 0;
  double Delay = 0;
};

/// Several data planes of one fabric that exchange messages in memory, with a simulated clock.
class simulated_fabric {
public:
  /// Creates a service with TCP and UDP port 80 for each element of \p TargetCounts.
  explicit simulated_fabric(std::size_t BalancerCount,
                            std::vector<std::size_t> TargetCounts = {3, 2}, std::uint64_t Seed = 1,
                            data_plane_settings Settings = {});
  ~simulated_fabric();
  simulated_fabric(const simulated_fabric &) = delete;
  simulated_fabric &operator=(const simulated_fabric &) = delete;

  static member_id memberId(std::size_t Index);
  static endpoint serviceAddress(std::size_t Service);
  static endpoint callerAddress(std::uint16_t Caller);
  target_id targetId(std::size_t Service, std::size_t Index) const;

  /// Content of the next view; tests change it and call publish.
  std::vector<member_view> Members;
  std::vector<target_view> Targets;
  std::vector<service_view> Services;
  bool AllReachable = true;
  message_faults Faults;

  std::shared_ptr<const forwarding_view> makeView() const;
  /// Applies a view of the current content to one balancer, or to all live ones.
  void publishTo(std::size_t Index);
  void publish();

  /// Replaces a balancer process by a new one with an empty flow table and no view.
  void restart(std::size_t Index);
  /// Ends a process without notice. It stays a member until a test changes Members.
  void kill(std::size_t Index);
  bool isLive(std::size_t Index) const { return Nodes[Index] != nullptr; }

  /// Delivers a packet to a balancer as the fabric or a target does, then all messages between
  /// balancers.
  void forward(std::size_t Index, const bytes &Packet);
  void reply(std::size_t Index, target_id Target, const bytes &Packet);
  /// Delivers a packet from the fabric without delivering messages.
  void inject(std::size_t Index, const bytes &Packet);
  /// Delivers all messages that aren't delayed, and those that they cause.
  void deliverAll();

  /// Advances the clock in steps of 100 ms, with a tick and deliveries at each step.
  void advance(duration Time);

  data_plane &plane(std::size_t Index);
  /// Returns the member for the process with this index, or null if it isn't a member.
  member_view *member(std::size_t Index);
  /// Returns the index of the process that is an owner of a flow according to Members. ownerAt
  /// throws std::out_of_range if the flow has no such owner.
  std::size_t firstOwner(const flow_key &Key) const;
  std::size_t ownerAt(const flow_key &Key, std::size_t OwnerIndex) const;
  std::uint64_t dropped(drop_reason Reason) const;
  /// Returns a balancer's record of a flow, or null; valid until the next call.
  const flow_record *recordAt(std::size_t Index, const flow_key &Key);

  instant Now = instant(std::chrono::hours(1));
  std::vector<target_packet> AtTargets;
  std::vector<bytes> AtCaller;
  std::vector<target_observation> Observations;
  /// Sender and receiver of each message that a transfer is finished.
  std::vector<std::pair<member_id, member_id>> Finished;
  std::size_t RecordsSent = 0;
  data_plane_settings Settings;
  admission_factory Admission;
  seeded_random Random;

private:
  struct node;
  struct message {
    member_id To{};
    std::optional<handover> Handover;
    std::vector<flow_record> Records;
    bytes Packet;
  };

  void post(message Message);
  void deliver(const message &Message);

  std::vector<std::unique_ptr<node>> Nodes;
  std::deque<message> Messages;
  std::vector<message> Delayed;
  std::vector<flow_record> LastRecords;
};

/// TCP segment or UDP datagram from a caller to a service.
bytes segment(const endpoint &Caller, const endpoint &Service, std::uint8_t Flags,
              std::uint32_t Sequence, std::uint32_t Acknowledgement = 0, std::size_t Payload = 0);
bytes datagram(const endpoint &From, const endpoint &To, std::size_t Payload = 10);

packet_view parsed(const bytes &Packet);

} // namespace briarpoint::testing

#endif // BRIARPOINT_TESTS_DATA_SIMULATED_FABRIC_SUPPORT_H
