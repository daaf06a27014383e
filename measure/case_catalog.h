#ifndef BRIARPOINT_MEASURE_CASE_CATALOG_H
#define BRIARPOINT_MEASURE_CASE_CATALOG_H

#include "measure/report.h"

#include <functional>
#include <string>
#include <vector>

namespace briarpoint::measure {

/// A case that runs a simulation and checks its figures against bounds.
struct measure_case {
  std::string Name;
  /// Runs the case with a seed and a scale (see variant::Scale).
  std::function<report(std::uint64_t, std::uint32_t)> Run;
};

/// Returns all cases in the order of the design page. Cases with flows exist for each deployment
/// and scope, for example "balance/shop/all".
const std::vector<measure_case> &caseCatalog();

/// Each function adds the cases of one source file.
void addPlannedCases(std::vector<measure_case> &Cases);
void addFaultCases(std::vector<measure_case> &Cases);
void addLoadCases(std::vector<measure_case> &Cases);
void addRequestCases(std::vector<measure_case> &Cases);
void addConfigurationCases(std::vector<measure_case> &Cases);

} // namespace briarpoint::measure

#endif // BRIARPOINT_MEASURE_CASE_CATALOG_H
