#ifndef BRIARPOINT_CORE_DATA_RECORD_TRANSFER_H
#define BRIARPOINT_CORE_DATA_RECORD_TRANSFER_H

#include "core/data/flow_store.h"
#include "core/data/packet_output.h"

#include <bitset>
#include <map>

namespace briarpoint {

/// Sends records in the background to members that became or will become owners, limited to
/// TransferBytesPerSecond. Skips records that packets have carried to the owners already.
class record_transfer {
public:
  /// The references must outlive the object.
  record_transfer(member_id Self, const data_plane_settings &Settings, const flow_store &Store,
                  const slot_directory &Slots, packet_output &Output)
      : Self(Self), Settings(Settings), Store(Store), Slots(Slots), Output(Output) {}

  /// Updates the slots to transfer. Call it after slot_directory::applyView with the same \p View.
  void applyView(const forwarding_view &View);

  /// Sends as many records as the limit allows.
  void tick(instant Now);

  /// Cancels the transfers of all slots that were not sent yet.
  void clear();

private:
  using slot_set = std::bitset<OwnershipSlotCount>;

  /// Transfer of records to one member.
  struct job {
    /// Slots whose records are sent in the current pass over the flow table.
    slot_set Current;
    /// Slots that were added during the pass; the next pass sends them.
    slot_set Waiting;
    /// Slots whose records were all sent.
    slot_set Sent;
    /// Index in the flow table at which the pass continues.
    std::uint32_t NextIndex = 0;
    bool Joining = false;
    /// Time of the next message that the transfer is finished. The message may be lost, so it is
    /// repeated while the member is joining.
    instant AnnounceAt = instant::min();
  };

  void updateJobs(const forwarding_view &View);
  void updateSlot(std::uint32_t Slot, const forwarding_view &View);
  /// Whether this balancer sends the records of a slot to its new owners.
  bool isSender(const owner_list &Former, const owner_list &Owners,
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
  /// Value of slot_directory::changeCount at the last update.
  std::uint64_t AppliedChangeCount = 0;
  /// Owners of each slot at the last update.
  std::vector<owner_list> PreviousOwners = std::vector<owner_list>(OwnershipSlotCount);
  /// Ordered by member, so that the order of messages is deterministic.
  std::map<member_id, job> Jobs;
  /// The member that was sent to last.
  member_id LastServed = NoMember;
  /// Number of bytes that may be sent now; refilled at TransferBytesPerSecond.
  double Budget = 0;
  instant LastTick = instant::min();
  std::vector<flow_record> Batch;
};

} // namespace briarpoint

#endif // BRIARPOINT_CORE_DATA_RECORD_TRANSFER_H
