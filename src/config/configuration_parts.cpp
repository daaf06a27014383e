#include "config/configuration_parts.h"

#include "base/findings_error.h"
#include "base/hash.h"
#include "config/config_decoder.h"
#include "config/field_reader.h"
#include "config/json_encoding.h"
#include "config/json_reader.h"
#include "config/validate.h"

#include <algorithm>
#include <limits>
#include <stdexcept>

namespace briarpoint {

namespace {

using nlohmann::json;

/// Writes services and targets into parts. A part is {"services":[...]}. If a service continues in
/// the next part, that part has only its name and further targets.
class part_writer {
public:
  explicit part_writer(std::size_t MaxPartSize) : MaxPartSize(MaxPartSize) {}

  void addService(const service_config &Service) {
    service_config WithoutTargets = Service;
    WithoutTargets.Targets.clear();
    LastSize = addFragment(encode(WithoutTargets));
    if (isCut(Service.Name, LastSize))
      close();
    for (const target_config &Target : Service.Targets) {
      addTarget(Service.Name, encode(Target));
      if (isCut(Service.Name + '\n' + Target.Name, LastSize))
        close();
    }
  }

  std::vector<std::string> finish() {
    close();
    return std::move(Parts);
  }

private:
  static constexpr std::size_t EmptySize = sizeof(R"({"services":[]})") - 1;

  /// Returns whether the part ends after the item with this key and size in bytes. The probability
  /// is proportional to the item's size, so that parts have a quarter of the allowed size on
  /// average. A part that reaches the allowed size is cut at a place that depends on all items
  /// before it and moves with each insertion; at this average, about 2% of the parts (e^-4) do.
  bool isCut(const std::string &Key, std::size_t Size) const {
    const double Probability = 4.0 * static_cast<double>(Size) / static_cast<double>(MaxPartSize);
    const double Limit =
        Probability * static_cast<double>(std::numeric_limits<std::uint64_t>::max());
    return static_cast<double>(hashBytes(Key)) < Limit;
  }

  std::size_t addFragment(json Fragment) {
    const std::size_t Size = Fragment.dump().size() + 1;
    reserve(Size);
    PartSize += Size;
    Services.push_back(std::move(Fragment));
    return Size;
  }

  void addTarget(const std::string &ServiceName, json Target) {
    LastSize = Target.dump().size() + 1;
    if (Services.empty() || PartSize + LastSize > MaxPartSize) {
      close();
      addFragment({{"name", ServiceName}, {"targets", json::array()}});
    }
    if (PartSize + LastSize > MaxPartSize)
      throw std::length_error("a target of " + std::to_string(LastSize) + " bytes in service \"" +
                              ServiceName + "\" exceeds the size of a configuration part (" +
                              std::to_string(MaxPartSize) + " bytes)");
    PartSize += LastSize;
    Services.back()["targets"].push_back(std::move(Target));
  }

  void reserve(std::size_t Size) {
    if (PartSize + Size > MaxPartSize)
      close();
    if (PartSize + Size > MaxPartSize)
      throw std::length_error(
          "a service of " + std::to_string(Size) +
          " bytes without its targets exceeds the size of a configuration part (" +
          std::to_string(MaxPartSize) + " bytes)");
  }

  void close() {
    if (Services.empty())
      return;
    Parts.push_back(json{{"services", std::move(Services)}}.dump());
    Services = json::array();
    PartSize = EmptySize;
  }

  std::size_t MaxPartSize;
  std::vector<std::string> Parts;
  json Services = json::array();
  std::size_t PartSize = EmptySize;
  std::size_t LastSize = 0;
};

bool byName(const service_config &A, const service_config &B) { return A.Name < B.Name; }

/// Joins the parts that part_writer wrote.
class part_joiner {
public:
  explicit part_joiner(finding_collector &Findings) : Findings(Findings) {}

  void add(const document_value &Part, const std::string &Path) {
    field_reader Reader(Part, Path, Findings);
    Reader.requiredElements("services",
                            [this](const document_value &Value, const std::string &Element) {
                              addFragment(Value, Element);
                            });
    Reader.finish();
  }

  std::vector<service_config> finish() { return std::move(Services); }

private:
  static bool hasField(const document_value &Value, std::string_view Name) {
    const auto *Table = std::get_if<document_value::table>(&Value.Content);
    if (Table == nullptr)
      return false;
    for (const document_field &Field : *Table)
      if (Field.Name == Name)
        return true;
    return false;
  }

  void addFragment(const document_value &Value, const std::string &Path) {
    if (hasField(Value, "id")) {
      Services.push_back(decodeService(Value, Path, Findings));
      return;
    }
    field_reader Reader(Value, Path, Findings);
    std::string Name;
    Reader.required("name", name_text{Name});
    if (Services.empty() || Services.back().Name != Name) {
      Reader.report("name", "continues a service that the parts before don't end with");
      return;
    }
    Reader.requiredElements(
        "targets", [this](const document_value &Target, const std::string &Element) {
          Services.back().Targets.push_back(decodeTarget(Target, Element, Findings));
        });
    Reader.finish();
  }

  finding_collector &Findings;
  std::vector<service_config> Services;
};

} // namespace

std::vector<std::string> splitConfiguration(const configuration &Configuration,
                                            std::size_t MaxPartSize) {
  part_writer Writer(MaxPartSize);
  for (const service_config &Service : Configuration.Services)
    Writer.addService(Service);
  return Writer.finish();
}

configuration joinConfiguration(config_version Version, const std::vector<std::string> &Parts) {
  finding_collector Findings("configuration");
  part_joiner Joiner(Findings);
  for (std::size_t I = 0; I < Parts.size(); ++I) {
    const std::string Name = "part[" + std::to_string(I) + "]";
    try {
      Joiner.add(readJson(Parts[I], Name), Name);
    } catch (const findings_error &Error) {
      for (const finding &Finding : Error.findings())
        Findings.add({{}, Finding.Line, Finding.Column}, Name, Finding.Message);
    }
  }
  Findings.throwIfAny();
  configuration Configuration{Version, Joiner.finish()};
  if (std::vector<finding> Invalid = validate(Configuration); !Invalid.empty())
    throw findings_error(std::move(Invalid));
  if (!std::is_sorted(Configuration.Services.begin(), Configuration.Services.end(), byName))
    throw findings_error({{"configuration", 0, 0, "services", "must be ordered by name"}});
  return Configuration;
}

} // namespace briarpoint
