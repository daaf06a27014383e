#ifndef BRIARPOINT_PEER_JSONRPC_STRICT_JSON_H
#define BRIARPOINT_PEER_JSONRPC_STRICT_JSON_H

#include <jsoncpp/json/value.h>

#include <string>

namespace briarpoint {

/// Parses a JSON object. An exception of jsoncpp within libjsonrpccpp ends the process, so every
/// received text must be checked by this function before libjsonrpccpp parses it.
/// \throws rpc_error if \p Text is malformed, nested too deeply or not an object.
Json::Value parseStrictObject(const std::string &Text);

} // namespace briarpoint

#endif // BRIARPOINT_PEER_JSONRPC_STRICT_JSON_H
