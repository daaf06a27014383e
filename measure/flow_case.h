#ifndef BRIARPOINT_MEASURE_FLOW_CASE_H
#define BRIARPOINT_MEASURE_FLOW_CASE_H

#include "measure/case_catalog.h"
#include "measure/scenario.h"

namespace briarpoint::measure {

/// A case that runs on flows, once for each deployment and scope.
struct flow_case {
  std::string Name;
  /// Changes the load before the start; may be empty.
  std::function<void(variant &)> Prepare;
  /// Runs the case after the warm-up and reports.
  std::function<void(scenario &, report &)> Run;
};

/// Adds the four variants of a case.
void addFlowCase(std::vector<measure_case> &Cases, const flow_case &Case);

/// Adds the variants of one scope only.
void addFlowCase(std::vector<measure_case> &Cases, const flow_case &Case, ownership_scope Scope);

} // namespace briarpoint::measure

#endif // BRIARPOINT_MEASURE_FLOW_CASE_H
