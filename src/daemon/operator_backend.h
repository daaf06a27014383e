#ifndef BRIARPOINT_DAEMON_OPERATOR_BACKEND_H
#define BRIARPOINT_DAEMON_OPERATOR_BACKEND_H

#include "config/configuration.h"
#include "config/patch.h"
#include "core/sync/patch_outcome.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace briarpoint {

/// Functions of the daemon that the operators' HTTP interface calls.
class operator_backend {
public:
  virtual ~operator_backend() = default;

  /// Configuration in force; never null.
  virtual std::shared_ptr<const configuration> inForce() const = 0;

  /// Reads an earlier configuration. \p Done gets null if it isn't kept.
  virtual void
  readEarlierConfiguration(config_version Version,
                           std::function<void(std::shared_ptr<const configuration>)> Done) = 0;

  /// Reads the accepted patches. \p Done gets a JSON text, or nothing if the platform can't be
  /// reached.
  virtual void readHistory(std::function<void(const std::optional<std::string> &)> Done) = 0;

  virtual void submitPatch(const patch &Patch, std::function<void(const patch_outcome &)> Done) = 0;

  /// JSON texts of the status and of the state dump.
  virtual std::string statusJson() = 0;
  virtual void dumpJson(std::function<void(const std::string &)> Done) = 0;

  /// Metrics in the text format of Prometheus.
  virtual std::string metricsText() = 0;

  /// Begins a graceful stop.
  virtual void leave() = 0;

  virtual bool isReady() const = 0;

  /// Log a refused request and a write.
  virtual void logRefusedRequest(const std::string &Path, int Status) = 0;
  virtual void logWrite(const std::string &Path) = 0;
};

} // namespace briarpoint

#endif // BRIARPOINT_DAEMON_OPERATOR_BACKEND_H
