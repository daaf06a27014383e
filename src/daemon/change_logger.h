#ifndef BRIARPOINT_DAEMON_CHANGE_LOGGER_H
#define BRIARPOINT_DAEMON_CHANGE_LOGGER_H

#include "config/configuration.h"
#include "core/view/forwarding_view.h"
#include "log/event_log.h"

namespace briarpoint {

/// Logs the differences between two forwarding views.
class change_logger {
public:
  /// \p Log must outlive the object.
  explicit change_logger(event_log &Log) : Log(Log) {}

  void logChanges(const forwarding_view &Old, const forwarding_view &New,
                  const configuration &InForce);

private:
  void logMembers(const forwarding_view &Old, const forwarding_view &New);
  void logTargets(const forwarding_view &Old, const forwarding_view &New,
                  const configuration &InForce);

  event_log &Log;
};

} // namespace briarpoint

#endif // BRIARPOINT_DAEMON_CHANGE_LOGGER_H
