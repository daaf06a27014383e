#ifndef BRIARPOINT_CORE_FILTER_ADMISSION_FACTORY_H
#define BRIARPOINT_CORE_FILTER_ADMISSION_FACTORY_H

#include "base/ids.h"
#include "request/admission_policy.h"

#include <functional>
#include <memory>

namespace briarpoint {

/// Creates the admission policy of a service. A null policy admits every flow setup.
using admission_factory = std::function<std::unique_ptr<admission_policy>(service_id)>;

} // namespace briarpoint

#endif // BRIARPOINT_CORE_FILTER_ADMISSION_FACTORY_H
