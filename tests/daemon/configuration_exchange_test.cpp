#include "daemon/configuration_exchange.h"

#include "tests/daemon/control_support.h"

#include <gtest/gtest.h>
#include <spdlog/sinks/ostream_sink.h>

namespace briarpoint {
namespace {

const std::string Key = "test-fabric-key-of-at-least-32-bytes";

std::shared_ptr<const configuration> makeConfiguration(config_version Version) {
  auto Config = std::make_shared<configuration>();
  Config->Version = Version;
  for (std::uint32_t I = 1; I <= 2; ++I) {
    service_config Service;
    Service.Name = "service" + std::to_string(I);
    Service.Id = static_cast<service_id>(I);
    Service.Address = *parseIpAddress("203.0.113." + std::to_string(I));
    Service.Ports = {{80, transport::Tcp, request_class::Normal}};
    Config->Services.push_back(Service);
  }
  return Config;
}

/// Two exchanges on one loop; the first offers version 7.
class two_exchanges : public testing::Test {
protected:
  two_exchanges() { Offering.offer(makeConfiguration(7)); }

  /// Returns null if the fetch failed.
  std::shared_ptr<const configuration> fetch(const endpoint &From, config_version Version) {
    int Calls = 0;
    std::shared_ptr<const configuration> Result;
    Fetching.fetch(From, Version, [&](const std::shared_ptr<const configuration> &Fetched) {
      ++Calls;
      Result = Fetched;
    });
    while (Calls == 0)
      Loop.runOnce(true);
    EXPECT_EQ(Calls, 1);
    return Result;
  }

  event_loop Loop;
  manual_time_source Clock;
  std::ostringstream Text;
  event_log Log{std::make_shared<spdlog::logger>(
                    "test", std::make_shared<spdlog::sinks::ostream_sink_mt>(Text)),
                Clock};
  control_counters OfferingCounters;
  control_counters FetchingCounters;
  configuration_exchange Offering{Loop, testEndpoint(1, 7002), {Key}, OfferingCounters, Log};
  configuration_exchange Fetching{Loop, testEndpoint(2, 7002), {Key}, FetchingCounters, Log};
};

// Guards against a configuration that is altered by its transfer.
TEST_F(two_exchanges, fetchesConfigurations) {
  const auto Result = fetch(Offering.local(), 7);
  ASSERT_TRUE(Result);
  EXPECT_EQ(*Result, *makeConfiguration(7));
  EXPECT_GT(FetchingCounters.ReceivedBytes["configuration"], 0U);
}

// Guards against fetching parts that the offered configuration already contains.
TEST_F(two_exchanges, fetchesMissingPartsOnly) {
  fetch(Offering.local(), 7);
  const std::uint64_t FullFetchBytes = FetchingCounters.ReceivedBytes["configuration"];
  Fetching.offer(makeConfiguration(6));
  ASSERT_TRUE(fetch(Offering.local(), 7));
  const std::uint64_t PartialFetchBytes =
      FetchingCounters.ReceivedBytes["configuration"] - FullFetchBytes;
  EXPECT_LT(PartialFetchBytes, FullFetchBytes);
}

// Guards against accepting a version lower than requested.
TEST_F(two_exchanges, refusesLowerVersions) {
  EXPECT_FALSE(fetch(Offering.local(), 8));
  EXPECT_NE(Text.str().find("configuration_fetch_failed"), std::string::npos);
}

// Guards against requests and responses that are accepted under an unknown key, and against
// balancers that share a key but refuse each other.
TEST_F(two_exchanges, refusesOtherKeys) {
  Fetching.setKeys({"another-key-of-at-least-32-characters"});
  EXPECT_FALSE(fetch(Offering.local(), 7));
  EXPECT_EQ(OfferingCounters.Refused["rpc_authentication"], 1U);
  Offering.setKeys({Key, "another-key-of-at-least-32-characters"});
  EXPECT_FALSE(fetch(Offering.local(), 7)) << "the response is signed with the first key";
  Fetching.setKeys({"another-key-of-at-least-32-characters", Key});
  EXPECT_TRUE(fetch(Offering.local(), 7));
}

/// Returns a response with a body that the test chooses, signed like that of a balancer.
http_response signedResponse(const incoming_request &Request, const std::string &Body) {
  const auto Now = std::chrono::duration_cast<std::chrono::milliseconds>(
      std::chrono::system_clock::now().time_since_epoch());
  const std::string RequestSignature = Request.Headers.at("briarpoint-signature");
  return {200,
          {{http_signature::Header,
            http_signature({Key}).sign("response " + RequestSignature + "\n" + Body, Now)}},
          Body};
}

// Guards against accepting responses of a faulty or hostile balancer: each ends the fetch once,
// without a result, and the next fetch works.
TEST_F(two_exchanges, refusesBadResponses) {
  const std::string Manifest =
      R"({"jsonrpc":"2.0","id":1,"result":{"version":9,"parts":["config/part/00"]}})";
  struct fault {
    const char *Name;
    std::function<http_response(const incoming_request &)> Respond;
  };
  const fault Faults[] = {
      {"HTTP 500",
       [](const incoming_request &) {
         return http_response{500, {}, ""};
       }},
      {"unsigned",
       [&](const incoming_request &) {
         return http_response{200, {}, Manifest};
       }},
      {"signature of another response",
       [&](const incoming_request &Request) {
         http_response Response = signedResponse(Request, "{}");
         Response.Body = Manifest;
         return Response;
       }},
      {"no JSON", [](const incoming_request &Request) { return signedResponse(Request, "x"); }},
      {"part with another digest",
       [&](const incoming_request &Request) {
         const bool IsPart = Request.Body.find("getPart") != std::string::npos;
         return signedResponse(Request,
                               IsPart ? R"({"jsonrpc":"2.0","id":1,"result":"{}"})" : Manifest);
       }},
      {"part missing",
       [&](const incoming_request &Request) {
         const bool IsPart = Request.Body.find("getPart") != std::string::npos;
         return signedResponse(
             Request, IsPart ? R"({"jsonrpc":"2.0","id":1,"error":{"code":-32000,"message":"no"}})"
                             : Manifest);
       }},
      {"lower version than requested",
       [](const incoming_request &Request) {
         return signedResponse(Request,
                               R"({"jsonrpc":"2.0","id":1,"result":{"version":1,"parts":[]}})");
       }},
  };
  const fault *Current = nullptr;
  http_server Faulty(Loop, testEndpoint(3, 7002), {},
                     [&](const incoming_request &Request, const http_responder &Respond) {
                       Respond(Current->Respond(Request));
                     });
  for (const fault &Fault : Faults) {
    SCOPED_TRACE(Fault.Name);
    Current = &Fault;
    EXPECT_FALSE(fetch(Faulty.local(), 7));
  }
  EXPECT_FALSE(fetch(testEndpoint(4, 7002), 7)) << "no server listens there";
  EXPECT_TRUE(fetch(Offering.local(), 7));
}

} // namespace
} // namespace briarpoint
