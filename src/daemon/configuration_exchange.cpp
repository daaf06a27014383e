#include "daemon/configuration_exchange.h"

#include "base/findings_error.h"
#include "config/configuration_parts.h"
#include "core/sync/config_manifest.h"
#include "core/sync/object_store.h"

#include <algorithm>
#include <cctype>

namespace briarpoint {

/// A fetch in progress.
struct configuration_exchange::fetch_state {
  endpoint From;
  config_version MinVersion = 0;
  callback Done;
  configuration_manifest Manifest;
  std::vector<std::string> Parts;
};

namespace {

constexpr const char *RpcPath = "/rpc";
/// Per call. A fetch makes one call for the manifest and one for each missing part.
constexpr duration CallTimeout = std::chrono::seconds(2);
/// Bytes. JSON escapes may double the size of a part in its response.
constexpr std::size_t MaxRpcResponseSize = 2 * MaxObjectSize + 10'000;

std::chrono::milliseconds wallClock() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
      std::chrono::system_clock::now().time_since_epoch());
}

http_limits serverLimits() {
  http_limits Limits;
  // A request contains only one version or one digest.
  Limits.MaxBodySize = 10'000;
  Limits.MaxConnections = 256;
  Limits.RequestTimeout = std::chrono::seconds(5);
  return Limits;
}

/// Text that the signature of a response covers. It contains the request's signature, so that the
/// response to one request isn't accepted for another one.
std::string responseText(const std::string &RequestSignature, const std::string &Body) {
  return "response " + RequestSignature + "\n" + Body;
}

std::string requestText(const std::string &Body) { return "request\n" + Body; }

std::string findHeader(const std::map<std::string, std::string> &Headers, std::string_view Name) {
  for (const auto &[Key, Value] : Headers)
    if (std::equal(Key.begin(), Key.end(), Name.begin(), Name.end(),
                   [](char A, char B) { return std::tolower(A) == std::tolower(B); }))
      return Value;
  return "";
}

} // namespace

configuration_exchange::configuration_exchange(event_loop &Loop, const endpoint &Local,
                                               std::vector<std::string> Keys,
                                               control_counters &Counters, event_log &Log)
    : Signature(std::move(Keys)), Counters(Counters), Log(Log),
      Offered(std::make_shared<const configuration>()), Client(Loop),
      Server(Loop, Local, serverLimits(),
             [this](const incoming_request &Request, const http_responder &Respond) {
               serve(Request, Respond);
             }) {}

configuration_exchange::~configuration_exchange() = default;

void configuration_exchange::offer(const shared_configuration &Configuration) {
  Offered = Configuration;
  OfferedDigests.clear();
  OfferedParts.clear();
  for (std::string &Part : splitConfiguration(*Configuration, MaxObjectSize)) {
    OfferedDigests.push_back(partKey(Part));
    OfferedParts.emplace(OfferedDigests.back(), std::move(Part));
  }
}

configuration_manifest configuration_exchange::getManifest(std::uint64_t MinVersion) {
  if (Offered->Version < MinVersion)
    throw rpc_error("version " + std::to_string(Offered->Version) + " is in force");
  return {Offered->Version, OfferedDigests};
}

std::string configuration_exchange::getPart(const std::string &Digest) {
  const auto Found = OfferedParts.find(Digest);
  if (Found == OfferedParts.end())
    throw rpc_error("no such part");
  return Found->second;
}

void configuration_exchange::serve(const incoming_request &Request, const http_responder &Respond) {
  const std::string RequestSignature = findHeader(Request.Headers, http_signature::Header);
  if (Request.Method != "POST" || Request.Path != RpcPath ||
      !Signature.verify(requestText(Request.Body), RequestSignature, wallClock())) {
    ++Counters.Refused["rpc_authentication"];
    Log.write(log_event::RpcRequestRefused, {{"path", Request.Path}});
    Respond({403, {}, ""});
    return;
  }
  Counters.ReceivedBytes["configuration"] += Request.Body.size();
  http_response Response;
  Response.Body = Rpc.handle(Request.Body);
  Response.Headers["Content-Type"] = "application/json";
  Response.Headers[http_signature::Header] =
      Signature.sign(responseText(RequestSignature, Response.Body), wallClock());
  Counters.SentBytes["configuration"] += wireSize(Response);
  Respond(Response);
}

void configuration_exchange::call(const endpoint &Rpc, const std::string &Body,
                                  std::function<void(const std::optional<std::string> &)> Done) {
  outgoing_request Request;
  Request.Server = Rpc;
  Request.Method = "POST";
  Request.Target = RpcPath;
  Request.Body = Body;
  Request.Limit = CallTimeout;
  Request.MaxResponseSize = MaxRpcResponseSize;
  const std::string RequestSignature = Signature.sign(requestText(Body), wallClock());
  Request.Headers = {{"Content-Type", "application/json"},
                     {http_signature::Header, RequestSignature}};
  Counters.SentBytes["configuration"] += wireSize(Request);
  Client.send(Request, [this, RequestSignature,
                        Done = std::move(Done)](const std::optional<http_response> &Response) {
    if (Response)
      Counters.ReceivedBytes["configuration"] += wireSize(*Response);
    const bool Valid =
        Response && Response->Status == 200 &&
        Signature.verify(responseText(RequestSignature, Response->Body),
                         findHeader(Response->Headers, http_signature::Header), wallClock());
    Done(Valid ? std::optional(Response->Body) : std::nullopt);
  });
}

void configuration_exchange::fetch(const endpoint &Rpc, config_version MinVersion, callback Done) {
  const auto Fetch = std::make_shared<fetch_state>();
  Fetch->From = Rpc;
  Fetch->MinVersion = MinVersion;
  Fetch->Done = std::move(Done);
  call(Rpc, encodeManifestRequest(MinVersion),
       [this, Fetch](const std::optional<std::string> &Response) {
         if (!Response)
           return fail(*Fetch, "no valid response to the request for the manifest");
         try {
           Fetch->Manifest = decodeManifestResponse(*Response);
         } catch (const rpc_error &Error) {
           return fail(*Fetch, Error.what());
         }
         if (Fetch->Manifest.Version < Fetch->MinVersion)
           return fail(*Fetch, "got version " + std::to_string(Fetch->Manifest.Version) +
                                   ", requested at least " + std::to_string(Fetch->MinVersion));
         fetchNextPart(Fetch);
       });
}

void configuration_exchange::fetchNextPart(const std::shared_ptr<fetch_state> &Fetch) {
  const std::vector<std::string> &Digests = Fetch->Manifest.Parts;
  // Reuses the parts that the offered configuration contains.
  while (Fetch->Parts.size() < Digests.size()) {
    const auto LocalPart = OfferedParts.find(Digests[Fetch->Parts.size()]);
    if (LocalPart == OfferedParts.end())
      break;
    Fetch->Parts.push_back(LocalPart->second);
  }
  if (Fetch->Parts.size() == Digests.size())
    return finish(*Fetch);
  const std::string Digest = Digests[Fetch->Parts.size()];
  call(Fetch->From, encodePartRequest(Digest),
       [this, Fetch, Digest](const std::optional<std::string> &Response) {
         if (!Response)
           return fail(*Fetch, "no valid response to the request for part " +
                                   std::to_string(Fetch->Parts.size() + 1) + " of " +
                                   std::to_string(Fetch->Manifest.Parts.size()));
         try {
           Fetch->Parts.push_back(decodePartResponse(*Response));
         } catch (const rpc_error &Error) {
           return fail(*Fetch, Error.what());
         }
         if (partKey(Fetch->Parts.back()) != Digest)
           return fail(*Fetch, "part " + std::to_string(Fetch->Parts.size()) + " of " +
                                   std::to_string(Fetch->Manifest.Parts.size()) +
                                   " does not match its digest");
         fetchNextPart(Fetch);
       });
}

void configuration_exchange::finish(const fetch_state &Fetch) {
  shared_configuration Result;
  try {
    Result = std::make_shared<const configuration>(
        joinConfiguration(Fetch.Manifest.Version, Fetch.Parts));
  } catch (const findings_error &Error) {
    return fail(Fetch, Error.what());
  }
  Fetch.Done(Result);
}

void configuration_exchange::fail(const fetch_state &Fetch, const std::string &Reason) {
  Log.write(log_event::ConfigurationFetchFailed, {{"from", toString(Fetch.From)},
                                                  {"version", std::to_string(Fetch.MinVersion)},
                                                  {"reason", Reason}});
  Fetch.Done(nullptr);
}

} // namespace briarpoint
