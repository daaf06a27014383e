// Compares the time of the core's decision for a packet of a known flow at its owner with the time
// of one lookup in a std::unordered_map of the same size, both with random access. Also counts the
// allocations while forwarding.

#include "base/seeded_random.h"
#include "core/data/data_plane.h"
#include "net/packet_builder.h"

#include <algorithm>
#include <atomic>
#include <benchmark/benchmark.h>
#include <cstdio>
#include <cstdlib>
#include <map>
#include <memory>
#include <new>
#include <string>

namespace {

std::atomic<std::uint64_t> Allocations{0};

} // namespace

// Counts every allocation of the program. Not inlined, because the compiler would otherwise warn
// about free() on memory from operator new.
[[gnu::noinline]] void *operator new(std::size_t Size) {
  Allocations.fetch_add(1, std::memory_order_relaxed);
  if (void *Memory = std::malloc(Size == 0 ? 1 : Size))
    return Memory;
  throw std::bad_alloc();
}
[[gnu::noinline]] void *operator new(std::size_t Size, std::align_val_t Alignment) {
  Allocations.fetch_add(1, std::memory_order_relaxed);
  const auto Align = static_cast<std::size_t>(Alignment);
  if (void *Memory = std::aligned_alloc(Align, (Size + Align - 1) / Align * Align))
    return Memory;
  throw std::bad_alloc();
}
[[gnu::noinline]] void operator delete(void *Memory) noexcept { std::free(Memory); }
[[gnu::noinline]] void operator delete(void *Memory, std::size_t) noexcept { std::free(Memory); }
[[gnu::noinline]] void operator delete(void *Memory, std::align_val_t) noexcept {
  std::free(Memory);
}
[[gnu::noinline]] void operator delete(void *Memory, std::size_t, std::align_val_t) noexcept {
  std::free(Memory);
}

namespace {

using namespace briarpoint;

constexpr std::size_t PacketSize = 40;
/// Number of prepared packets, of flows in random order. At least as many as the largest number of
/// flows, so that records don't stay in the caches because their packets repeat.
constexpr std::size_t SequenceSize = 1U << 20U;
constexpr double MaxRatio = 2.0;
constexpr std::array<std::int64_t, 3> FlowCounts{10000, 250000, 1000000};

/// Counts what the data plane sends.
class counting_listener final : public data_plane_listener {
public:
  void sendToTarget(const target_view &, std::span<const std::byte> Inner) override {
    ++ToTarget;
    benchmark::DoNotOptimize(Inner.data());
  }
  void sendToCaller(std::span<const std::byte>) override {}
  void sendToBalancer(const member_view &, const handover &, std::span<const std::byte>) override {}
  void sendRecords(member_id, std::span<const flow_record>) override {}
  void sendTransferFinished(member_id) override {}
  void reportObservations(std::span<const target_observation>) override {}

  std::uint64_t ToTarget = 0;
};

endpoint makeEndpoint(std::uint32_t Address, std::uint16_t Port) {
  endpoint Endpoint;
  for (std::size_t I = 0; I < 4; ++I)
    Endpoint.Address.Bytes[I] = static_cast<std::uint8_t>(Address >> (24 - 8 * I));
  Endpoint.Port = Port;
  return Endpoint;
}

const endpoint Service = makeEndpoint(0xC6336401, 443);

endpoint callerFor(std::uint32_t Flow) {
  return makeEndpoint(0x0A000000 + Flow / 50000, static_cast<std::uint16_t>(1024 + Flow % 50000));
}

std::shared_ptr<const forwarding_view> makeView(member_id Self) {
  forwarding_view_parts Parts;
  Parts.Members = {{Self, "dc", "", makeEndpoint(0x7F000001, 6081), member_state::Ready, false}};
  service_view View{service_id{1}, "inventory", Service.Address, {{443, transport::Tcp, {}}}, {}};
  for (std::uint32_t I = 0; I < 14; ++I) {
    Parts.Targets.push_back({target_id{I + 1}, View.Id, makeEndpoint(0x7F000100 + I, 6081)});
    View.Targets.push_back(I);
  }
  Parts.Services = {View};
  Parts.Owners = ownership_table::build(Parts.Members, ownership_scope::DataCentre, "dc", false);
  Parts.NextOwners = Parts.Owners;
  return std::make_shared<const forwarding_view>(std::move(Parts));
}

std::size_t writeSegment(std::uint32_t Flow, std::uint8_t Flags, std::span<std::byte> Buffer) {
  return writePacket({callerFor(Flow), Service, transport::Tcp, Flags, 100, 200, {}}, Buffer);
}

/// Not noexcept, so that the library caches the hashes, which makes its lookup faster.
struct tuple_hash {
  std::size_t operator()(const flow_key &Key) const { return makeFlowId(Key, 0).Low; }
};

/// A balancer that owns all flows and holds \p Flows of them, and a library map of the same flows.
struct fixture {
  explicit fixture(std::uint32_t Flows) : DataPlane(Self, settings(), Random, Listener) {
    DataPlane.applyView(makeView(Self), Now);
    std::array<std::byte, PacketSize> Packet{};
    for (std::uint32_t Flow = 0; Flow < Flows; ++Flow) {
      writeSegment(Flow, TcpSyn, Packet);
      DataPlane.handleForward(Packet, Now);
      // The next packet of the caller establishes the flow.
      writeSegment(Flow, TcpAck, Packet);
      DataPlane.handleForward(Packet, Now);
      const flow_key Key{callerFor(Flow), Service, transport::Tcp};
      const flow_id Id = makeFlowId(Key, 0);
      flow_record Record;
      Record.Id = Id;
      ById.emplace(Id, Record);
      ByTuple.emplace(Key, Record);
    }
    // Random flows, so that hardware prefetching doesn't help.
    Packets.resize(SequenceSize);
    Ids.resize(SequenceSize);
    Keys.resize(SequenceSize);
    for (std::size_t I = 0; I < SequenceSize; ++I) {
      const auto Flow = static_cast<std::uint32_t>(Random.below(Flows));
      writeSegment(Flow, TcpAck, Packets[I]);
      Keys[I] = {callerFor(Flow), Service, transport::Tcp};
      Ids[I] = makeFlowId(Keys[I], 0);
    }
  }

  static data_plane_settings settings() {
    data_plane_settings Settings;
    Settings.MaxFlows = 1'000'000;
    return Settings;
  }

  member_id Self = makeMemberId("balancer");
  seeded_random Random{1};
  counting_listener Listener;
  data_plane DataPlane;
  instant Now = instant(std::chrono::hours(1));
  std::unordered_map<flow_id, flow_record> ById;
  std::unordered_map<flow_key, flow_record, tuple_hash> ByTuple;
  std::vector<std::array<std::byte, PacketSize>> Packets;
  std::vector<flow_id> Ids;
  std::vector<flow_key> Keys;
};

/// Keeps only one fixture, because a million flows take some hundred megabytes.
fixture &fixtureFor(std::uint32_t Flows) {
  static std::unique_ptr<fixture> Current;
  static std::uint32_t CurrentFlows = 0;
  if (CurrentFlows != Flows) {
    Current.reset();
    Current = std::make_unique<fixture>(Flows);
    CurrentFlows = Flows;
  }
  return *Current;
}

void libraryTupleLookup(benchmark::State &State) {
  fixture &Fixture = fixtureFor(static_cast<std::uint32_t>(State.range(0)));
  std::size_t Next = 0;
  for (auto Step : State) {
    const auto Found = Fixture.ByTuple.find(Fixture.Keys[Next]);
    benchmark::DoNotOptimize(Found->second.Target);
    Next = (Next + 1) % SequenceSize;
  }
}

void libraryLookup(benchmark::State &State) {
  fixture &Fixture = fixtureFor(static_cast<std::uint32_t>(State.range(0)));
  std::size_t Next = 0;
  for (auto Step : State) {
    const auto Found = Fixture.ById.find(Fixture.Ids[Next]);
    benchmark::DoNotOptimize(Found->second.Target);
    Next = (Next + 1) % SequenceSize;
  }
}

/// Batch size with which the daemon receives packets.
constexpr std::size_t BatchSize = 32;

void coreBatch(benchmark::State &State) {
  fixture &Fixture = fixtureFor(static_cast<std::uint32_t>(State.range(0)));
  const std::uint64_t SentBefore = Fixture.Listener.ToTarget;
  const std::uint64_t AllocationsBefore = Allocations;
  std::array<std::span<const std::byte>, BatchSize> Batch;
  std::size_t Next = 0;
  // Each iteration counts as one packet, as in the other benchmarks, so that times are comparable.
  while (State.KeepRunningBatch(BatchSize)) {
    for (std::size_t I = 0; I < BatchSize; ++I)
      Batch[I] = Fixture.Packets[Next + I];
    Fixture.DataPlane.handleForwardBatch(Batch, Fixture.Now);
    Next = (Next + BatchSize) % SequenceSize;
  }
  State.counters["allocations"] = static_cast<double>(Allocations - AllocationsBefore);
  if (Fixture.Listener.ToTarget - SentBefore != static_cast<std::uint64_t>(State.iterations()))
    State.SkipWithError("not every packet was sent to a target");
}

void coreDecision(benchmark::State &State) {
  fixture &Fixture = fixtureFor(static_cast<std::uint32_t>(State.range(0)));
  const std::uint64_t SentBefore = Fixture.Listener.ToTarget;
  const std::uint64_t AllocationsBefore = Allocations;
  std::size_t Next = 0;
  for (auto Step : State) {
    Fixture.DataPlane.handleForward(Fixture.Packets[Next], Fixture.Now);
    Next = (Next + 1) % SequenceSize;
  }
  State.counters["allocations"] = static_cast<double>(Allocations - AllocationsBefore);
  if (Fixture.Listener.ToTarget - SentBefore != static_cast<std::uint64_t>(State.iterations()))
    State.SkipWithError("not every packet was sent to a target");
}

/// Prints like ConsoleReporter, and keeps the medians by name and the maximum of allocations.
class ratio_reporter final : public benchmark::ConsoleReporter {
public:
  void ReportRuns(const std::vector<Run> &Runs) override {
    ConsoleReporter::ReportRuns(Runs);
    for (const Run &Result : Runs) {
      AnyError |= Result.error_occurred;
      const std::string Name = Result.run_name.function_name + "/" + Result.run_name.args;
      if (Result.run_type == Run::RT_Aggregate && Result.aggregate_name == "median")
        Medians[Name] = Result.GetAdjustedCPUTime();
      else if (Result.run_type == Run::RT_Iteration && Result.counters.contains("allocations"))
        MaxAllocations = std::max(MaxAllocations, Result.counters.at("allocations").value);
    }
  }

  std::map<std::string, double> Medians;
  double MaxAllocations = 0;
  bool AnyError = false;
};

/// Registers the benchmarks of one size one after the other, so that they run under the same
/// conditions.
void registerBenchmarks() {
  using function = void (*)(benchmark::State &);
  constexpr std::array<std::pair<const char *, function>, 4> Functions{
      {{"libraryLookup", libraryLookup},
       {"libraryTupleLookup", libraryTupleLookup},
       {"coreDecision", coreDecision},
       {"coreBatch", coreBatch}}};
  for (const std::int64_t Flows : FlowCounts) {
    for (const auto &[Name, Function] : Functions)
      benchmark::RegisterBenchmark(Name, Function)
          ->Arg(Flows)
          ->Repetitions(7)
          ->ReportAggregatesOnly(false)
          ->MinTime(0.1);
  }
}

} // namespace

int main(int Count, char **Arguments) {
  benchmark::Initialize(&Count, Arguments);
  registerBenchmarks();
  ratio_reporter Reporter;
  benchmark::RunSpecifiedBenchmarks(&Reporter);

  bool WithinBounds = !Reporter.AnyError;
  std::printf("library: std::unordered_map of libstdc++; by id: the key is the flow id, hashed "
              "before; by tuple: the key is the 5-tuple, hashed in the lookup\n");
  for (const std::int64_t Flows : FlowCounts) {
    const auto Median = [&](const char *Name) {
      return Reporter.Medians[Name + std::string("/") + std::to_string(Flows)];
    };
    const double ById = Median("libraryLookup");
    const double ByTuple = Median("libraryTupleLookup");
    const double Single = Median("coreDecision");
    const double Batch = Median("coreBatch");
    // Zero if the command line's filter excludes the benchmark.
    if (ById <= 0 || ByTuple <= 0 || Single <= 0 || Batch <= 0)
      continue;
    WithinBounds &= Batch / ById <= MaxRatio;
    std::printf("flows %lld: core %.1f ns in batches, %.1f ns singly; library %.1f ns by id, %.1f "
                "ns by tuple\n",
                static_cast<long long>(Flows), Batch, Single, ById, ByTuple);
    std::printf("flows %lld: ratio %.2f in batches to library by id (bound %.1f); singly %.2f; to "
                "library by tuple %.2f in batches, %.2f singly\n",
                static_cast<long long>(Flows), Batch / ById, MaxRatio, Single / ById,
                Batch / ByTuple, Single / ByTuple);
  }
  std::printf("allocations while forwarding packets of known flows: %.0f (bound 0)\n",
              Reporter.MaxAllocations);
  WithinBounds &= Reporter.MaxAllocations == 0;
  return WithinBounds ? 0 : 1;
}
