#ifndef BRIARPOINT_FORWARD_OBJECT_FORMAT_H
#define BRIARPOINT_FORWARD_OBJECT_FORMAT_H

#include "forward/routing_configuration.h"
#include "forward/target_registration.h"
#include "store/object_api.h"
#include "store/object_parts.h"

#include <string>

namespace briarpoint {

/// Parses the objects that operators and targets write to the store.
class object_format {
public:
  virtual ~object_format() = default;

  /// Kind of the objects with which targets register.
  virtual std::string registrationKind() const = 0;
  /// Kind and name of the object that holds the configuration.
  virtual std::string configurationKind() const = 0;
  virtual std::string configurationName() const = 0;
  /// Kind of the objects with which operators evacuate data centres.
  virtual std::string evacuationKind() const = 0;

  /// What is read of the objects of each kind.
  virtual object_parts registrationParts() const = 0;
  virtual object_parts configurationParts() const = 0;
  virtual object_parts evacuationParts() const = 0;

  /// \throws findings_error with all faults of the object.
  virtual target_registration parseRegistration(const stored_object &Object) const = 0;
  /// Routes and services that can't be read are listed as refused.
  /// \throws findings_error with the faults of the version and the list of routes.
  virtual routing_configuration parseConfiguration(const stored_object &Object) const = 0;
  /// Returns the data centre that the object evacuates.
  /// \throws findings_error if the object has no readable name.
  virtual std::string parseEvacuation(const stored_object &Object) const = 0;
};

} // namespace briarpoint

#endif // BRIARPOINT_FORWARD_OBJECT_FORMAT_H
