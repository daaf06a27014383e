#ifndef BRIARPOINT_MEASURE_CASE_CATALOG_H
#define BRIARPOINT_MEASURE_CASE_CATALOG_H

#include "measure/report.h"

#include <functional>
#include <string>
#include <vector>

namespace briarpoint::measure {

/// One measurement.
struct measure_case {
  std::string Name;
  /// Runs it with a seed and a scale (see variant::Scale).
  std::function<report(std::uint64_t, std::uint32_t)> Run;
};

/// Returns all cases in the order of the design page. Cases with flows exist for each deployment
/// and scope, as in "balance/shop/all".
const std::vector<measure_case> &caseCatalog();

/// Each adds the cases of one source file.
void addPlannedCases(std::vector<measure_case> &Cases);
void addFaultCases(std::vector<measure_case> &Cases);
void addLoadCases(std::vector<measure_case> &Cases);
void addRequestCases(std::vector<measure_case> &Cases);
void addConfigurationCases(std::vector<measure_case> &Cases);

} // namespace briarpoint::measure

#endif // BRIARPOINT_MEASURE_CASE_CATALOG_H
