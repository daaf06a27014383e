#ifndef BRIARPOINT_CORE_SYNC_CONFIG_LISTENER_H
#define BRIARPOINT_CORE_SYNC_CONFIG_LISTENER_H

#include "base/ids.h"
#include "config/configuration.h"
#include "net/endpoint.h"

#include <memory>

namespace briarpoint {

/// Receives the actions of config_controller.
class config_listener {
public:
  virtual ~config_listener() = default;

  /// Called when a higher version has come into force.
  virtual void configurationAdopted(const std::shared_ptr<const configuration> &Configuration) = 0;

  /// Fetches a configuration of at least \p Version from a balancer; the result goes to
  /// config_controller::handleConfiguration or handleFetchFailure.
  virtual void fetchFromPeer(member_id From, const endpoint &Rpc, config_version Version) = 0;
};

} // namespace briarpoint

#endif // BRIARPOINT_CORE_SYNC_CONFIG_LISTENER_H
