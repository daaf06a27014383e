#ifndef BRIARPOINT_CORE_SYNC_CONFIG_LOADER_H
#define BRIARPOINT_CORE_SYNC_CONFIG_LOADER_H

#include "core/sync/config_head.h"
#include "core/sync/store_client.h"

#include <functional>
#include <memory>

namespace briarpoint {

/// Reads the manifest and the parts of the version that a head names, and joins them.
class config_loader : public std::enable_shared_from_this<config_loader> {
public:
  /// Called with null if an object is missing, unreadable or malformed.
  using callback = std::function<void(std::shared_ptr<const configuration>)>;

  /// \p Store must outlive the object.
  static void load(store_client &Store, const config_head &Head, callback Done);

private:
  config_loader(store_client &Store, config_version Version, callback Done);

  void handleManifest(const object_result &Result);
  void readPart(std::size_t Index);
  void finish();

  store_client &Store;
  config_version Version;
  callback Done;
  std::vector<std::string> Keys;
  std::vector<std::string> Parts;
};

} // namespace briarpoint

#endif // BRIARPOINT_CORE_SYNC_CONFIG_LOADER_H
