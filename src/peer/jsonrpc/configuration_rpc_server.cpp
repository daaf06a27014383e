#include "peer/jsonrpc/configuration_rpc.h"
#include "peer/jsonrpc/strict_json.h"

#include <jsonrpccpp/server.h>

namespace briarpoint {

namespace {

/// JSON-RPC error code for a version or part that this balancer doesn't have, from the range for
/// codes that a server defines itself.
constexpr int NotAvailable = -32000;

/// Connector without a transport: keeps the response for handle().
class memory_connector : public jsonrpc::AbstractServerConnector {
public:
  bool StartListening() override { return true; }
  bool StopListening() override { return true; }
  bool SendResponse(const std::string &Response, void *) override {
    LastResponse = Response;
    return true;
  }

  std::string LastResponse;
};

/// Binds the methods to their names.
class dispatcher : public jsonrpc::AbstractServer<dispatcher> {
public:
  dispatcher(memory_connector &Connector, configuration_rpc_methods &Methods)
      : AbstractServer(Connector), Methods(Methods) {
    bindAndAddMethod(jsonrpc::Procedure("getManifest", jsonrpc::PARAMS_BY_NAME,
                                        jsonrpc::JSON_OBJECT, "min_version", jsonrpc::JSON_INTEGER,
                                        nullptr),
                     &dispatcher::getManifest);
    bindAndAddMethod(jsonrpc::Procedure("getPart", jsonrpc::PARAMS_BY_NAME, jsonrpc::JSON_STRING,
                                        "digest", jsonrpc::JSON_STRING, nullptr),
                     &dispatcher::getPart);
  }

private:
  void getManifest(const Json::Value &Parameters, Json::Value &Result) {
    if (!Parameters["min_version"].isUInt64())
      throw jsonrpc::JsonRpcException(jsonrpc::Errors::ERROR_RPC_INVALID_PARAMS);
    try {
      const configuration_manifest Manifest =
          Methods.getManifest(Parameters["min_version"].asUInt64());
      Result["version"] = static_cast<Json::UInt64>(Manifest.Version);
      Result["parts"] = Json::Value(Json::arrayValue);
      for (const std::string &Part : Manifest.Parts)
        Result["parts"].append(Part);
    } catch (const rpc_error &Error) {
      throw jsonrpc::JsonRpcException(NotAvailable, Error.what());
    }
  }

  void getPart(const Json::Value &Parameters, Json::Value &Result) {
    try {
      Result = Methods.getPart(Parameters["digest"].asString());
    } catch (const rpc_error &Error) {
      throw jsonrpc::JsonRpcException(NotAvailable, Error.what());
    }
  }

  configuration_rpc_methods &Methods;
};

std::string errorResponse(int Code, const std::string &Message) {
  Json::Value Response;
  Response["jsonrpc"] = "2.0";
  Response["id"] = Json::Value();
  Response["error"]["code"] = Code;
  Response["error"]["message"] = Message;
  return Response.toStyledString();
}

} // namespace

struct configuration_rpc_server::state {
  explicit state(configuration_rpc_methods &Methods) : Dispatcher(Connector, Methods) {}

  memory_connector Connector;
  dispatcher Dispatcher;
};

configuration_rpc_server::configuration_rpc_server(configuration_rpc_methods &Methods)
    : State(new state(Methods)) {}

configuration_rpc_server::~configuration_rpc_server() = default;

std::string configuration_rpc_server::handle(const std::string &Request) {
  try {
    const Json::Value Parsed = parseStrictObject(Request);
    // libjsonrpccpp converts these without checking their types.
    if (!Parsed["method"].isString() || !Parsed["jsonrpc"].isString() ||
        !Parsed["params"].isObject() || !Parsed["id"].isInt())
      return errorResponse(jsonrpc::Errors::ERROR_RPC_INVALID_REQUEST, "invalid request");
  } catch (const rpc_error &Error) {
    return errorResponse(jsonrpc::Errors::ERROR_RPC_JSON_PARSE_ERROR, Error.what());
  }
  State->Connector.LastResponse.clear();
  State->Connector.OnRequest(Request);
  return State->Connector.LastResponse;
}

} // namespace briarpoint
