#include "peer/jsonrpc/configuration_rpc.h"

#include <gtest/gtest.h>

namespace briarpoint {
namespace {

/// Offers version 7 with two parts.
class two_parts : public configuration_rpc_methods {
public:
  configuration_manifest getManifest(std::uint64_t MinVersion) override {
    if (MinVersion > 7)
      throw rpc_error("version 7 is in force");
    return {7, {"aa", "bb"}};
  }
  std::string getPart(const std::string &Digest) override {
    if (Digest != "aa" && Digest != "bb")
      throw rpc_error("no such part");
    return "{\"part\":\"" + Digest + "\"}";
  }
};

class configuration_rpc_connected : public testing::Test {
protected:
  two_parts Methods;
  configuration_rpc_server Server{Methods};
};

// Guards against loss of content in encoding, dispatching or decoding.
TEST_F(configuration_rpc_connected, passesManifestAndParts) {
  const auto Manifest = decodeManifestResponse(Server.handle(encodeManifestRequest(7)));
  EXPECT_EQ(Manifest.Version, 7U);
  EXPECT_EQ(Manifest.Parts, (std::vector<std::string>{"aa", "bb"}));
  EXPECT_EQ(decodePartResponse(Server.handle(encodePartRequest("bb"))), "{\"part\":\"bb\"}");
}

// Guards against taking an error of a method for a result.
TEST_F(configuration_rpc_connected, reportsErrorsOfMethods) {
  EXPECT_THROW(decodeManifestResponse(Server.handle(encodeManifestRequest(8))), rpc_error);
  EXPECT_THROW(decodePartResponse(Server.handle(encodePartRequest("cc"))), rpc_error);
}

// Guards against malformed requests that end the process, because libjsonrpccpp converts values
// without checking their types.
TEST_F(configuration_rpc_connected, survivesMalformedRequests) {
  const char *const Faults[] = {
      "",
      "null",
      "[]",
      "{",
      "\xff\xfe",
      R"({"jsonrpc":"2.0","id":1,"method":"getPart","params":{"digest":"aa"}} trailing)",
      R"({"jsonrpc":"2.0","id":1,"method":17,"params":{}})",
      R"({"jsonrpc":"2.0","id":1,"method":"getPart","params":[]})",
      R"({"jsonrpc":"2.0","id":1,"method":"getPart","params":{"digest":5}})",
      R"({"jsonrpc":"2.0","id":1,"method":"getPart","params":{}})",
      R"({"jsonrpc":"2.0","id":1,"method":"getManifest","params":{"min_version":-1}})",
      R"({"jsonrpc":"2.0","id":1,"method":"getManifest","params":{"min_version":1e300}})",
      R"({"jsonrpc":"2.0","id":1,"method":"getManifest","params":{"min_version":"1"}})",
      R"({"jsonrpc":"1.0","id":1,"method":"getPart","params":{"digest":"aa"}})",
      R"({"jsonrpc":{},"id":1,"method":"getPart","params":{"digest":"aa"}})",
      R"({"jsonrpc":"2.0","id":{},"method":"getPart","params":{"digest":"aa"}})",
      R"({"jsonrpc":"2.0","id":1,"method":"unknown","params":{}})",
  };
  for (const char *Fault : Faults) {
    SCOPED_TRACE(Fault);
    EXPECT_THROW(decodePartResponse(Server.handle(Fault)), rpc_error);
  }
  const std::string Deep = std::string(100000, '[');
  EXPECT_THROW(decodePartResponse(Server.handle(Deep)), rpc_error);
}

// Guards against malformed responses of another balancer that end the process.
TEST_F(configuration_rpc_connected, survivesMalformedResponses) {
  const char *const Faults[] = {
      "",
      "[]",
      "7",
      "{}",
      R"({"jsonrpc":"2.0","id":1})",
      R"({"jsonrpc":"2.0","id":1,"result":7})",
      R"({"jsonrpc":"2.0","id":1,"result":{"version":-1,"parts":[]}})",
      R"({"jsonrpc":"2.0","id":1,"result":{"version":7,"parts":{}}})",
      R"({"jsonrpc":"2.0","id":1,"result":{"version":7,"parts":[1]}})",
      R"({"jsonrpc":"2.0","id":1,"error":7})",
      R"({"jsonrpc":"2.0","id":1,"error":{"code":"x","message":[]}})",
      R"({"jsonrpc":[],"id":1,"result":"x"})",
  };
  for (const char *Fault : Faults) {
    SCOPED_TRACE(Fault);
    EXPECT_THROW(decodeManifestResponse(Fault), rpc_error);
  }
  EXPECT_THROW(decodePartResponse(R"({"jsonrpc":"2.0","id":1,"result":{}})"), rpc_error);
}

} // namespace
} // namespace briarpoint
