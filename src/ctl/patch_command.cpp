#include "ctl/patch_command.h"

#include "base/findings_error.h"
#include "config/config_json.h"
#include "config/config_text.h"
#include "config/configuration_changes.h"
#include "config/enum_text.h"
#include "config/value_conversion.h"
#include "ctl/ctl_error.h"

#include <nlohmann/json.hpp>

#include <ostream>

namespace briarpoint {

namespace {

using nlohmann::json;

enum : int {
  StatusAccepted = 200,
  StatusUnauthorized = 401,
  StatusForbidden = 403,
  StatusStale = 412,
  StatusInvalid = 422,
  StatusUnavailable = 503,
  StatusUnknown = 504,
};

json parseBody(const std::string &Body) {
  json Parsed = json::parse(Body, nullptr, false);
  return Parsed.is_object() ? Parsed : json::object();
}

config_version readVersion(const std::string &Body) {
  const json Parsed = parseBody(Body);
  const auto Version = Parsed.find("version");
  if (Version == Parsed.end() || !Version->is_number_unsigned())
    throw ctl_error(exit_code::UnexpectedAnswer, "the balancer's answer has no version: " + Body);
  return Version->get<config_version>();
}

/// \p Finding is a finding in the form of the operators' HTTP interface: a string, or an object
/// with source, path and message.
std::string formatFinding(const json &Finding) {
  if (Finding.is_string())
    return Finding.get<std::string>();
  if (!Finding.is_object())
    return Finding.dump();
  const auto Field = [&Finding](const char *Name) {
    const auto Found = Finding.find(Name);
    return Found != Finding.end() && Found->is_string() ? Found->get<std::string>() : "";
  };
  return toString(finding{Field("source"), 0, 0, Field("path"), Field("message")});
}

} // namespace

exit_code patch_command::submitFile() {
  if (Options.PatchFile.empty())
    throw ctl_error(exit_code::Usage, "patch needs --file");
  const patch_header Header{Options.PatchId, Options.BaseVersion, NewPatchId};
  patch Patch;
  try {
    Patch = parsePatchText(readInputFile(Options.PatchFile), Options.PatchFile, Header);
  } catch (const findings_error &Error) {
    Err << Error.what() << "\n";
    return exit_code::Refused;
  }
  RepeatArguments = "patch --file " + Options.PatchFile + " --base " + std::to_string(Patch.Base);
  return Options.DryRun ? dryRun(Patch) : submit(Patch);
}

exit_code patch_command::setIntent(const std::string &Name, target_intent Intent) {
  const std::size_t Slash = Name.find('/');
  const std::string Service = Name.substr(0, Slash);
  const std::string Target = Slash == std::string::npos ? "" : Name.substr(Slash + 1);
  if (!isName(Service) || !isName(Target))
    throw ctl_error(exit_code::Usage,
                    "a target must be given as SERVICE/TARGET, got \"" + Name + "\"");
  // repeatCommand() prints --base, so that a repeated submission has the same base version.
  const config_version Base =
      Options.BaseVersion ? *Options.BaseVersion : fetchConfiguration("/v1/config").Version;
  const patch Patch{
      Options.PatchId.value_or(NewPatchId), Base, {set_target_intent{Service, Target, Intent}}};
  RepeatArguments = Options.Command + " " + Name + " --base " + std::to_string(Base);
  return Options.DryRun ? dryRun(Patch) : submit(Patch);
}

exit_code patch_command::submit(const patch &Patch) {
  return report(Patch, Client.post("/v1/patches", toJson(Patch)));
}

exit_code patch_command::dryRun(const patch &Patch) {
  const http_answer Answer = Client.post("/v1/patches?dry_run=1", toJson(Patch));
  if (Answer.Outcome != http_answer::outcome::Answered || Answer.Status != StatusAccepted) {
    // A dry run changes nothing, so its outcome is certain even without an answer.
    if (Answer.isResultUnknown() || Answer.Status == StatusUnknown)
      throw ctl_error(exit_code::Unreachable, "no answer to the dry run");
    return report(Patch, Answer);
  }
  const configuration Before = fetchConfiguration("/v1/config/" + std::to_string(Patch.Base));
  const std::vector<std::string> Changes = describeChanges(Before, applyPatch(Before, Patch));
  if (Options.Json) {
    Out << json{{"status", "valid"}, {"base", Patch.Base}, {"changes", Changes}}.dump() << "\n";
    return exit_code::Done;
  }
  Out << "The patch is valid against version " << Patch.Base << ". It would change:\n";
  for (const std::string &Change : Changes)
    Out << "  " << Change << "\n";
  if (Changes.empty())
    Out << "  nothing\n";
  return exit_code::Done;
}

exit_code patch_command::report(const patch &Patch, const http_answer &Answer) {
  if (Answer.Outcome == http_answer::outcome::NotSent)
    throw ctl_error(exit_code::Unreachable, "cannot connect to any balancer; nothing was changed");
  if (Answer.isResultUnknown()) {
    reportOutcomeUnknown(Patch);
    return exit_code::OutcomeUnknown;
  }
  switch (Answer.Status) {
  case StatusAccepted:
    reportAccepted(Patch, readVersion(Answer.Body));
    return exit_code::Done;
  case StatusStale:
    reportStale(Patch, readVersion(Answer.Body));
    return exit_code::Stale;
  case StatusInvalid:
    reportFindings(Answer.Body);
    return exit_code::Refused;
  case StatusUnauthorized:
  case StatusForbidden:
    throw ctl_error(exit_code::Refused, "the balancer refused the token; nothing was changed");
  case StatusUnavailable:
    throw ctl_error(exit_code::Unreachable, "the platform is unavailable; nothing was changed");
  case StatusUnknown:
    break;
  default:
    // Any other status leaves open whether the patch was executed.
    Err << "unexpected status " << Answer.Status << " " << Answer.Body << "\n";
  }
  reportOutcomeUnknown(Patch);
  return exit_code::OutcomeUnknown;
}

void patch_command::reportAccepted(const patch &Patch, config_version Version) {
  if (Options.Json)
    Out << json{{"status", "accepted"}, {"id", Patch.Id}, {"version", Version}}.dump() << "\n";
  else
    Out << "Accepted as version " << Version << " (patch " << Patch.Id << ").\n";
}

void patch_command::reportStale(const patch &Patch, config_version Current) {
  std::vector<std::string> Changes;
  std::string Failure;
  try {
    Changes = describeChanges(fetchConfiguration("/v1/config/" + std::to_string(Patch.Base)),
                              fetchConfiguration("/v1/config/" + std::to_string(Current)));
  } catch (const std::exception &Error) {
    Failure = Error.what();
  }
  if (Options.Json) {
    Out << json{{"status", "stale"},
                {"base", Patch.Base},
                {"version", Current},
                {"changes", Changes}}
               .dump()
        << "\n";
    return;
  }
  Err << "Stale: the patch is against version " << Patch.Base << ", the current version is "
      << Current << ". Nothing was changed, and the patch is not resubmitted automatically.\n";
  if (!Failure.empty()) {
    Err << "Cannot show what changed in between: " << Failure << "\n";
    return;
  }
  Err << "Changed in between:\n";
  for (const std::string &Change : Changes)
    Err << "  " << Change << "\n";
}

void patch_command::reportFindings(const std::string &Body) {
  const json Parsed = parseBody(Body);
  const json Findings = Parsed.value("findings", json::array());
  if (Options.Json) {
    Out << json{{"status", "invalid"}, {"findings", Findings}}.dump() << "\n";
    return;
  }
  Err << "The patch was refused; nothing was changed:\n";
  for (const json &Finding : Findings)
    Err << "  " << formatFinding(Finding) << "\n";
}

void patch_command::reportOutcomeUnknown(const patch &Patch) {
  const std::string Command = repeatCommand(Patch);
  if (Options.Json)
    Out << json{{"status", "unknown"}, {"id", Patch.Id}, {"repeat", Command}}.dump() << "\n";
  else
    Err << "The outcome of patch " << Patch.Id
        << " is unknown: it may have been accepted. Repeat it with the same id:\n  " << Command
        << "\n";
}

std::string patch_command::repeatCommand(const patch &Patch) const {
  std::string Command = "briarpointctl " + RepeatArguments + " --id " + Patch.Id;
  for (const endpoint &Server : Options.Servers)
    Command += " --server " + toString(Server);
  return Command;
}

configuration patch_command::fetchConfiguration(const std::string &RequestTarget) const {
  return parseConfigurationJson(Client.get(RequestTarget), RequestTarget);
}

} // namespace briarpoint
