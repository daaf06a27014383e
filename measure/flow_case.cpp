#include "measure/flow_case.h"

namespace briarpoint::measure {

namespace {

report runCase(const flow_case &Case, const std::string &Name, const variant &Variant) {
  report Report(Name, Variant.SimulationSettings.Seed);
  scenario Scenario(Variant);
  const bool Started = Scenario.warmUp();
  Report.atLeast("started", Started ? 1 : 0, 1);
  if (Started)
    Case.Run(Scenario, Report);
  return Report;
}

} // namespace

void addFlowCase(std::vector<measure_case> &Cases, const flow_case &Case, ownership_scope Scope) {
  for (const deployment &Deployment : {shopNetwork(), storageFirm()}) {
    const std::string ScopeName = Scope == ownership_scope::All ? "all" : "data_centre";
    const std::string Name = Case.Name + "/" + Deployment.Name + "/" + ScopeName;
    Cases.push_back({Name, [=](std::uint64_t Seed, std::uint32_t Scale) {
                       variant Variant = makeVariant(Deployment, Scope, Seed, Scale);
                       if (Case.Prepare)
                         Case.Prepare(Variant);
                       return runCase(Case, Name, Variant);
                     }});
  }
}

void addFlowCase(std::vector<measure_case> &Cases, const flow_case &Case) {
  addFlowCase(Cases, Case, ownership_scope::DataCentre);
  addFlowCase(Cases, Case, ownership_scope::All);
}

} // namespace briarpoint::measure
