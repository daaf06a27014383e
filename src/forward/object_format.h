#ifndef BRIARPOINT_FORWARD_OBJECT_FORMAT_H
#define BRIARPOINT_FORWARD_OBJECT_FORMAT_H

#include "forward/routing_configuration.h"
#include "forward/target_registration.h"
#include "store/object_api.h"

#include <string>

namespace briarpoint {

/// Reads the objects that operators and targets keep in the store.
class object_format {
public:
  virtual ~object_format() = default;

  /// Kinds of the objects of targets and of the configuration, and the name of the latter.
  virtual std::string registrationKind() const = 0;
  virtual std::string configurationKind() const = 0;
  virtual std::string configurationName() const = 0;

  /// \throws findings_error with everything that is wrong with the object.
  virtual target_registration parseRegistration(const stored_object &Object) const = 0;
  virtual routing_configuration parseConfiguration(const stored_object &Object) const = 0;
};

} // namespace briarpoint

#endif // BRIARPOINT_FORWARD_OBJECT_FORMAT_H
