#include "core/flow/flow_table.h"

#include <algorithm>

namespace briarpoint {

namespace {

constexpr std::size_t InitialBucketCount = 1024;

} // namespace

flow_table::flow_table(std::size_t MaxFlows)
    : MaxFlows(std::min<std::size_t>(MaxFlows, NoIndex - 1)), Mask(InitialBucketCount - 1),
      Buckets(InitialBucketCount) {}

flow_entry *flow_table::insert(const flow_id &Id) {
  if (Size >= MaxFlows)
    return nullptr;
  // At most half of the buckets are used, which keeps probe sequences short.
  if ((Size + 1) * 2 > Buckets.size())
    grow();
  bucket &Bucket = Buckets[findBucket(Id)];
  Bucket = {tagOf(Id), allocateEntry()};
  ++Size;
  flow_entry &Entry = entry(Bucket.Entry);
  Entry = flow_entry{};
  Entry.Id = Id;
  Entry.Used = true;
  return &Entry;
}

void flow_table::erase(flow_entry &Entry) {
  std::size_t Hole = findBucket(Entry.Id);
  FreeEntries.push_back(Buckets[Hole].Entry);
  Entry.Used = false;
  --Size;

  // Backward-shift deletion: later entries of the probe sequence move back, so no tombstones are
  // needed.
  for (std::size_t I = (Hole + 1) & Mask; Buckets[I].Entry != NoIndex; I = (I + 1) & Mask) {
    const std::size_t Home = Buckets[I].Tag & Mask;
    if (((I - Home) & Mask) >= ((I - Hole) & Mask)) {
      Buckets[Hole] = Buckets[I];
      Hole = I;
    }
  }
  Buckets[Hole] = {};
}

void flow_table::clear() {
  Size = 0;
  Mask = InitialBucketCount - 1;
  Buckets.assign(InitialBucketCount, {});
  Chunks.clear();
  FreeEntries.clear();
  EntryEnd = 0;
}

void flow_table::grow() {
  std::vector<bucket> Old(Buckets.size() * 2);
  Old.swap(Buckets);
  Mask = Buckets.size() - 1;
  for (const bucket &Bucket : Old) {
    if (Bucket.Entry == NoIndex)
      continue;
    std::size_t I = Bucket.Tag & Mask;
    while (Buckets[I].Entry != NoIndex)
      I = (I + 1) & Mask;
    Buckets[I] = Bucket;
  }
}

std::uint32_t flow_table::allocateEntry() {
  if (!FreeEntries.empty()) {
    const std::uint32_t Index = FreeEntries.back();
    FreeEntries.pop_back();
    return Index;
  }
  if ((EntryEnd & (ChunkSize - 1)) == 0)
    Chunks.push_back(std::make_unique<flow_entry[]>(ChunkSize));
  return EntryEnd++;
}

} // namespace briarpoint
