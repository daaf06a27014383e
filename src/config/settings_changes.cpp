#include "config/settings.h"

#include "config/settings_fields.h"

namespace briarpoint {

std::vector<finding> findChangesRequiringRestart(const settings &Old, const settings &New,
                                                 const std::string &Source) {
  std::vector<finding> Findings;
  const auto Compare = [&](const std::string &Path, const auto &Before, const auto &After) {
    if (Before != After)
      Findings.push_back({Source, 0, 0, Path, "changed; takes effect at the next restart"});
  };
  Compare("name", Old.Name, New.Name);
  Compare("data_centre", Old.DataCentre, New.DataCentre);
  Compare("rack", Old.Rack, New.Rack);
  Compare("listen.data", Old.Data, New.Data);
  Compare("listen.control", Old.Control, New.Control);
  Compare("listen.rpc", Old.Rpc, New.Rpc);
  Compare("listen.operator", Old.Operator, New.Operator);
  Compare("fabric.name", Old.FabricName, New.FabricName);
  Compare("fabric.endpoint", Old.Fabric, New.Fabric);
  Compare("fabric.outer_sources", Old.OuterSources, New.OuterSources);
  Compare("fabric.scope", Old.ControlPlane.Scope, New.ControlPlane.Scope);
  Compare("platform", Old.Platform, New.Platform);
  Compare("configuration_file", Old.ConfigurationFile, New.ConfigurationFile);
  Compare("seeds", Old.ControlPlane.Seeds, New.ControlPlane.Seeds);
  Compare("limits.platform_timeout", Old.Limits.PlatformTimeout, New.Limits.PlatformTimeout);
  Compare("limits.platform_watch", Old.Limits.PlatformWatchTimeout,
          New.Limits.PlatformWatchTimeout);
  Compare("secrets.platform_token", Old.PlatformToken, New.PlatformToken);
  Compare("secrets.hash_seed", Old.DataPlane.HashSeed, New.DataPlane.HashSeed);
  visitDataPlaneFields([&](const char *Name, auto Member, auto /*Min*/, auto /*Max*/) {
    Compare(std::string("data_plane.") + Name, Old.DataPlane.*Member, New.DataPlane.*Member);
  });
  visitControlPlaneFields([&](const char *Name, auto Member, auto /*Min*/, auto /*Max*/) {
    Compare(std::string("control_plane.") + Name, Old.ControlPlane.*Member,
            New.ControlPlane.*Member);
  });
  return Findings;
}

} // namespace briarpoint
