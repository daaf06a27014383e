#include "measure/case_catalog.h"

namespace briarpoint::measure {

const std::vector<measure_case> &caseCatalog() {
  static const std::vector<measure_case> Cases = [] {
    std::vector<measure_case> All;
    addPlannedCases(All);
    addFaultCases(All);
    addLoadCases(All);
    addRequestCases(All);
    addConfigurationCases(All);
    return All;
  }();
  return Cases;
}

} // namespace briarpoint::measure
