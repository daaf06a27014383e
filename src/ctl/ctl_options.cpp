#include "ctl/ctl_options.h"

#include "ctl/ctl_error.h"

#include <cxxopts.hpp>

#include <fstream>
#include <iostream>
#include <sstream>

namespace briarpoint {

namespace {

constexpr const char *DefaultServer = "127.0.0.1:7003";

cxxopts::Options makeParser() {
  cxxopts::Options Parser("briarpointctl");
  Parser.add_options()("command", "", cxxopts::value<std::string>())(
      "arguments", "", cxxopts::value<std::vector<std::string>>())(
      "s,server", "", cxxopts::value<std::vector<std::string>>())(
      "token", "", cxxopts::value<std::string>())("token-file", "", cxxopts::value<std::string>())(
      "f,file", "", cxxopts::value<std::string>())("id", "", cxxopts::value<std::string>())(
      "base", "", cxxopts::value<config_version>())("dry-run", "")("json", "")("balancer", "")(
      "timeout", "", cxxopts::value<double>()->default_value("10"))(
      "interval", "", cxxopts::value<double>()->default_value("1"))(
      "count", "", cxxopts::value<std::uint32_t>()->default_value("0"))("h,help", "")("version",
                                                                                      "");
  Parser.parse_positional({"command", "arguments"});
  return Parser;
}

duration readSeconds(const cxxopts::ParseResult &Parsed, const char *Name) {
  const double Seconds = Parsed[Name].as<double>();
  constexpr double MaxSeconds = 86'400;
  if (!(Seconds > 0 && Seconds <= MaxSeconds))
    throw ctl_error(exit_code::Usage, std::string("--") + Name +
                                          " must be above 0 and at most 86400 seconds, got " +
                                          std::to_string(Seconds));
  return std::chrono::duration_cast<duration>(std::chrono::duration<double>(Seconds));
}

std::vector<endpoint> readServers(const cxxopts::ParseResult &Parsed) {
  std::vector<std::string> Texts = {DefaultServer};
  if (Parsed.count("server") != 0)
    Texts = Parsed["server"].as<std::vector<std::string>>();
  std::vector<endpoint> Servers;
  for (const std::string &Text : Texts) {
    const std::optional<endpoint> Server = parseEndpoint(Text);
    if (!Server)
      throw ctl_error(exit_code::Usage, "--server must be ADDRESS:PORT, got \"" + Text + "\"");
    Servers.push_back(*Server);
  }
  return Servers;
}

secret readToken(const cxxopts::ParseResult &Parsed,
                 const ctl_options::variable_reader &ReadVariable) {
  if (Parsed.count("token") != 0)
    return secret(Parsed["token"].as<std::string>());
  if (const std::optional<std::string> Value = ReadVariable("BRIARPOINT_TOKEN"))
    return secret(*Value);
  if (Parsed.count("token-file") == 0)
    return {};
  std::string Text = readInputFile(Parsed["token-file"].as<std::string>());
  Text.erase(Text.find_last_not_of(" \t\r\n") + 1);
  return secret(std::move(Text));
}

ctl_options readOptions(const cxxopts::ParseResult &Parsed,
                        const ctl_options::variable_reader &ReadVariable) {
  ctl_options Options;
  if (Parsed.count("command") != 0)
    Options.Command = Parsed["command"].as<std::string>();
  if (Parsed.count("arguments") != 0)
    Options.Arguments = Parsed["arguments"].as<std::vector<std::string>>();
  if (Parsed.count("file") != 0)
    Options.PatchFile = Parsed["file"].as<std::string>();
  if (Parsed.count("id") != 0)
    Options.PatchId = Parsed["id"].as<std::string>();
  if (Parsed.count("base") != 0)
    Options.BaseVersion = Parsed["base"].as<config_version>();
  Options.DryRun = Parsed.count("dry-run") != 0;
  Options.Json = Parsed.count("json") != 0;
  Options.DrainBalancer = Parsed.count("balancer") != 0;
  Options.Help = Parsed.count("help") != 0;
  Options.Version = Parsed.count("version") != 0;
  Options.MaxPolls = Parsed["count"].as<std::uint32_t>();
  Options.Timeout = readSeconds(Parsed, "timeout");
  Options.PollInterval = readSeconds(Parsed, "interval");
  Options.Servers = readServers(Parsed);
  Options.Token = readToken(Parsed, ReadVariable);
  return Options;
}

} // namespace

ctl_options parseCtlOptions(const std::vector<std::string> &Arguments,
                            const ctl_options::variable_reader &ReadVariable) {
  std::vector<const char *> Argv = {"briarpointctl"};
  for (const std::string &Argument : Arguments)
    Argv.push_back(Argument.c_str());
  try {
    return readOptions(makeParser().parse(static_cast<int>(Argv.size()), Argv.data()),
                       ReadVariable);
  } catch (const cxxopts::exceptions::exception &Error) {
    throw ctl_error(exit_code::Usage, Error.what());
  }
}

std::string readInputFile(const std::string &Name) {
  std::ostringstream Text;
  if (Name == "-") {
    Text << std::cin.rdbuf();
    return Text.str();
  }
  const std::ifstream File(Name, std::ios::binary);
  if (!File)
    throw ctl_error(exit_code::Usage, "cannot read the file \"" + Name + "\"");
  Text << File.rdbuf();
  return Text.str();
}

} // namespace briarpoint
