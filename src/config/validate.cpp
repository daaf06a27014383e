#include "config/validate.h"

#include "config/config_limits.h"
#include "config/enum_text.h"
#include "config/value_conversion.h"

#include <map>
#include <tuple>

namespace briarpoint {

namespace {

/// Collects findings, and the path at which each value that must be unique occurred first.
class configuration_check {
public:
  std::vector<finding> run(const configuration &Configuration) {
    for (std::size_t I = 0; I < Configuration.Services.size(); ++I)
      checkService(Configuration.Services[I], "services[" + std::to_string(I) + "]");
    return std::move(Findings);
  }

private:
  using listener = std::tuple<ip_address, std::uint16_t, transport>;

  void report(std::string Path, std::string Message) {
    Findings.push_back({"configuration", 0, 0, std::move(Path), std::move(Message)});
  }

  /// Reports \p Value if it is in \p Seen, and adds it otherwise.
  template <typename T>
  void checkUnique(std::map<T, std::string> &Seen, const T &Value, const std::string &Path) {
    const auto [First, Inserted] = Seen.emplace(Value, Path);
    if (!Inserted)
      report(Path, "is the same as " + First->second);
  }

  void checkName(const std::string &Name, const std::string &Path) {
    if (!isName(Name))
      report(Path, "must be a name of 1 to 64 characters of A-Z, a-z, 0-9, '.', '_' and '-'");
  }

  void checkEndpoint(const endpoint &Endpoint, const std::string &Path) {
    checkAddress(Endpoint.Address, Path);
    if (Endpoint.Port == 0)
      report(Path, "must have a port");
  }

  void checkAddress(const ip_address &Address, const std::string &Path) {
    if (Address.Bytes == decltype(Address.Bytes){})
      report(Path, "must not be the unspecified address");
  }

  void checkService(const service_config &Service, const std::string &Path) {
    checkName(Service.Name, Path + ".name");
    checkUnique(ServiceNames, Service.Name, Path + ".name");
    const auto Id = static_cast<std::uint32_t>(Service.Id);
    if (Id == 0 || Id > MaxServiceId)
      report(Path + ".id", "must be an integer from 1 to " + std::to_string(MaxServiceId));
    checkUnique(ServiceIds, Service.Id, Path + ".id");
    checkAddress(Service.Address, Path + ".address");
    checkPorts(Service, Path + ".ports");

    std::map<std::string, std::string> TargetNames;
    for (std::size_t I = 0; I < Service.Targets.size(); ++I) {
      const std::string TargetPath = Path + ".targets[" + std::to_string(I) + "]";
      checkTarget(Service.Targets[I], TargetPath);
      checkUnique(TargetNames, Service.Targets[I].Name, TargetPath + ".name");
    }
  }

  void checkPorts(const service_config &Service, const std::string &Path) {
    if (Service.Ports.empty() || Service.Ports.size() > MaxServicePorts)
      report(Path, "must have 1 to " + std::to_string(MaxServicePorts) + " elements");
    for (std::size_t I = 0; I < Service.Ports.size(); ++I) {
      const service_port &Port = Service.Ports[I];
      const std::string PortPath = Path + "[" + std::to_string(I) + "]";
      if (Port.Port == 0)
        report(PortPath + ".port", "must be an integer from 1 to 65535");
      checkUnique(Listeners, listener{Service.Address, Port.Port, Port.Protocol}, PortPath);
    }
  }

  void checkTarget(const target_config &Target, const std::string &Path) {
    checkName(Target.Name, Path + ".name");
    checkName(Target.DataCentre, Path + ".data_centre");
    checkEndpoint(Target.Tunnel, Path + ".tunnel");
    checkUnique(Tunnels, Target.Tunnel, Path + ".tunnel");
    checkEndpoint(Target.Health, Path + ".health");
    if (Target.Slots == 0 || Target.Slots > MaxTargetSlots)
      report(Path + ".slots", "must be an integer from 1 to " + std::to_string(MaxTargetSlots));
  }

  std::vector<finding> Findings;
  std::map<std::string, std::string> ServiceNames;
  std::map<service_id, std::string> ServiceIds;
  std::map<listener, std::string> Listeners;
  std::map<endpoint, std::string> Tunnels;
};

} // namespace

std::vector<finding> validate(const configuration &Configuration) {
  return configuration_check().run(Configuration);
}

} // namespace briarpoint
