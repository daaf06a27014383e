#include "peer/jsonrpc/strict_json.h"

#include "peer/jsonrpc/configuration_rpc.h"

#include <jsoncpp/json/reader.h>

namespace briarpoint {

namespace {

/// Deepest accepted nesting. Well-formed requests and responses have at most 3 levels.
constexpr int MaxDepth = 8;

} // namespace

Json::Value parseStrictObject(const std::string &Text) {
  Json::CharReaderBuilder Builder;
  Json::CharReaderBuilder::strictMode(&Builder.settings_);
  Builder["stackLimit"] = MaxDepth;
  Json::Value Root;
  std::string Errors;
  try {
    const std::unique_ptr<Json::CharReader> Reader(Builder.newCharReader());
    if (!Reader->parse(Text.data(), Text.data() + Text.size(), &Root, &Errors))
      throw rpc_error("malformed JSON: " + Errors);
  } catch (const Json::Exception &Error) {
    throw rpc_error(std::string("malformed JSON: ") + Error.what());
  }
  if (!Root.isObject())
    throw rpc_error("malformed JSON: not an object");
  return Root;
}

} // namespace briarpoint
