#ifndef BRIARPOINT_DAEMON_CONFIGURATION_EXCHANGE_H
#define BRIARPOINT_DAEMON_CONFIGURATION_EXCHANGE_H

#include "config/configuration.h"
#include "daemon/control_counters.h"
#include "io/http_client.h"
#include "io/http_server.h"
#include "log/event_log.h"
#include "peer/http_signature.h"
#include "peer/jsonrpc/configuration_rpc.h"

#include <memory>
#include <unordered_map>

namespace briarpoint {

/// Offers the configuration in force to other balancers and fetches theirs, by JSON-RPC over HTTP.
/// Requests and responses are signed with the fabric's key.
class configuration_exchange final : private configuration_rpc_methods {
public:
  using shared_configuration = std::shared_ptr<const configuration>;
  /// The argument is null if the fetch failed.
  using callback = std::function<void(shared_configuration)>;

  /// Listens on \p Local. The references must outlive the object.
  /// \throws std::system_error if the address can't be bound.
  configuration_exchange(event_loop &Loop, const endpoint &Local, std::vector<std::string> Keys,
                         control_counters &Counters, event_log &Log);
  ~configuration_exchange() override;

  /// Replaces the offered configuration.
  void offer(const shared_configuration &Configuration);

  /// Fetches a configuration of at least \p MinVersion. Parts that the offered configuration has in
  /// common with it aren't fetched. \p Done is called once.
  void fetch(const endpoint &Rpc, config_version MinVersion, callback Done);

  void setKeys(std::vector<std::string> Keys) { Signature = http_signature(std::move(Keys)); }

  endpoint local() const { return Server.local(); }

private:
  struct fetch_state;

  configuration_manifest getManifest(std::uint64_t MinVersion) override;
  std::string getPart(const std::string &Digest) override;

  void serve(const incoming_request &Request, const http_responder &Respond);
  /// Sends a signed request. \p Done gets the body of the response, or nothing without a valid one.
  void call(const endpoint &Rpc, const std::string &Body,
            std::function<void(const std::optional<std::string> &)> Done);
  void fetchNextPart(const std::shared_ptr<fetch_state> &Fetch);
  void finish(const fetch_state &Fetch);
  void fail(const fetch_state &Fetch, const std::string &Reason);

  http_signature Signature;
  control_counters &Counters;
  event_log &Log;
  shared_configuration Offered;
  /// Digests of the parts of Offered, in the order of the manifest.
  std::vector<std::string> OfferedDigests;
  /// Parts of Offered by digest.
  std::unordered_map<std::string, std::string> OfferedParts;
  configuration_rpc_server Rpc{*this};
  http_client Client;
  http_server Server;
};

} // namespace briarpoint

#endif // BRIARPOINT_DAEMON_CONFIGURATION_EXCHANGE_H
