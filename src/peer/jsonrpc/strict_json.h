#ifndef BRIARPOINT_PEER_JSONRPC_STRICT_JSON_H
#define BRIARPOINT_PEER_JSONRPC_STRICT_JSON_H

#include <jsoncpp/json/value.h>

#include <string>

namespace briarpoint {

/// Parses a JSON object. libjsonrpccpp ends the process when jsoncpp throws inside it, so every
/// text from outside passes through this function first. \throws rpc_error if \p Text is malformed,
/// nested too deeply or not an object.
Json::Value parseStrictObject(const std::string &Text);

} // namespace briarpoint

#endif // BRIARPOINT_PEER_JSONRPC_STRICT_JSON_H
