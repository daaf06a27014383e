#include "forwarder/forwarder_settings.h"

#include "config/field_reader.h"
#include "config/toml_reader.h"

namespace briarpoint {

namespace {

using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint32_t MaxFlowsLimit = 10'000'000;
constexpr double MaxRateFactor = 1000;
constexpr double MaxBurst = 1e6;

void readListen(const document_value &Value, const std::string &Path, finding_collector &Findings,
                forwarder_settings &Out) {
  field_reader Reader(Value, Path, Findings);
  Reader.required("packets", Out.Packets);
  Reader.required("readiness", Out.Readiness);
  Reader.required("operator", Out.Operator);
  Reader.optional("peers", Out.Peers);
  if (Out.Packets.Address.IsV6)
    Reader.report("packets", "must be an IPv4 address, got " + toString(Out.Packets));
  if (Out.Operator.Port != 0 && Out.Operator == Out.Readiness)
    Reader.report("operator",
                  "must differ from listen.readiness, both are " + toString(Out.Operator));
}

void readWarmUp(const document_value &Value, const std::string &Path, finding_collector &Findings,
                warm_up_settings &Out) {
  field_reader Reader(Value, Path, Findings);
  Reader.optional("rate_factor", bounded<double>{Out.RateFactor, 0, MaxRateFactor});
  Reader.optional("burst", bounded<double>{Out.Burst, 0, MaxBurst});
}

} // namespace

std::vector<std::string> differingSettings(const forwarder_settings &A,
                                           const forwarder_settings &B) {
  const std::pair<const char *, bool> Settings[] = {
      {"name", A.Name != B.Name},
      {"data_centre", A.DataCentre != B.DataCentre},
      {"region", A.Region != B.Region},
      {"store", A.Store != B.Store},
      {"seeds", A.Seeds != B.Seeds},
      {"listen.packets", A.Packets != B.Packets},
      {"listen.readiness", A.Readiness != B.Readiness},
      {"listen.operator", A.Operator != B.Operator},
      {"listen.peers", A.Peers != B.Peers},
      {"shutdown_time", A.ShutdownTime != B.ShutdownTime},
      {"flow_lifetime", A.FlowLifetime != B.FlowLifetime},
      {"drain_time", A.DrainTime != B.DrainTime},
      {"configuration_time", A.ConfigurationTime != B.ConfigurationTime},
      {"evacuation_time", A.EvacuationTime != B.EvacuationTime},
      {"contact_time", A.ContactTime != B.ContactTime},
      {"history_time", A.HistoryTime != B.HistoryTime},
      {"warm_up", A.WarmUp != B.WarmUp},
      {"max_flows", A.MaxFlows != B.MaxFlows},
      {"log_level", A.LogLevel != B.LogLevel},
  };
  std::vector<std::string> Result;
  for (const auto &[Name, Differs] : Settings)
    if (Differs)
      Result.emplace_back(Name);
  return Result;
}

forwarder_settings parseForwarderSettings(std::string_view Text, const std::string &Source) {
  finding_collector Findings(Source);
  const document_value Document = readToml(Text, Source);
  forwarder_settings Result;
  field_reader Root(Document, "", Findings);
  Root.required("name", name_text{Result.Name});
  Root.required("data_centre", name_text{Result.DataCentre});
  Root.optional("region", name_text{Result.Region});
  Root.required("store", Result.Store);
  Root.optional("log_level", Result.LogLevel);
  Root.optionalElements("seeds", [&](const document_value &Value, const std::string &Path) {
    endpoint Seed;
    if (std::string Error = convertValue(Value, Seed); !Error.empty())
      Result.RefusedSeeds.push_back({Source, Value.Line, Value.Column, Path, std::move(Error)});
    else
      Result.Seeds.push_back(Seed);
  });
  Root.optional("shutdown_time",
                bounded<duration>{Result.ShutdownTime, milliseconds(100), hours(1)});
  Root.optional("flow_lifetime", bounded<duration>{Result.FlowLifetime, seconds(1), hours(168)});
  Root.optional("drain_time", bounded<duration>{Result.DrainTime, milliseconds(0), hours(1)});
  Root.optional("configuration_time",
                bounded<duration>{Result.ConfigurationTime, milliseconds(0), hours(1)});
  Root.optional("evacuation_time",
                bounded<duration>{Result.EvacuationTime, milliseconds(100), hours(1)});
  Root.optional("contact_time", bounded<duration>{Result.ContactTime, milliseconds(100), hours(1)});
  Root.optional("history_time",
                bounded<duration>{Result.HistoryTime, milliseconds(100), hours(168)});
  Root.optional("max_flows", bounded<std::uint32_t>{Result.MaxFlows, 100, MaxFlowsLimit});
  Root.requiredValue("listen", [&](const document_value &Value, const std::string &Path) {
    readListen(Value, Path, Findings, Result);
  });
  Root.optionalValue("warm_up", [&](const document_value &Value, const std::string &Path) {
    readWarmUp(Value, Path, Findings, Result.WarmUp);
  });
  Findings.throwIfAny();
  return Result;
}

} // namespace briarpoint
