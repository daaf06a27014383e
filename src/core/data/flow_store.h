#ifndef BRIARPOINT_CORE_DATA_FLOW_STORE_H
#define BRIARPOINT_CORE_DATA_FLOW_STORE_H

#include "core/data/data_plane_settings.h"
#include "core/data/record_merge.h"
#include "core/data/slot_directory.h"
#include "core/data/target_directory.h"
#include "core/flow/flow_table.h"

namespace briarpoint {

/// Parameters of flow_store::open.
struct new_flow {
  flow_id Id;
  service_id Service{};
  std::uint32_t Target = NoIndex;
  std::uint32_t InitialSequence = 0;
  transport Protocol = transport::Tcp;
};

/// The flow table. Also maintains the deadlines of its entries and the number of open flows of each
/// target.
class flow_store {
public:
  /// The references must outlive the object.
  flow_store(const data_plane_settings &Settings, target_directory &Targets,
             const slot_directory &Slots);

  /// Returns null if the flow is unknown or expired.
  flow_entry *find(const flow_id &Id, instant Now) {
    flow_entry *Entry = Table.find(Id);
    if (Entry == nullptr || !Entry->Expires.isDue(Now))
      return Entry;
    erase(*Entry);
    return nullptr;
  }

  /// Adds a flow in phase Opening, or overwrites \p Reused with it. Returns null if the table is
  /// full.
  flow_entry *open(const new_flow &Flow, flow_entry *Reused, instant Now);

  void setTarget(flow_entry &Entry, std::uint32_t Target);
  void setPhase(flow_entry &Entry, flow_phase Phase, instant Now);
  /// Sets a phase that this balancer has observed, and increments the revision. Returns false if
  /// the entry is in that phase already.
  bool advancePhase(flow_entry &Entry, flow_phase Phase, instant Now);
  void erase(flow_entry &Entry);

  /// Sets the expiry of a flow that was used at \p Now.
  void touch(flow_entry &Entry, instant Now) const {
    const coarse_instant Expires(Now + retention(Entry));
    // Packets in quick succession don't write to the entry's cache line.
    if (Entry.Expires != Expires)
      Entry.Expires = Expires;
  }

  /// Sets the time from which a packet replicates the record again.
  void scheduleRefresh(flow_entry &Entry, instant Now) const;

  flow_record toRecord(const flow_entry &Entry, instant Now) const;

  /// Stores \p Record over \p Held, or as a new entry if \p Held is null. Returns null if the table
  /// is full.
  flow_entry *storeRecord(const flow_record &Record, flow_entry *Held, instant Now);

  /// Stores a record that arrived as control traffic. Returns false if the table is full.
  bool merge(const flow_record &Record, instant Now);

  /// Recomputes for each entry whether this balancer is its first owner.
  void updateOwnership();

  /// Erases expired and obsolete entries in the next part of the table. The whole table is visited
  /// every few seconds.
  void sweep(instant Now, const forwarding_view &View);

  void clear();

  flow_table &table() { return Table; }
  const flow_table &table() const { return Table; }
  std::uint64_t ownedRecords() const { return Owned; }

private:
  /// Returns the time for which an entry is kept after its last use.
  duration retention(const flow_entry &Entry) const {
    if (Entry.Phase == flow_phase::Closed)
      return Settings.ClosedFlowRetention;
    if (Entry.Protocol == transport::Udp)
      return Settings.UdpIdleTimeout;
    // An opening flow is kept no longer than a closed one, so that a SYN flood can't fill the table
    // for a day.
    if (Entry.Phase == flow_phase::Opening)
      return Settings.ClosedFlowRetention;
    return Entry.Phase == flow_phase::Established ? Settings.TcpIdleTimeout
                                                  : Settings.HalfClosedIdleTimeout;
  }
  void updateCounts(flow_entry &Entry);
  /// Whether this balancer no longer owns the entry and needn't keep it for the new owners.
  bool isObsolete(const flow_entry &Entry, instant Now, const forwarding_view &View) const;

  const data_plane_settings &Settings;
  target_directory &Targets;
  const slot_directory &Slots;
  flow_table Table;
  std::uint64_t Owned = 0;
  std::uint32_t NextSweepIndex = 0;
  instant LastSweep = instant::min();
};

} // namespace briarpoint

#endif // BRIARPOINT_CORE_DATA_FLOW_STORE_H
