/// Measures the cost of a balancer's parts at several sizes. docs/CAPACITY.md uses the slopes.
/// Prints one JSON object per line. Usage: capacity_bench [control|records|views|configuration], or
/// capacity_bench control MEMBERS DATA_CENTRES SERVICES TARGETS_PER_SERVICE

#include "bench/control_fleet.h"
#include "config/configuration_parts.h"
#include "core/flow/flow_table.h"
#include "core/view/forwarding_view.h"

#include <chrono>
#include <ctime>
#include <iostream>
#include <malloc.h>
#include <nlohmann/json.hpp>
#include <set>
#include <string_view>

namespace briarpoint::bench {
namespace {

using nlohmann::json;
using std::chrono::seconds;

/// Processor time that this process has used, in seconds.
double processorSeconds() { return static_cast<double>(std::clock()) / CLOCKS_PER_SEC; }

/// Bytes currently allocated on the heap.
double allocatedBytes() {
  const struct mallinfo2 Info = mallinfo2();
  return static_cast<double>(Info.uordblks + Info.hblkhd);
}

/// Runs \p Work and returns the processor time that it used, in seconds.
template <typename Function> double processorSecondsOf(Function Work) {
  const double Start = processorSeconds();
  Work();
  return processorSeconds() - Start;
}

/// Cost per member of ordinary operation, of a configuration change and of a restart.
void measureControl(const fleet_size &Size) {
  const double Before = allocatedBytes();
  control_fleet Fleet(Size);
  Fleet.start();
  Fleet.run(seconds(60));
  const auto Members = static_cast<double>(Size.Members);
  json Row = {{"part", "control"},
              {"members", Size.Members},
              {"data_centres", Size.DataCentres},
              {"targets", Size.Services * Size.TargetsPerService},
              {"memory_mb_per_member", (allocatedBytes() - Before) / Members / 1e6}};

  // Ordinary operation for 30 s.
  constexpr double LengthSeconds = 30;
  const fleet_totals Start = Fleet.totals();
  const double OrdinarySeconds = processorSecondsOf([&] { Fleet.run(seconds(30)); });
  const auto PerMember = [&](std::uint64_t After, std::uint64_t Earlier) {
    return static_cast<double>(After - Earlier) / Members / LengthSeconds;
  };
  const fleet_totals End = Fleet.totals();
  Row["core_percent"] = OrdinarySeconds / Members / LengthSeconds * 100;
  Row["message_bytes_per_s"] = PerMember(End.MessageBytes, Start.MessageBytes);
  Row["messages_per_s"] = PerMember(End.Messages, Start.Messages);
  Row["probes_per_s"] = PerMember(End.Probes, Start.Probes);
  Row["platform_reads_per_s"] = PerMember(End.Reads, Start.Reads) * Members;
  Row["platform_watches_per_s"] = PerMember(End.Watches, Start.Watches) * Members;

  // A configuration change and a restart of a member, without the cost of ordinary operation.
  Fleet.toggleTarget(0);
  const double ChangeSeconds = processorSecondsOf([&] {
    const duration InForce = Fleet.runUntilInForce(seconds(30));
    Row["change_in_force_s"] = std::chrono::duration<double>(InForce).count();
    Fleet.run(seconds(10) - InForce);
  });
  Row["change_core_ms"] = std::max(0.0, ChangeSeconds - OrdinarySeconds / 3) / Members * 1e3;
  const fleet_totals BeforeRestart = Fleet.totals();
  const double RestartSeconds = processorSecondsOf([&] {
    Fleet.restart(Size.Members / 2);
    Fleet.run(seconds(30));
  });
  Row["restart_core_ms"] = std::max(0.0, RestartSeconds - OrdinarySeconds) / Members * 1e3;
  Row["restart_bytes"] =
      (static_cast<double>(Fleet.totals().MessageBytes - BeforeRestart.MessageBytes) -
       static_cast<double>(End.MessageBytes - Start.MessageBytes)) /
      Members;
  Row["restart_reads"] = Fleet.totals().Reads - BeforeRestart.Reads;
  Row["all_ready"] = Fleet.allReady();
  std::cout << Row.dump() << std::endl;
}

/// Memory per flow record.
void measureRecords(std::size_t Count) {
  const double Before = allocatedBytes();
  flow_table Table(Count);
  for (std::size_t I = 0; I < Count; ++I)
    Table.insert({mixHash(1, I), mixHash(2, I)});
  const double Bytes = (allocatedBytes() - Before) / static_cast<double>(Count);
  std::cout << json{{"part", "records"}, {"records", Count}, {"bytes_per_record", Bytes}}.dump()
            << std::endl;
}

/// Processor time for building the ownership table and a view, and the memory of the view.
void measureViews(std::size_t Members, std::size_t Targets) {
  std::vector<member_view> Views;
  for (std::size_t I = 0; I < Members; ++I)
    Views.push_back({makeMemberId(std::to_string(I)), "a", "", {}, member_state::Ready, false});
  ownership_table Table;
  const double BuildSeconds = processorSecondsOf(
      [&] { Table = ownership_table::build(Views, ownership_scope::DataCentre, "a", false); });

  forwarding_view_parts Parts;
  Parts.Members = Views;
  Parts.Owners = Parts.NextOwners = Table;
  for (std::size_t I = 0; I < Targets; ++I) {
    ip_address Address;
    Address.Bytes = {10, static_cast<std::uint8_t>(I >> 16U), static_cast<std::uint8_t>(I >> 8U),
                     static_cast<std::uint8_t>(I)};
    Parts.Targets.push_back({target_id{I + 1}, service_id{1}, {Address, 6081}, 1.0, true, false});
  }
  const double Before = allocatedBytes();
  std::unique_ptr<forwarding_view> View;
  const double ViewSeconds =
      processorSecondsOf([&] { View = std::make_unique<forwarding_view>(Parts); });
  std::cout << json{{"part", "views"},
                    {"members", Members},
                    {"targets", Targets},
                    {"ownership_table_ms", BuildSeconds * 1e3},
                    {"view_ms", ViewSeconds * 1e3},
                    {"view_kb", (allocatedBytes() - Before) / 1e3}}
                   .dump()
            << std::endl;
}

/// Size of a configuration, and cost of a change of one target.
void measureConfiguration(std::size_t Services, std::size_t TargetsPerService) {
  constexpr std::size_t MaxPartBytes = 64 * 1024;
  const fleet_size Size{1, 7, Services, TargetsPerService};
  const configuration Before = makeConfiguration(Size);
  configuration After;
  const double ApplySeconds = processorSecondsOf([&] {
    const patch Patch{
        "p",
        0,
        {set_target_intent{Before.Services.back().Name, Before.Services.back().Targets.back().Name,
                           target_intent::Leaving}}};
    After = applyPatch(Before, Patch);
  });
  std::vector<std::string> Parts;
  const double SplitSeconds =
      processorSecondsOf([&] { Parts = splitConfiguration(Before, MaxPartBytes); });
  const double JoinSeconds = processorSecondsOf([&] { joinConfiguration(1, Parts); });
  const std::set<std::string> Known(Parts.begin(), Parts.end());
  std::size_t Total = 0;
  for (const std::string &Part : Parts)
    Total += Part.size();
  std::size_t Changed = 0;
  std::size_t ChangedBytes = 0;
  for (const std::string &Part : splitConfiguration(After, MaxPartBytes)) {
    if (Known.contains(Part))
      continue;
    ++Changed;
    ChangedBytes += Part.size();
  }
  std::cout << json{{"part", "configuration"},
                    {"services", Services},
                    {"targets", Services * TargetsPerService},
                    {"bytes", Total},
                    {"parts", Parts.size()},
                    {"changed_parts", Changed},
                    {"changed_bytes", ChangedBytes},
                    {"apply_ms", ApplySeconds * 1e3},
                    {"split_ms", SplitSeconds * 1e3},
                    {"join_ms", JoinSeconds * 1e3}}
                   .dump()
            << std::endl;
}

void run(std::string_view Part) {
  const bool All = Part.empty();
  if (All || Part == "records")
    for (const std::size_t Count : {10'000U, 100'000U, 1'000'000U})
      measureRecords(Count);
  if (All || Part == "views")
    for (const std::size_t Scale : {1U, 4U, 15U, 60U})
      measureViews(18 * Scale, 200 * Scale);
  if (All || Part == "configuration")
    for (const std::size_t Services : {15U, 150U, 1500U})
      measureConfiguration(Services, 8);
  if (All || Part == "control") {
    measureControl({18, 3, 2, 9});
    measureControl({70, 7, 55, 8});
    // Varies members and targets separately, to get a slope for each.
    measureControl({140, 7, 55, 8});
    measureControl({70, 7, 110, 8});
  }
}

} // namespace
} // namespace briarpoint::bench

int main(int Argc, char **Argv) {
  if (Argc == 6) {
    const auto Number = [Argv](int Index) { return std::stoul(Argv[Index]); };
    briarpoint::bench::measureControl({Number(2), Number(3), Number(4), Number(5)});
    return 0;
  }
  briarpoint::bench::run(Argc > 1 ? Argv[1] : "");
  return 0;
}
