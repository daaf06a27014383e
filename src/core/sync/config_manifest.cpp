#include "core/sync/config_manifest.h"

#include "base/findings_error.h"
#include "base/hash.h"

#include <nlohmann/json.hpp>

#include <cstdio>

namespace briarpoint {

namespace {

std::string digestOf(std::string_view Text) {
  // Two seeds give 128 bits. Parts come from operators, so only accidental collisions matter.
  char Buffer[33];
  std::snprintf(Buffer, sizeof Buffer, "%016llx%016llx",
                static_cast<unsigned long long>(hashBytes(Text, 1)),
                static_cast<unsigned long long>(hashBytes(Text, 2)));
  return Buffer;
}

} // namespace

std::string toJson(const config_manifest &Manifest) {
  return nlohmann::json{{"version", Manifest.Version}, {"parts", Manifest.Parts}}.dump();
}

config_manifest parseConfigManifest(std::string_view Text) {
  try {
    const nlohmann::json Json = nlohmann::json::parse(Text);
    return {Json.at("version").get<config_version>(),
            Json.at("parts").get<std::vector<std::string>>()};
  } catch (const nlohmann::json::exception &Error) {
    throw findings_error({{"manifest", 0, 0, "", Error.what()}});
  }
}

std::string partKey(std::string_view Part) { return "config/part/" + digestOf(Part); }

std::string manifestKey(const config_manifest &Manifest) {
  return "config/version/" + std::to_string(Manifest.Version) + "-" + digestOf(toJson(Manifest));
}

} // namespace briarpoint
