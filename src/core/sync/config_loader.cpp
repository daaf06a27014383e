#include "core/sync/config_loader.h"

#include "base/findings_error.h"
#include "config/configuration_parts.h"
#include "core/sync/config_manifest.h"

#include <utility>

namespace briarpoint {

config_loader::config_loader(store_client &Store, config_version Version, callback Done)
    : Store(Store), Version(Version), Done(std::move(Done)) {}

void config_loader::load(store_client &Store, const config_head &Head, callback Done) {
  if (Head.Version == 0) {
    Done(std::make_shared<const configuration>());
    return;
  }
  const std::shared_ptr<config_loader> Loader(
      new config_loader(Store, Head.Version, std::move(Done)));
  Store.get(Head.Manifest,
            [Loader](const object_result &Result) { Loader->handleManifest(Result); });
}

void config_loader::handleManifest(const object_result &Result) {
  if (Result.Status != object_status::Ok) {
    Done(nullptr);
    return;
  }
  try {
    config_manifest Manifest = parseConfigManifest(Result.Value);
    if (Manifest.Version != Version) {
      Done(nullptr);
      return;
    }
    Keys = std::move(Manifest.Parts);
  } catch (const findings_error &) {
    Done(nullptr);
    return;
  }
  readPart(0);
}

void config_loader::readPart(std::size_t Index) {
  if (Index == Keys.size()) {
    finish();
    return;
  }
  Store.get(Keys[Index], [Self = shared_from_this(), Index](const object_result &Result) {
    // A part whose content doesn't match its key was corrupted in transit.
    if (Result.Status != object_status::Ok || partKey(Result.Value) != Self->Keys[Index]) {
      Self->Done(nullptr);
      return;
    }
    Self->Parts.push_back(Result.Value);
    Self->readPart(Index + 1);
  });
}

void config_loader::finish() {
  std::shared_ptr<const configuration> Result;
  try {
    Result = std::make_shared<const configuration>(joinConfiguration(Version, Parts));
  } catch (const findings_error &) {
    Result = nullptr;
  }
  Done(Result);
}

} // namespace briarpoint
