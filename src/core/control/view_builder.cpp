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
  const std::uint64_t TablesBefore = TablesBuilt;
  updateOwners(Members);
  forwarding_view_parts Parts;
  Parts.Version = Configuration.Version;
  Parts.Members = Members;
  Parts.AllReachable = AllReachable;
  addServices(Configuration, Targets, Parts);
  if (LastView != nullptr && TablesBuilt == TablesBefore && LastView->version() == Parts.Version &&
      LastView->allReachable() == AllReachable && LastView->members() == Parts.Members &&
      LastView->targets() == Parts.Targets && LastView->services() == Parts.Services)
    return nullptr;
  Parts.Owners = Owners;
  Parts.NextOwners = NextOwners;
  LastView = std::make_shared<const forwarding_view>(std::move(Parts));
  return LastView;
}

void view_builder::updateOwners(const std::vector<member_view> &Members) {
  // Collect the members and fields that the tables depend on.
  std::vector<member_view> Relevant;
  bool AnyJoining = false;
  for (const member_view &Member : Members) {
    if (Member.State != member_state::Ready && Member.State != member_state::Joining)
      continue;
    if (Scope == ownership_scope::DataCentre && Member.DataCentre != DataCentre)
      continue;
    AnyJoining |= Member.State == member_state::Joining;
    Relevant.push_back({Member.Id, Member.DataCentre, Member.Rack, {}, Member.State, false});
  }
  if (Relevant == TableMembers)
    return;
  TableMembers = std::move(Relevant);
  Owners = ownership_table::build(TableMembers, Scope, DataCentre, false);
  NextOwners = AnyJoining ? ownership_table::build(TableMembers, Scope, DataCentre, true) : Owners;
  ++TablesBuilt;
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
