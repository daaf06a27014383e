#ifndef BRIARPOINT_CORE_DATA_RECORD_TRANSFER_H
#define BRIARPOINT_CORE_DATA_RECORD_TRANSFER_H

#include "core/data/flow_store.h"
#include "core/data/packet_output.h"

#include <bitset>
#include <map>

namespace briarpoint {

/// Sends records in the background to members that became or will become owners, within a budget
/// of bytes a second. Records that packets carried there already are left out.
class record_transfer {
public:
  /// The references must outlive the object.
  record_transfer(member_id Self, const data_plane_settings &Settings, const flow_store &Store,
                  const slot_directory &Slots, packet_output &Output)
      : Self(Self), Settings(Settings), Store(Store), Slots(Slots), Output(Output) {}

  /// Finds out which slots changed. Call it after the slot directory took \p View.
  void applyView(const forwarding_view &View);

  /// Sends what the budget allows.
  void tick(instant Now);

  void clear();

private:
  using slot_set = std::bitset<OwnershipSlotCount>;

  /// What one member needs from this balancer.
  struct job {
    /// Slots whose records are sent in this pass over the flow table.
    slot_set Current;
    /// Slots that were added during the pass; the next pass sends them.
    slot_set Waiting;
    /// Slots whose records were all sent.
    slot_set Sent;
    /// Next index of the flow table.
    std::uint32_t NextIndex = 0;
    bool Joining = false;
    /// When the end of the transfer is announced, again if the member is still joining then: an
    /// announcement may be lost.
    instant AnnounceAt = instant::min();
  };

  void updateJobs(const forwarding_view &View);
  void updateSlot(std::uint32_t Slot, const forwarding_view &View);
  bool isSender(const owner_list &PreviousOwners, const owner_list &Owners,
                const forwarding_view &View) const;
  bool isNeeded(const flow_entry &Entry, const job &Job) const;
  void runJob(member_id To, job &Job, instant Now);
  void send(member_id To);
  static void finishPass(job &Job);

  member_id Self;
  const data_plane_settings &Settings;
  const flow_store &Store;
  const slot_directory &Slots;
  packet_output &Output;
  /// Changes of the slot directory that were taken.
  std::uint64_t AppliedChangeCount = 0;
  /// Owners of each slot in the last view.
  std::vector<owner_list> PreviousOwners = std::vector<owner_list>(OwnershipSlotCount);
  /// Ordered, so that the same events give the same messages.
  std::map<member_id, job> Jobs;
  /// The member that was sent to last; the next one's turn comes first.
  member_id LastServed = NoMember;
  /// Bytes that may be sent now.
  double Budget = 0;
  instant LastTick = instant::min();
  std::vector<flow_record> Batch;
};

} // namespace briarpoint

#endif // BRIARPOINT_CORE_DATA_RECORD_TRANSFER_H
