#include "ctl/run_ctl.h"

#include "ctl/ctl_error.h"
#include "ctl/daemon_client.h"
#include "ctl/patch_command.h"
#include "ctl/status_table.h"

#include <nlohmann/json.hpp>

#include <ostream>

namespace briarpoint {

namespace {

using nlohmann::json;

constexpr const char *ProgramVersion = "0.1.0";

/// Runs the command named by the options.
class command_runner {
public:
  command_runner(const ctl_options &Options, const ctl_environment &Environment)
      : Options(Options), Environment(Environment), Client(Options) {}

  exit_code run() {
    if (Options.Command == "patch")
      return makePatchCommand().submitFile();
    if (Options.Command == "drain" || Options.Command == "undrain")
      return drainOrUndrain();
    if (Options.Command == "get")
      return get();
    if (Options.Command == "history")
      return history();
    if (Options.Command == "status")
      return status();
    if (Options.Command == "watch")
      return watch();
    if (Options.Command == "dump")
      return printJson(Client.get("/v1/dump"));
    if (Options.Command == "completion")
      return completion();
    throw ctl_error(exit_code::Usage,
                    "unknown command \"" + Options.Command + "\"; see briarpointctl --help");
  }

private:
  patch_command makePatchCommand() {
    return {Options, Client, Environment.MakePatchId(), Environment.Out, Environment.Err};
  }

  exit_code drainOrUndrain() {
    const bool IsDrain = Options.Command == "drain";
    if (Options.DrainBalancer)
      return drainBalancer(IsDrain);
    if (Options.Arguments.size() != 1)
      throw ctl_error(exit_code::Usage,
                      Options.Command + " needs one SERVICE/TARGET, or --balancer, got " +
                          std::to_string(Options.Arguments.size()) + " arguments");
    return makePatchCommand().setIntent(Options.Arguments.front(),
                                        IsDrain ? target_intent::Leaving : target_intent::Active);
  }

  exit_code drainBalancer(bool IsDrain) {
    if (!IsDrain)
      throw ctl_error(
          exit_code::Usage,
          "undrain does not apply to balancers: a drained balancer exits; start it again");
    if (Options.Servers.size() != 1)
      throw ctl_error(exit_code::Usage, "drain --balancer needs exactly one --server, got " +
                                            std::to_string(Options.Servers.size()));
    const http_answer Answer = Client.post("/v1/leave", "");
    const std::string Server = toString(Options.Servers.front());
    if (Answer.Outcome == http_answer::outcome::NotSent)
      throw ctl_error(exit_code::Unreachable, "cannot connect to " + Server);
    if (Answer.isResultUnknown())
      throw ctl_error(exit_code::OutcomeUnknown,
                      "no answer from " + Server +
                          "; it may be leaving. The command may be repeated safely");
    if (Answer.Status == 401 || Answer.Status == 403)
      throw ctl_error(exit_code::Refused, Server + " refused the token");
    if (Answer.Status != 200 && Answer.Status != 202)
      throw ctl_error(exit_code::UnexpectedAnswer,
                      Server + ": status " + std::to_string(Answer.Status) + " " + Answer.Body);
    if (Options.Json)
      Environment.Out << json{{"status", "leaving"}, {"server", Server}}.dump() << "\n";
    else
      Environment.Out << Server << " is leaving\n";
    return exit_code::Done;
  }

  exit_code get() {
    if (Options.Arguments.size() > 1)
      throw ctl_error(exit_code::Usage, "get takes at most one version, got " +
                                            std::to_string(Options.Arguments.size()));
    std::string Target = "/v1/config";
    if (!Options.Arguments.empty()) {
      const std::string &Version = Options.Arguments.front();
      if (Version.empty() || Version.find_first_not_of("0123456789") != std::string::npos)
        throw ctl_error(exit_code::Usage,
                        "a version must be a whole number, got \"" + Version + "\"");
      Target += "/" + Version;
    }
    return printJson(Client.get(Target));
  }

  exit_code history() {
    const std::string Body = Client.get("/v1/history");
    if (Options.Json)
      return printJson(Body);
    Environment.Out << formatHistory(Body);
    return exit_code::Done;
  }

  exit_code completion() {
    if (Options.Arguments != std::vector<std::string>{"bash"})
      throw ctl_error(exit_code::Usage,
                      "completion needs the argument bash; it is available for bash only");
    Environment.Out << bashCompletion();
    return exit_code::Done;
  }

  /// Returns the status of all servers as text, or as a JSON array with --json. Servers without a
  /// status are added to \p Failures, one a line.
  std::string collectStatus(std::string &Failures) {
    json All = json::array();
    std::string Text;
    for (const endpoint &Server : Options.Servers) {
      const http_answer Answer = Client.getFrom(Server, "/v1/status");
      if (Answer.Outcome != http_answer::outcome::Answered || Answer.Status != 200) {
        Failures += toString(Server) + ": no status\n";
        continue;
      }
      if (Options.Json)
        All.push_back(json::parse(Answer.Body));
      else
        Text += formatStatus(Answer.Body);
    }
    return Options.Json ? All.dump() + "\n" : Text;
  }

  exit_code status() {
    std::string Failures;
    Environment.Out << collectStatus(Failures);
    Environment.Err << Failures;
    return Failures.empty() ? exit_code::Done : exit_code::Unreachable;
  }

  exit_code watch() {
    std::string PrintedText;
    exit_code Code = exit_code::Done;
    for (std::uint32_t Polls = 1;; ++Polls) {
      std::string Failures;
      const std::string Text = collectStatus(Failures) + Failures;
      if (Text != PrintedText)
        Environment.Out << Text << std::flush;
      PrintedText = Text;
      Code = Failures.empty() ? exit_code::Done : exit_code::Unreachable;
      if (Polls == Options.MaxPolls)
        return Code;
      Environment.Sleep(Options.PollInterval);
    }
  }

  /// Prints \p Body unchanged with --json, else indented.
  exit_code printJson(const std::string &Body) {
    constexpr int Indent = 2;
    Environment.Out << (Options.Json ? Body : json::parse(Body).dump(Indent)) << "\n";
    return exit_code::Done;
  }

  const ctl_options &Options;
  const ctl_environment &Environment;
  daemon_client Client;
};

exit_code runCommand(const ctl_options &Options, const ctl_environment &Environment) {
  if (Options.Version) {
    Environment.Out << "briarpointctl " << ProgramVersion << "\n";
    return exit_code::Done;
  }
  if (Options.Help) {
    Environment.Out << ctlHelp(Options.Command);
    return exit_code::Done;
  }
  if (Options.Command.empty()) {
    Environment.Err << ctlHelp("");
    return exit_code::Usage;
  }
  return command_runner(Options, Environment).run();
}

} // namespace

exit_code runCtl(const std::vector<std::string> &Arguments, const ctl_environment &Environment) {
  try {
    return runCommand(parseCtlOptions(Arguments, Environment.ReadVariable), Environment);
  } catch (const ctl_error &Error) {
    Environment.Err << Error.what() << "\n";
    return Error.code();
  } catch (const std::exception &Error) {
    Environment.Err << "malformed answer from the balancer: " << Error.what() << "\n";
    return exit_code::UnexpectedAnswer;
  }
}

} // namespace briarpoint
