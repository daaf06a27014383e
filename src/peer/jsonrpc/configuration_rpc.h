#ifndef BRIARPOINT_PEER_JSONRPC_CONFIGURATION_RPC_H
#define BRIARPOINT_PEER_JSONRPC_CONFIGURATION_RPC_H

// This header compiles as C++14 and as C++20: libjsonrpccpp 0.7.0 can't be included in C++17 or
// later, so none of its types appear here.

#include <cstdint>
#include <memory>
#include <stdexcept>
#include <string>
#include <vector>

namespace briarpoint {

/// Version of a configuration and the digests of its parts, in order.
struct configuration_manifest {
  std::uint64_t Version = 0;
  std::vector<std::string> Parts;
};

/// A call was malformed, its response was malformed, or the other balancer reported an error.
class rpc_error : public std::runtime_error {
public:
  using std::runtime_error::runtime_error;
};

/// Remote methods that a balancer offers to other balancers.
class configuration_rpc_methods {
public:
  virtual ~configuration_rpc_methods() = default;

  /// Returns the manifest of the configuration in force.
  /// \throws rpc_error if its version is below \p MinVersion.
  virtual configuration_manifest getManifest(std::uint64_t MinVersion) = 0;

  /// Returns the part with this digest.
  /// \throws rpc_error if there is none.
  virtual std::string getPart(const std::string &Digest) = 0;
};

/// Handles JSON-RPC 2.0 requests.
class configuration_rpc_server {
public:
  /// \p Methods must outlive the server.
  explicit configuration_rpc_server(configuration_rpc_methods &Methods);
  ~configuration_rpc_server();
  configuration_rpc_server(const configuration_rpc_server &) = delete;
  configuration_rpc_server &operator=(const configuration_rpc_server &) = delete;

  /// Returns the response to a request, which may be malformed.
  std::string handle(const std::string &Request);

private:
  struct state;
  std::unique_ptr<state> State;
};

/// Return the text of a JSON-RPC request.
std::string encodeManifestRequest(std::uint64_t MinVersion);
std::string encodePartRequest(const std::string &Digest);

/// Parse the response to such a request.
/// \throws rpc_error if it is malformed or reports an error.
configuration_manifest decodeManifestResponse(const std::string &Response);
std::string decodePartResponse(const std::string &Response);

} // namespace briarpoint

#endif // BRIARPOINT_PEER_JSONRPC_CONFIGURATION_RPC_H
