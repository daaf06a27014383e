#ifndef BRIARPOINT_CORE_CONTROL_VIEW_BUILDER_H
#define BRIARPOINT_CORE_CONTROL_VIEW_BUILDER_H

#include "core/target/target_controller.h"
#include "core/view/forwarding_view.h"

#include <memory>
#include <string>

namespace briarpoint {

/// Builds views for the data plane when their content has changed.
class view_builder {
public:
  view_builder(ownership_scope Scope, std::string DataCentre);

  /// Returns the view, or null if it would equal the previous one.
  std::shared_ptr<const forwarding_view> build(const configuration &Configuration,
                                               const std::vector<member_view> &Members,
                                               const target_controller &Targets, bool AllReachable);

  /// Number of times that the ownership tables were built.
  std::uint64_t tablesBuilt() const { return TablesBuilt; }

private:
  void updateOwners(const std::vector<member_view> &Members);
  static void addServices(const configuration &Configuration, const target_controller &Targets,
                          forwarding_view_parts &Parts);

  ownership_scope Scope;
  std::string DataCentre;
  /// Members that the tables were built from; fields that don't affect the tables are empty.
  std::vector<member_view> TableMembers;
  ownership_table Owners;
  ownership_table NextOwners;
  std::shared_ptr<const forwarding_view> LastView;
  std::uint64_t TablesBuilt = 0;
};

} // namespace briarpoint

#endif // BRIARPOINT_CORE_CONTROL_VIEW_BUILDER_H
