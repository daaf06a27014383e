#include "config/settings.h"

#include "base/hash.h"
#include "config/field_reader.h"
#include "config/settings_fields.h"
#include "config/toml_reader.h"

#include <algorithm>

namespace briarpoint {

template <> struct enum_names<ownership_scope> {
  static constexpr std::array<std::pair<std::string_view, ownership_scope>, 2> Names{
      {{"data_centre", ownership_scope::DataCentre}, {"all", ownership_scope::All}}};
};

namespace {

/// Minimum size of a key in bytes: that of the output of HMAC-SHA-256 (RFC 2104, section 3).
constexpr std::size_t MinKeySize = 32;
/// Minimum size of other secrets in bytes.
constexpr std::size_t MinTokenSize = 16;

/// Reads the settings from a document and reports errors to the findings.
class settings_reader {
public:
  settings_reader(const document_value &Document, finding_collector &Findings)
      : Document(Document), Findings(Findings) {}

  settings read() {
    field_reader Root(Document, "", Findings);
    Root.required("name", name_text{Result.Name});
    Root.required("data_centre", name_text{Result.DataCentre});
    Root.optional("rack", name_text{Result.Rack});
    Root.optional("log_level", Result.LogLevel);
    Root.optional(
        "shutdown_deadline",
        bounded<duration>{Result.ShutdownTimeout, std::chrono::seconds(1), std::chrono::hours(1)});
    readPlatform(Root);
    readSeeds(Root);
    readSection(Root, "listen", true, [this](field_reader &Reader) { readListen(Reader); });
    readSection(Root, "fabric", true, [this](field_reader &Reader) { readFabric(Reader); });
    readSection(Root, "secrets", true, [this](field_reader &Reader) { readSecrets(Reader); });
    readSection(Root, "limits", false, [this](field_reader &Reader) { readLimits(Reader); });
    readSection(Root, "data_plane", false, [this](field_reader &Reader) {
      visitDataPlaneFields([&](const char *Name, auto Member, auto Min, auto Max) {
        readBounded(Reader, Name, Result.DataPlane.*Member, Min, Max);
      });
    });
    readSection(Root, "control_plane", false,
                [this](field_reader &Reader) { readControlPlane(Reader); });
    Root.finish();
    fillSelf();
    return std::move(Result);
  }

private:
  using section_function = std::function<void(field_reader &)>;

  /// Calls \p Read with a reader of the section. A section that isn't required may be missing.
  void readSection(field_reader &Root, std::string_view Name, bool Required,
                   const section_function &Read) {
    const auto ReadTable = [&](const document_value &Value, const std::string &Path) {
      field_reader Reader(Value, Path, Findings);
      Read(Reader);
      Reader.finish();
    };
    if (Required)
      Root.requiredValue(Name, ReadTable);
    else
      Root.optionalValue(Name, ReadTable);
  }

  template <typename T, typename L>
  static void readBounded(field_reader &Reader, const char *Name, T &Out, L Min, L Max) {
    Reader.optional(Name, bounded<T>{Out, static_cast<T>(Min), static_cast<T>(Max)});
  }
  template <typename Min, typename Max>
  static void readBounded(field_reader &Reader, const char *Name, duration &Out, Min Least,
                          Max Most) {
    Reader.optional(Name, bounded<duration>{Out, Least, Most});
  }

  void readPlatform(field_reader &Root) {
    std::string Platform;
    if (!Root.required("platform", Platform))
      return;
    Root.optional("configuration_file", Result.ConfigurationFile);
    if (Platform == "memory") {
      if (Result.ConfigurationFile.empty())
        Root.report("configuration_file", "must name a file if platform is \"memory\"");
      return;
    }
    if (!Result.ConfigurationFile.empty())
      Root.report("configuration_file", "is used only if platform is \"memory\"");
    constexpr std::string_view Scheme = "http://";
    if (Platform.starts_with(Scheme))
      Result.Platform = parseEndpoint(std::string_view(Platform).substr(Scheme.size()));
    if (!Result.Platform)
      Root.report(
          "platform",
          "must be \"memory\" or a URL with an IP address, such as \"http://192.0.2.1:80\"");
  }

  void readSeeds(field_reader &Root) {
    Root.optionalElements("seeds", [this](const document_value &Value, const std::string &Path) {
      endpoint Seed;
      if (std::string Error = convertValue(Value, Seed); !Error.empty())
        Findings.add(Value, Path, std::move(Error));
      Result.ControlPlane.Seeds.push_back(Seed);
    });
  }

  /// Reads an endpoint to which peers or the fabric send; it must not be the unspecified address.
  static void readReachable(field_reader &Reader, std::string_view Name, endpoint &Out) {
    if (Reader.required(Name, Out) && Out.Address.Bytes == decltype(Out.Address.Bytes){})
      Reader.report(Name, "must not be the unspecified address, because peers send to it");
  }

  void readListen(field_reader &Reader) {
    readReachable(Reader, "data", Result.Data);
    readReachable(Reader, "control", Result.Control);
    readReachable(Reader, "rpc", Result.Rpc);
    Reader.required("operator", Result.Operator);
    if (Result.Data.Port != 0 && Result.Data == Result.Control)
      Reader.report("control", "must differ from listen.data; both are UDP");
    if (Result.Rpc.Port != 0 && Result.Rpc == Result.Operator)
      Reader.report("operator", "must differ from listen.rpc; both are TCP");
  }

  void readFabric(field_reader &Reader) {
    Reader.required("name", name_text{Result.FabricName});
    readReachable(Reader, "endpoint", Result.Fabric);
    Reader.optional("scope", Result.ControlPlane.Scope);
    Reader.optionalElements("outer_sources",
                            [this](const document_value &Value, const std::string &Path) {
                              ip_address Address;
                              if (std::string Error = convertValue(Value, Address); !Error.empty())
                                Findings.add(Value, Path, std::move(Error));
                              Result.OuterSources.push_back(Address);
                            });
    if (Result.OuterSources.empty())
      Result.OuterSources.push_back(Result.Fabric.Address);
    if (Result.Data.Port != 0 && Result.Fabric.Port != 0 &&
        Result.Data.Address.IsV6 != Result.Fabric.Address.IsV6)
      Reader.report("endpoint", "must be of the same address family as listen.data");
  }

  /// Reads a secret of at least \p MinSize bytes. Findings never show the value.
  static bool readSecret(field_reader &Reader, std::string_view Name, std::size_t MinSize,
                         bool Required, secret &Out) {
    std::string Text;
    const bool Read = Required ? Reader.required(Name, Text) : Reader.optional(Name, Text);
    if (!Read)
      return false;
    if (Text.size() < MinSize)
      Reader.report(Name, "must have at least " + std::to_string(MinSize) + " characters");
    Out = secret(std::move(Text));
    return true;
  }

  void readSecrets(field_reader &Reader) {
    readSecret(Reader, "key", MinKeySize, true, Result.Key);
    secret Previous;
    if (readSecret(Reader, "previous_key", MinKeySize, false, Previous)) {
      if (Previous == Result.Key)
        Reader.report("previous_key", "must differ from secrets.key");
      Result.PreviousKey = std::move(Previous);
    }
    secret HashSeed;
    if (readSecret(Reader, "hash_seed", MinTokenSize, true, HashSeed))
      Result.DataPlane.HashSeed = hashBytes(HashSeed.reveal());
    readSecret(Reader, "operator_token", MinTokenSize, true, Result.OperatorToken);
    readSecret(Reader, "platform_token", MinTokenSize, false, Result.PlatformToken);
  }

  void readLimits(field_reader &Reader) {
    using std::chrono::milliseconds;
    using std::chrono::minutes;
    using std::chrono::seconds;
    settings_limits &Limits = Result.Limits;
    readBounded(Reader, "operator_connections", Limits.OperatorConnections, 1, 10'000);
    readBounded(Reader, "operator_body_bytes", Limits.OperatorBodyBytes, 1000, 64'000'000);
    readBounded(Reader, "operator_timeout", Limits.OperatorTimeout, seconds(1), minutes(10));
    readBounded(Reader, "platform_timeout", Limits.PlatformTimeout, milliseconds(100), minutes(1));
    readBounded(Reader, "platform_watch", Limits.PlatformWatchTimeout, seconds(1), minutes(10));
  }

  void readControlPlane(field_reader &Reader) {
    control_plane_settings &Settings = Result.ControlPlane;
    visitControlPlaneFields([&](const char *Name, auto Member, auto Min, auto Max) {
      readBounded(Reader, Name, Settings.*Member, Min, Max);
    });
    // One lost heartbeat must not make a member suspected.
    if (Settings.SuspectAfter < 2 * Settings.HeartbeatInterval)
      Reader.report("suspect_after", "must be at least twice control_plane.heartbeat_interval");
    if (Settings.PauseLimit > Settings.SuspectAfter + Settings.DeadAfter)
      Reader.report("pause_limit", "must not exceed the sum of suspect_after and dead_after, after "
                                   "which peers declare this process dead");
  }

  void fillSelf() {
    Result.ControlPlane.Self = {makeMemberId(Result.Name),
                                Result.Name,
                                Result.DataCentre,
                                Result.Rack,
                                Result.Data,
                                Result.Control,
                                Result.Rpc,
                                0,
                                member_state::Joining};
  }

  const document_value &Document;
  finding_collector &Findings;
  settings Result;
};

} // namespace

settings parseSettings(std::string_view Text, const std::string &Source) {
  finding_collector Findings(Source);
  settings Settings = settings_reader(readToml(Text, Source), Findings).read();
  Findings.throwIfAny();
  return Settings;
}

} // namespace briarpoint
