#ifndef BRIARPOINT_CORE_FILTER_ADMISSION_TABLE_H
#define BRIARPOINT_CORE_FILTER_ADMISSION_TABLE_H

#include "core/filter/admission_factory.h"

#include <unordered_map>

namespace briarpoint {

/// Admission policies by service; each is created at its first use.
class admission_table {
public:
  /// Without a factory every flow setup is admitted.
  explicit admission_table(admission_factory Factory) : Factory(std::move(Factory)) {}

  bool admit(service_id Service, request_class Class, instant Now) {
    admission_policy *Policy = policy(Service);
    return Policy == nullptr || Policy->admit(Class, Now);
  }

  void recordOutcome(service_id Service, bool Refused, instant Now) {
    if (admission_policy *Policy = policy(Service))
      Policy->recordOutcome(Refused, Now);
  }

private:
  admission_policy *policy(service_id Service) {
    if (!Factory)
      return nullptr;
    const auto Found = Policies.find(Service);
    if (Found != Policies.end())
      return Found->second.get();
    return Policies.emplace(Service, Factory(Service)).first->second.get();
  }

  admission_factory Factory;
  std::unordered_map<service_id, std::unique_ptr<admission_policy>> Policies;
};

} // namespace briarpoint

#endif // BRIARPOINT_CORE_FILTER_ADMISSION_TABLE_H
