#include "core/flow/flow_table.h"

#include <algorithm>

namespace briarpoint {

namespace {

constexpr std::size_t InitialPlaces = 1024;

} // namespace

flow_table::flow_table(std::size_t MaxFlows)
    : MaxFlows(std::min<std::size_t>(MaxFlows, NoIndex - 1)), Mask(InitialPlaces - 1),
      Places(InitialPlaces) {}

flow_entry *flow_table::insert(const flow_id &Id) {
  if (Size >= MaxFlows)
    return nullptr;
  // At most half of the places are used, which keeps probe sequences short.
  if ((Size + 1) * 2 > Places.size())
    grow();
  place &Place = Places[findPlace(Id)];
  Place = {tagOf(Id), takeEntry()};
  ++Size;
  flow_entry &Entry = entry(Place.Entry);
  Entry = flow_entry{};
  Entry.Id = Id;
  Entry.Used = true;
  return &Entry;
}

void flow_table::erase(flow_entry &Entry) {
  std::size_t Hole = findPlace(Entry.Id);
  Free.push_back(Places[Hole].Entry);
  Entry.Used = false;
  --Size;

  // Move later entries of the probe sequence back, so that no marker for deleted places is needed.
  for (std::size_t I = (Hole + 1) & Mask; Places[I].Entry != NoIndex; I = (I + 1) & Mask) {
    const std::size_t Home = Places[I].Tag & Mask;
    if (((I - Home) & Mask) >= ((I - Hole) & Mask)) {
      Places[Hole] = Places[I];
      Hole = I;
    }
  }
  Places[Hole] = {};
}

void flow_table::clear() {
  Size = 0;
  Mask = InitialPlaces - 1;
  Places.assign(InitialPlaces, {});
  Chunks.clear();
  Free.clear();
  EntryEnd = 0;
}

void flow_table::grow() {
  std::vector<place> Old(Places.size() * 2);
  Old.swap(Places);
  Mask = Places.size() - 1;
  for (const place &Place : Old) {
    if (Place.Entry == NoIndex)
      continue;
    std::size_t I = Place.Tag & Mask;
    while (Places[I].Entry != NoIndex)
      I = (I + 1) & Mask;
    Places[I] = Place;
  }
}

std::uint32_t flow_table::takeEntry() {
  if (!Free.empty()) {
    const std::uint32_t Index = Free.back();
    Free.pop_back();
    return Index;
  }
  if ((EntryEnd & (ChunkSize - 1)) == 0)
    Chunks.push_back(std::make_unique<flow_entry[]>(ChunkSize));
  return EntryEnd++;
}

} // namespace briarpoint
