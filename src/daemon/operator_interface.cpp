#include "daemon/operator_interface.h"

#include "base/findings_error.h"
#include "config/config_json.h"

#include <nlohmann/json.hpp>
#include <openssl/crypto.h>

#include <charconv>

namespace briarpoint {

namespace {

http_response json(int Status, const std::string &Body) {
  return {Status, {{"Content-Type", "application/json"}}, Body};
}

http_response text(int Status, const std::string &Body) {
  return {Status, {{"Content-Type", "text/plain; version=0.0.4; charset=utf-8"}}, Body};
}

http_response configurationResponse(const configuration &Configuration) {
  http_response Response = json(200, toJson(Configuration));
  Response.Headers["Config-Version"] = std::to_string(Configuration.Version);
  return Response;
}

/// HTTP status and name of a patch status.
std::pair<int, const char *> responseStatus(patch_status Status) {
  switch (Status) {
  case patch_status::Accepted:
    return {200, "accepted"};
  case patch_status::Stale:
    return {412, "stale"};
  case patch_status::Invalid:
    return {422, "invalid"};
  case patch_status::Unavailable:
    return {503, "unavailable"};
  case patch_status::Unknown:
    break;
  }
  return {504, "unknown"};
}

http_response outcomeResponse(const patch_outcome &Outcome) {
  const auto [Status, Name] = responseStatus(Outcome.Status);
  nlohmann::json Findings = nlohmann::json::array();
  for (const finding &Finding : Outcome.Findings)
    Findings.push_back({{"source", Finding.Source},
                        {"line", Finding.Line},
                        {"column", Finding.Column},
                        {"path", Finding.Path},
                        {"message", Finding.Message}});
  // Messages may quote input that isn't valid UTF-8.
  return json(
      Status,
      nlohmann::json{{"status", Name}, {"version", Outcome.Version}, {"findings", Findings}}.dump(
          -1, ' ', false, nlohmann::json::error_handler_t::replace));
}

/// Checks a patch against the configuration in force without executing it.
patch_outcome checkPatch(const configuration &InForce, const patch &Patch) {
  if (Patch.Base != InForce.Version)
    return {patch_status::Stale, InForce.Version, {}};
  try {
    return {patch_status::Accepted, applyPatch(InForce, Patch).Version, {}};
  } catch (const findings_error &Error) {
    return {patch_status::Invalid, InForce.Version, Error.findings()};
  }
}

std::optional<config_version> parseVersion(const std::string &Text) {
  config_version Version = 0;
  const auto [End, Error] = std::from_chars(Text.data(), Text.data() + Text.size(), Version);
  if (Error != std::errc() || End != Text.data() + Text.size() || Text.empty())
    return std::nullopt;
  return Version;
}

constexpr std::string_view ConfigPrefix = "/v1/config/";

} // namespace

operator_interface::operator_interface(std::string Token, operator_backend &Backend)
    : Token(std::move(Token)), Backend(Backend) {}

void operator_interface::handle(const incoming_request &Request, const http_responder &Respond) {
  if (Request.Method == "GET" || Request.Method == "HEAD")
    handleGet(Request, Respond);
  else if (Request.Method == "POST")
    handlePost(Request, Respond);
  else
    refuse(Request, 405, "method not allowed", Respond);
}

void operator_interface::handleGet(const incoming_request &Request, const http_responder &Respond) {
  const std::string &Path = Request.Path;
  if (Path == "/v1/config") {
    Respond(configurationResponse(*Backend.inForce()));
  } else if (Path.starts_with(ConfigPrefix)) {
    readConfiguration(Path.substr(ConfigPrefix.size()), Respond);
  } else if (Path == "/v1/history") {
    Backend.readHistory([Respond](const std::optional<std::string> &History) {
      Respond(History ? json(200, *History) : json(503, R"({"error":"platform unreachable"})"));
    });
  } else if (Path == "/v1/status") {
    Respond(json(200, Backend.statusJson()));
  } else if (Path == "/v1/dump") {
    Backend.dumpJson([Respond](const std::string &Dump) { Respond(json(200, Dump)); });
  } else if (Path == "/healthz") {
    Respond(text(200, "ok\n"));
  } else if (Path == "/readyz") {
    Respond(Backend.isReady() ? text(200, "ready\n") : text(503, "not ready\n"));
  } else if (Path == "/metrics") {
    Respond(text(200, Backend.metricsText()));
  } else {
    refuse(Request, 404, "not found", Respond);
  }
}

void operator_interface::handlePost(const incoming_request &Request,
                                    const http_responder &Respond) {
  const bool IsPatch = Request.Path == "/v1/patches";
  if (!IsPatch && Request.Path != "/v1/leave") {
    refuse(Request, 404, "not found", Respond);
    return;
  }
  if (!isAuthorized(Request)) {
    refuse(Request, 401, "a valid bearer token is required", Respond);
    return;
  }
  if (IsPatch) {
    submitPatch(Request, Respond);
    return;
  }
  Backend.logWrite(Request.Path);
  Backend.leave();
  Respond(json(202, R"({"status":"leaving"})"));
}

bool operator_interface::isAuthorized(const incoming_request &Request) const {
  const auto Found = Request.Headers.find("authorization");
  if (Token.empty() || Found == Request.Headers.end())
    return false;
  const std::string Expected = "Bearer " + Token;
  const std::string &Actual = Found->second;
  // Compares in constant time, so that the duration doesn't reveal how many leading characters
  // match. The length isn't secret.
  return Actual.size() == Expected.size() &&
         CRYPTO_memcmp(Actual.data(), Expected.data(), Expected.size()) == 0;
}

void operator_interface::readConfiguration(const std::string &VersionText,
                                           const http_responder &Respond) {
  const std::optional<config_version> Version = parseVersion(VersionText);
  if (!Version) {
    Respond(json(400, R"({"error":"not a version number"})"));
    return;
  }
  const std::shared_ptr<const configuration> InForce = Backend.inForce();
  if (*Version == InForce->Version) {
    Respond(configurationResponse(*InForce));
    return;
  }
  Backend.readEarlierConfiguration(
      *Version, [Respond](const std::shared_ptr<const configuration> &Read) {
        Respond(Read ? configurationResponse(*Read) : json(404, R"({"error":"no such version"})"));
      });
}

void operator_interface::submitPatch(const incoming_request &Request,
                                     const http_responder &Respond) {
  patch Patch;
  try {
    Patch = parsePatchJson(Request.Body, "patch");
  } catch (const findings_error &Error) {
    Respond(outcomeResponse({patch_status::Invalid, Backend.inForce()->Version, Error.findings()}));
    return;
  }
  const auto DryRun = Request.Query.find("dry_run");
  if (DryRun != Request.Query.end() && DryRun->second == "1") {
    Respond(outcomeResponse(checkPatch(*Backend.inForce(), Patch)));
    return;
  }
  Backend.logWrite(Request.Path);
  Backend.submitPatch(
      Patch, [Respond](const patch_outcome &Outcome) { Respond(outcomeResponse(Outcome)); });
}

void operator_interface::refuse(const incoming_request &Request, int Status,
                                const std::string &Message, const http_responder &Respond) {
  Backend.logRefusedRequest(Request.Path, Status);
  Respond(json(Status, nlohmann::json{{"error", Message}}.dump()));
}

} // namespace briarpoint
