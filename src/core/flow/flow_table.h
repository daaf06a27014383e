#ifndef BRIARPOINT_CORE_FLOW_FLOW_TABLE_H
#define BRIARPOINT_CORE_FLOW_FLOW_TABLE_H

#include "core/flow/flow_entry.h"

#include <memory>
#include <vector>

namespace briarpoint {

/// Bounded hash table of flows. Entries don't move and have small indices, so callers can iterate
/// over the table in steps. The buckets form an open-addressing table with linear probing; a lookup
/// usually touches one cache line of buckets and the entry. Lookups never allocate.
class flow_table {
public:
  /// Holds at most \p MaxFlows entries; memory is allocated as the table fills.
  explicit flow_table(std::size_t MaxFlows);

  /// Returns null if there is no such flow.
  flow_entry *find(const flow_id &Id) {
    const bucket &Bucket = Buckets[findBucket(Id)];
    return Bucket.Entry == NoIndex ? nullptr : &entry(Bucket.Entry);
  }

  /// Prefetches the bucket where a lookup of \p Id starts.
  void prefetchBucket(const flow_id &Id) const { __builtin_prefetch(&Buckets[tagOf(Id) & Mask]); }

  /// Prefetches the entry that a lookup of \p Id probably returns. Call \ref prefetchBucket first,
  /// early enough that the bucket is in the cache.
  void prefetchEntry(const flow_id &Id) {
    const bucket &Bucket = Buckets[tagOf(Id) & Mask];
    if (Bucket.Entry != NoIndex)
      __builtin_prefetch(&entry(Bucket.Entry));
  }

  /// Adds a flow, which must not be in the table yet. Returns null if the table is full.
  flow_entry *insert(const flow_id &Id);

  /// Removes an entry of this table.
  void erase(flow_entry &Entry);

  void clear();

  std::size_t size() const { return Size; }

  /// Upper bound (exclusive) of the indices in use. It decreases only by clear().
  std::uint32_t indexEnd() const { return EntryEnd; }

  /// Returns the entry with this index, or null if it is free.
  flow_entry *at(std::uint32_t Index) {
    flow_entry &Entry = entry(Index);
    return Entry.Used ? &Entry : nullptr;
  }
  const flow_entry *at(std::uint32_t Index) const {
    return const_cast<flow_table *>(this)->at(Index);
  }

private:
  static constexpr std::uint32_t ChunkBits = 10;
  static constexpr std::uint32_t ChunkSize = 1U << ChunkBits;

  /// Tag is the low half of the id's low word; Entry is the entry's index.
  struct bucket {
    std::uint32_t Tag = 0;
    std::uint32_t Entry = NoIndex;
  };

  flow_entry &entry(std::uint32_t Index) {
    return Chunks[Index >> ChunkBits][Index & (ChunkSize - 1)];
  }
  static std::uint32_t tagOf(const flow_id &Id) { return static_cast<std::uint32_t>(Id.Low); }
  std::size_t findBucket(const flow_id &Id) {
    const std::uint32_t Tag = tagOf(Id);
    std::size_t I = Tag & Mask;
    while (Buckets[I].Entry != NoIndex &&
           (Buckets[I].Tag != Tag || entry(Buckets[I].Entry).Id != Id))
      I = (I + 1) & Mask;
    return I;
  }
  void grow();
  std::uint32_t allocateEntry();

  std::size_t MaxFlows;
  std::size_t Size = 0;
  std::size_t Mask = 0;
  std::vector<bucket> Buckets;
  std::vector<std::unique_ptr<flow_entry[]>> Chunks;
  std::uint32_t EntryEnd = 0;
  std::vector<std::uint32_t> FreeEntries;
};

} // namespace briarpoint

#endif // BRIARPOINT_CORE_FLOW_FLOW_TABLE_H
