#include "forward/route_table.h"

#include "base/random_source.h"

namespace briarpoint {

const std::string *active_route::chooseService(std::uint64_t Hash) const {
  auto Point = static_cast<std::uint64_t>((static_cast<uint128>(Hash) * TotalWeight) >> 64U);
  for (const route_service &Entry : Route.Services) {
    if (Point < Entry.Weight)
      return &Entry.Service;
    Point -= Entry.Weight;
  }
  return nullptr;
}

bool route_table::apply(const routing_configuration &Configuration, bool WrittenAgain) {
  if (Configuration.Version < Version || (Configuration.Version == Version && !WrittenAgain))
    return false;
  std::map<ipv4_endpoint, active_route> Next;
  for (const route &Route : Configuration.Routes) {
    active_route &Active = Next[Route.Address];
    Active.Route = Route;
    if (const auto Earlier = Routes.find(Route.Address); Earlier != Routes.end())
      Active.FlowServices = std::move(Earlier->second.FlowServices);
    for (const route_service &Entry : Route.Services) {
      Active.TotalWeight += Entry.Weight;
      Active.FlowServices.insert(Entry.Service);
    }
  }
  for (const refused_route &Refused : Configuration.RefusedRoutes)
    for (auto &[Address, Active] : Routes)
      if (!Refused.Name.empty() && Active.Route.Name == Refused.Name)
        Next.try_emplace(Address, std::move(Active));
  applyServices(Configuration);
  Complete = Configuration.RefusedRoutes.empty();
  InStore = true;
  Routes = std::move(Next);
  Priorities.clear();
  for (const auto &[Address, Active] : Routes)
    Priorities.insert(Active.Route.Priority);
  Version = Configuration.Version;
  IdleTimeout = Configuration.IdleTimeout;
  return true;
}

void route_table::applyServices(const routing_configuration &Configuration) {
  std::map<std::string, double> Next;
  for (const service_properties &Service : Configuration.Services)
    Next.insert_or_assign(Service.Name, Service.WarmUpPerSecond);
  for (const refused_service &Refused : Configuration.RefusedServices) {
    // An entry without a readable name may be that of any service that is missing.
    if (Refused.Name.empty())
      Next.insert(WarmUpRates.begin(), WarmUpRates.end());
    else if (const auto Earlier = WarmUpRates.find(Refused.Name); Earlier != WarmUpRates.end())
      Next.insert(*Earlier);
  }
  WarmUpRates = std::move(Next);
}

std::set<std::string> route_table::services() const {
  std::set<std::string> Result;
  for (const auto &[Address, Active] : Routes)
    Result.insert(Active.FlowServices.begin(), Active.FlowServices.end());
  return Result;
}

const active_route *route_table::find(const ipv4_endpoint &Address) const {
  const auto Found = Routes.find(Address);
  return Found == Routes.end() ? nullptr : &Found->second;
}

} // namespace briarpoint
