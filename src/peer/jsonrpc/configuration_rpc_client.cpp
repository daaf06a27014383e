#include "peer/jsonrpc/configuration_rpc.h"
#include "peer/jsonrpc/strict_json.h"

#include <jsonrpccpp/client.h>

namespace briarpoint {

namespace {

/// Largest number of digests in a manifest. A configuration of the largest supported size has a few
/// hundred.
constexpr Json::ArrayIndex MaxParts = 10000;

/// libjsonrpccpp's client expects the response at once, but the transport here is asynchronous. So
/// each call is made twice: once to get the text of the request, and once to parse the response
/// after it was received. The request has a constant id.
class recording_connector : public jsonrpc::IClientConnector {
public:
  explicit recording_connector(std::string Response) : Response(std::move(Response)) {}

  void SendRPCMessage(const std::string &Message,
                      std::string &Result) throw(jsonrpc::JsonRpcException) override {
    Request = Message;
    Result = Response;
  }

  std::string Request;

private:
  std::string Response;
};

std::string encode(const std::string &Method, const Json::Value &Parameters) {
  recording_connector Connector(R"({"jsonrpc":"2.0","id":1,"result":null})");
  jsonrpc::Client Client(Connector);
  Client.CallMethod(Method, Parameters);
  return Connector.Request;
}

/// \throws rpc_error if \p Response is malformed or reports an error.
Json::Value decode(const std::string &Method, const std::string &Response) {
  const Json::Value Parsed = parseStrictObject(Response);
  // libjsonrpccpp converts these without checking their types.
  const Json::Value &Error = Parsed["error"];
  const bool ErrorUsable =
      Error.isNull() || (Error.isObject() && Error["code"].isInt() && Error["message"].isString());
  if (!Parsed["jsonrpc"].isString() || !ErrorUsable)
    throw rpc_error("malformed response: expected \"jsonrpc\" to be a string, and \"error\" to be "
                    "an object with a number \"code\" and a string \"message\"");
  recording_connector Connector(Response);
  jsonrpc::Client Client(Connector);
  try {
    return Client.CallMethod(Method, Json::Value(Json::objectValue));
  } catch (const jsonrpc::JsonRpcException &Exception) {
    throw rpc_error(Exception.what());
  }
}

} // namespace

std::string encodeManifestRequest(std::uint64_t MinVersion) {
  Json::Value Parameters;
  Parameters["min_version"] = static_cast<Json::UInt64>(MinVersion);
  return encode("getManifest", Parameters);
}

std::string encodePartRequest(const std::string &Digest) {
  Json::Value Parameters;
  Parameters["digest"] = Digest;
  return encode("getPart", Parameters);
}

configuration_manifest decodeManifestResponse(const std::string &Response) {
  const Json::Value Result = decode("getManifest", Response);
  if (!Result.isObject() || !Result["version"].isUInt64() || !Result["parts"].isArray() ||
      Result["parts"].size() > MaxParts)
    throw rpc_error(
        "malformed manifest: expected an unsigned \"version\" and an array \"parts\" of "
        "at most " +
        std::to_string(MaxParts) + " elements");
  configuration_manifest Manifest;
  Manifest.Version = Result["version"].asUInt64();
  for (const Json::Value &Part : Result["parts"]) {
    if (!Part.isString())
      throw rpc_error("malformed manifest: expected \"parts\" to contain strings only");
    Manifest.Parts.push_back(Part.asString());
  }
  return Manifest;
}

std::string decodePartResponse(const std::string &Response) {
  const Json::Value Result = decode("getPart", Response);
  if (!Result.isString())
    throw rpc_error("malformed part: expected a string");
  return Result.asString();
}

} // namespace briarpoint
