// Test double of the configuration functions until their implementation is merged. A part is a
// number that stands for a service; equal services have equal numbers.
#include "base/findings_error.h"
#include "config/configuration_parts.h"
#include "config/patch.h"

#include <algorithm>

namespace briarpoint {

namespace {

std::vector<service_config> &registry() {
  static std::vector<service_config> Services;
  return Services;
}

template <typename Item> auto findByName(std::vector<Item> &Items, const std::string &Name) {
  return std::find_if(Items.begin(), Items.end(), [&](const Item &I) { return I.Name == Name; });
}

[[noreturn]] void fail(const std::string &Message) {
  throw findings_error({{"patch", 0, 0, "operations", Message}});
}

service_config &serviceNamed(configuration &Configuration, const std::string &Name) {
  const auto Found = findByName(Configuration.Services, Name);
  if (Found == Configuration.Services.end())
    fail("no service " + Name);
  return *Found;
}

struct apply_operation {
  configuration &Result;

  void operator()(const put_service &Operation) const {
    const auto Found = findByName(Result.Services, Operation.Service.Name);
    if (Found == Result.Services.end())
      Result.Services.push_back(Operation.Service);
    else
      *Found = Operation.Service;
  }
  void operator()(const remove_service &Operation) const {
    Result.Services.erase(Result.Services.begin() +
                          (&serviceNamed(Result, Operation.Service) - Result.Services.data()));
  }
  void operator()(const put_target &Operation) const {
    std::vector<target_config> &Targets = serviceNamed(Result, Operation.Service).Targets;
    const auto Found = findByName(Targets, Operation.Target.Name);
    if (Found == Targets.end())
      Targets.push_back(Operation.Target);
    else
      *Found = Operation.Target;
  }
  void operator()(const remove_target &Operation) const {
    std::erase_if(serviceNamed(Result, Operation.Service).Targets,
                  [&](const target_config &Target) { return Target.Name == Operation.Target; });
  }
  void operator()(const set_target_intent &Operation) const {
    std::vector<target_config> &Targets = serviceNamed(Result, Operation.Service).Targets;
    const auto Found = findByName(Targets, Operation.Target);
    if (Found == Targets.end())
      fail("no target " + Operation.Target);
    Found->Intent = Operation.Intent;
  }
};

} // namespace

configuration applyPatch(const configuration &Base, const patch &Patch) {
  if (Patch.Base != Base.Version)
    fail("wrong base version");
  configuration Result = Base;
  for (const patch_operation &Operation : Patch.Operations)
    std::visit(apply_operation{Result}, Operation);
  ++Result.Version;
  return Result;
}

std::vector<std::string> splitConfiguration(const configuration &Configuration, std::size_t) {
  std::vector<std::string> Parts;
  for (const service_config &Service : Configuration.Services) {
    auto Found = std::find(registry().begin(), registry().end(), Service);
    if (Found == registry().end())
      Found = registry().insert(registry().end(), Service);
    Parts.push_back("service " + std::to_string(Found - registry().begin()));
  }
  return Parts;
}

configuration joinConfiguration(config_version Version, const std::vector<std::string> &Parts) {
  configuration Result;
  Result.Version = Version;
  for (const std::string &Part : Parts) {
    if (Part.rfind("service ", 0) != 0)
      fail("not a part");
    Result.Services.push_back(registry().at(std::stoul(Part.substr(8))));
  }
  return Result;
}

} // namespace briarpoint
