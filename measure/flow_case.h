#ifndef BRIARPOINT_MEASURE_FLOW_CASE_H
#define BRIARPOINT_MEASURE_FLOW_CASE_H

#include "measure/case_catalog.h"
#include "measure/scenario.h"

namespace briarpoint::measure {

/// A case that is run once for each deployment and scope.
struct flow_case {
  std::string Name;
  /// Changes the settings before the start; may be empty.
  std::function<void(variant &)> Prepare;
  /// Runs the case after the warm-up and adds its results to the report.
  std::function<void(scenario &, report &)> Run;
};

/// Adds a case for both deployments and both scopes.
void addFlowCase(std::vector<measure_case> &Cases, const flow_case &Case);

/// Adds a case for both deployments with one scope.
void addFlowCase(std::vector<measure_case> &Cases, const flow_case &Case, ownership_scope Scope);

} // namespace briarpoint::measure

#endif // BRIARPOINT_MEASURE_FLOW_CASE_H
