#include "config/configuration_changes.h"

#include "config/json_encoding.h"

#include <map>

namespace briarpoint {

namespace {

template <typename T> std::map<std::string, const T *> indexByName(const std::vector<T> &Items) {
  std::map<std::string, const T *> Index;
  for (const T &Item : Items)
    Index[Item.Name] = &Item;
  return Index;
}

/// Calls \p Changed with name, old and new item for each item that differs between \p Before and
/// \p After. The old pointer is null for an added item, the new one for a removed item.
template <typename T, typename F>
void compareByName(const std::vector<T> &Before, const std::vector<T> &After, const F &Changed) {
  const auto Old = indexByName(Before);
  const auto New = indexByName(After);
  for (const auto &[Name, Item] : Old) {
    const auto Found = New.find(Name);
    if (Found == New.end())
      Changed(Name, Item, static_cast<const T *>(nullptr));
    else if (*Found->second != *Item)
      Changed(Name, Item, Found->second);
  }
  for (const auto &[Name, Item] : New)
    if (!Old.contains(Name))
      Changed(Name, static_cast<const T *>(nullptr), Item);
}

std::string formatValue(const nlohmann::json &Value) {
  return Value.is_string() ? Value.get<std::string>() : Value.dump();
}

std::string describeField(std::string Text, const std::string &Field, const nlohmann::json &Old,
                          const nlohmann::json &New) {
  Text.append(": ").append(Field).append(" ").append(formatValue(Old));
  return Text.append(" -> ").append(formatValue(New));
}

class change_describer {
public:
  std::vector<std::string> run(const configuration &Before, const configuration &After) {
    compareByName(Before.Services, After.Services,
                  [this](const std::string &Name, const service_config *Old,
                         const service_config *New) { addService(Name, Old, New); });
    return std::move(Lines);
  }

private:
  void addService(const std::string &Name, const service_config *Old, const service_config *New) {
    const service_config None;
    if (Old == nullptr)
      Lines.push_back("service " + Name + ": added");
    else if (New == nullptr)
      Lines.push_back("service " + Name + ": removed");
    else
      addFields("service " + Name, encodeWithoutTargets(*Old), encodeWithoutTargets(*New));
    compareByName(
        (Old == nullptr ? None : *Old).Targets, (New == nullptr ? None : *New).Targets,
        [&](const std::string &Target, const target_config *Before, const target_config *After) {
          addTarget(Name + "/" + Target, Before, After);
        });
  }

  void addTarget(const std::string &Name, const target_config *Old, const target_config *New) {
    if (Old == nullptr)
      Lines.push_back("target " + Name + ": added, " + toString(New->Tunnel));
    else if (New == nullptr)
      Lines.push_back("target " + Name + ": removed");
    else
      addFields("target " + Name, encode(*Old), encode(*New));
  }

  void addFields(const std::string &Item, const nlohmann::json &Old, const nlohmann::json &New) {
    for (const auto &[Field, Value] : Old.items())
      if (New.at(Field) != Value)
        Lines.push_back(describeField(Item, Field, Value, New.at(Field)));
  }

  static nlohmann::json encodeWithoutTargets(service_config Service) {
    Service.Targets.clear();
    return encode(Service);
  }

  std::vector<std::string> Lines;
};

} // namespace

std::vector<std::string> describeChanges(const configuration &Before, const configuration &After) {
  return change_describer().run(Before, After);
}

} // namespace briarpoint
