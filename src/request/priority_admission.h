#ifndef BRIARPOINT_REQUEST_PRIORITY_ADMISSION_H
#define BRIARPOINT_REQUEST_PRIORITY_ADMISSION_H

#include "base/random_source.h"
#include "request/admission_policy.h"
#include "request/priority_admission_settings.h"

#include <array>

namespace briarpoint {

/// Admission control of one service by priority class. While the targets refuse few requests, all
/// are admitted. Otherwise an admission level (share of the offered requests) falls with the
/// refusals and is distributed to the classes in order of importance. Each lower class keeps a
/// minimum share.
class priority_admission final : public admission_policy {
public:
  /// \p Random must outlive the object.
  priority_admission(const priority_admission_settings &Settings, random_source &Random);

  bool admit(request_class Class, instant Now) override;
  void recordOutcome(bool WasRefused, instant Now) override;

  /// The same as admit(), but returns the share of the class's requests that may go to a target,
  /// from 0 to 1, and leaves the choice to the caller.
  double offer(request_class Class, instant Now);
  /// Records numbers of outcomes and evaluates them at once, rather than at the end of the window.
  void recordOutcomes(double AcceptedCount, double RefusedCount, instant Now);
  /// Multiplies the level by \p Factor; it stays between MinLevel and 1.
  void scaleLevel(double Factor);
  /// Admits all requests from now on, until outcomes show an overload again.
  void admitAll();
  /// Returns the admitted share of each class.
  const std::array<double, RequestClassCount> &admitted() const { return Admission; }

  /// Returns the share of the offered requests that is admitted, from MinLevel to 1.
  double level() const { return Level; }

private:
  void closeWindow(instant Now);
  void adaptLevel();
  void allocate();

  priority_admission_settings Settings;
  random_source &Random;
  double Level = 1.0;
  instant WindowEnd{};
  /// Outcomes, decayed at the end of each window.
  double Accepted = 0.0;
  double Refused = 0.0;
  /// Offered requests per class, decayed at the end of each window, and their admitted share.
  std::array<double, RequestClassCount> Offered{};
  std::array<double, RequestClassCount> Admission{1.0, 1.0, 1.0};
};

} // namespace briarpoint

#endif // BRIARPOINT_REQUEST_PRIORITY_ADMISSION_H
