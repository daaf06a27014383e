#include "core/control/view_builder.h"

#include <algorithm>
#include <utility>

namespace briarpoint {

view_builder::view_builder(ownership_scope Scope, std::string DataCentre)
    : Scope(Scope), DataCentre(std::move(DataCentre)) {}

std::shared_ptr<const forwarding_view> view_builder::build(const configuration &Configuration,
                                                           const std::vector<member_view> &Members,
                                                           const target_controller &Targets,
                                                           bool AllReachable) {
  const std::uint64_t TablesBefore = Tables;
  updateOwners(Members);
  forwarding_view_parts Parts;
  Parts.Version = Configuration.Version;
  Parts.Members = Members;
  Parts.AllReachable = AllReachable;
  addServices(Configuration, Targets, Parts);
  if (Last != nullptr && Tables == TablesBefore && Last->version() == Parts.Version &&
      Last->allReachable() == AllReachable && Last->members() == Parts.Members &&
      Last->targets() == Parts.Targets && Last->services() == Parts.Services)
    return nullptr;
  Parts.Owners = Owners;
  Parts.NextOwners = NextOwners;
  Last = std::make_shared<const forwarding_view>(std::move(Parts));
  return Last;
}

void view_builder::updateOwners(const std::vector<member_view> &Members) {
  // Keep what the tables depend on.
  std::vector<member_view> Relevant;
  bool SomebodyJoins = false;
  for (const member_view &Member : Members) {
    if (Member.State != member_state::Ready && Member.State != member_state::Joining)
      continue;
    if (Scope == ownership_scope::DataCentre && Member.DataCentre != DataCentre)
      continue;
    SomebodyJoins |= Member.State == member_state::Joining;
    Relevant.push_back({Member.Id, Member.DataCentre, Member.Rack, {}, Member.State, false});
  }
  if (Relevant == Owning)
    return;
  Owning = std::move(Relevant);
  Owners = ownership_table::build(Owning, Scope, DataCentre, false);
  NextOwners = SomebodyJoins ? ownership_table::build(Owning, Scope, DataCentre, true) : Owners;
  ++Tables;
}

void view_builder::addServices(const configuration &Configuration, const target_controller &Targets,
                               forwarding_view_parts &Parts) {
  for (const service_config &Service : Configuration.Services) {
    service_view &View = Parts.Services.emplace_back();
    View.Id = Service.Id;
    View.Name = Service.Name;
    View.Address = Service.Address;
    View.Ports = Service.Ports;
    for (const target_config &Target : Service.Targets) {
      const target_id Id = makeTargetId(Service.Name, Target);
      const target_rating Rating = Targets.rating(Id);
      View.Targets.push_back(static_cast<std::uint32_t>(Parts.Targets.size()));
      Parts.Targets.push_back(
          {Id, Service.Id, Target.Tunnel, Rating.Weight, Rating.AcceptsNew, Rating.Dead});
    }
  }
}

} // namespace briarpoint
