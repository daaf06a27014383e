#include "core/sync/config_head.h"

#include "base/findings_error.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace briarpoint {

std::optional<config_version> config_head::findPatch(std::string_view Id) const {
  const auto Found = std::find_if(Patches.begin(), Patches.end(),
                                  [&](const accepted_patch &Patch) { return Patch.Id == Id; });
  return Found == Patches.end() ? std::nullopt : std::optional(Found->Version);
}

std::string toJson(const config_head &Head) {
  nlohmann::json Patches = nlohmann::json::array();
  for (const accepted_patch &Patch : Head.Patches)
    Patches.push_back({{"id", Patch.Id}, {"version", Patch.Version}});
  return nlohmann::json{
      {"version", Head.Version}, {"manifest", Head.Manifest}, {"patches", Patches}}
      .dump();
}

config_head parseConfigHead(std::string_view Text) {
  try {
    const nlohmann::json Json = nlohmann::json::parse(Text);
    config_head Head;
    Head.Version = Json.at("version").get<config_version>();
    Head.Manifest = Json.at("manifest").get<std::string>();
    for (const nlohmann::json &Patch : Json.at("patches"))
      Head.Patches.push_back(
          {Patch.at("id").get<std::string>(), Patch.at("version").get<config_version>()});
    return Head;
  } catch (const nlohmann::json::exception &Error) {
    throw findings_error({{HeadKey, 0, 0, "", Error.what()}});
  }
}

config_head nextHead(const config_head &Head, const std::string &PatchId,
                     const std::string &Manifest) {
  config_head Next = Head;
  ++Next.Version;
  Next.Manifest = Manifest;
  Next.Patches.push_back({PatchId, Next.Version});
  if (Next.Patches.size() > MaxHeadPatches)
    Next.Patches.erase(Next.Patches.begin());
  return Next;
}

} // namespace briarpoint
