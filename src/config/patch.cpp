#include "config/patch.h"

#include "base/findings_error.h"
#include "config/validate.h"
#include "config/value_conversion.h"

#include <algorithm>

namespace briarpoint {

namespace {

template <typename T> auto findByName(std::vector<T> &Items, const std::string &Name) {
  return std::find_if(Items.begin(), Items.end(),
                      [&Name](const T &Item) { return Item.Name == Name; });
}

template <typename T> void addOrReplaceByName(std::vector<T> &Items, const T &Item) {
  const auto Found = findByName(Items, Item.Name);
  if (Found == Items.end())
    Items.push_back(Item);
  else
    *Found = Item;
}

/// Applies operations to a copy of the configuration.
class patch_application {
public:
  explicit patch_application(const configuration &Base) : Result(Base) {}

  void apply(const std::vector<patch_operation> &Operations) {
    for (std::size_t I = 0; I < Operations.size(); ++I) {
      Path = "operations[" + std::to_string(I) + "]";
      std::visit([this](const auto &Operation) { run(Operation); }, Operations[I]);
    }
  }

  void report(std::string Field, std::string Message) {
    Findings.push_back({"patch", 0, 0, std::move(Field), std::move(Message)});
  }

  /// Returns the validated result.
  /// \throws findings_error with all findings, if there are any.
  configuration finish() {
    ++Result.Version;
    std::stable_sort(
        Result.Services.begin(), Result.Services.end(),
        [](const service_config &A, const service_config &B) { return A.Name < B.Name; });
    for (finding &Finding : validate(Result))
      Findings.push_back(std::move(Finding));
    if (!Findings.empty())
      throw findings_error(std::move(Findings));
    return std::move(Result);
  }

private:
  service_config *findService(const std::string &Name) {
    const auto Found = findByName(Result.Services, Name);
    if (Found != Result.Services.end())
      return &*Found;
    report(Path + ".service", "no service is named \"" + Name + "\"");
    return nullptr;
  }

  void reportMissingTarget(const service_config &Service, const std::string &Name) {
    report(Path + ".target",
           "service \"" + Service.Name + "\" has no target named \"" + Name + "\"");
  }

  void run(const put_service &Operation) { addOrReplaceByName(Result.Services, Operation.Service); }

  void run(const remove_service &Operation) {
    if (const service_config *Service = findService(Operation.Service))
      Result.Services.erase(Result.Services.begin() + (Service - Result.Services.data()));
  }

  void run(const put_target &Operation) {
    if (service_config *Service = findService(Operation.Service))
      addOrReplaceByName(Service->Targets, Operation.Target);
  }

  void run(const remove_target &Operation) {
    service_config *Service = findService(Operation.Service);
    if (Service == nullptr)
      return;
    const auto Target = findByName(Service->Targets, Operation.Target);
    if (Target == Service->Targets.end())
      reportMissingTarget(*Service, Operation.Target);
    else
      Service->Targets.erase(Target);
  }

  void run(const set_target_intent &Operation) {
    service_config *Service = findService(Operation.Service);
    if (Service == nullptr)
      return;
    const auto Target = findByName(Service->Targets, Operation.Target);
    if (Target == Service->Targets.end())
      reportMissingTarget(*Service, Operation.Target);
    else
      Target->Intent = Operation.Intent;
  }

  configuration Result;
  std::string Path;
  std::vector<finding> Findings;
};

} // namespace

configuration applyPatch(const configuration &Base, const patch &Patch) {
  patch_application Application(Base);
  if (!isName(Patch.Id))
    Application.report("id",
                       "must be a name of 1 to 64 characters of A-Z, a-z, 0-9, '.', '_' and '-'");
  if (Patch.Base != Base.Version)
    Application.report("base", "the patch is against version " + std::to_string(Patch.Base) +
                                   ", the current version is " + std::to_string(Base.Version));
  Application.apply(Patch.Operations);
  return Application.finish();
}

} // namespace briarpoint
