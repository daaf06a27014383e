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

duration readSeconds(const cxxopts::ParseResult &Given, const char *Name) {
  const double Seconds = Given[Name].as<double>();
  constexpr double Day = 86'400;
  if (!(Seconds > 0 && Seconds <= Day))
    throw ctl_error(exit_code::Usage,
                    std::string("--") + Name + " must be above 0 and at most 86400 seconds");
  return std::chrono::duration_cast<duration>(std::chrono::duration<double>(Seconds));
}

std::vector<endpoint> readServers(const cxxopts::ParseResult &Given) {
  std::vector<std::string> Texts = {DefaultServer};
  if (Given.count("server") != 0)
    Texts = Given["server"].as<std::vector<std::string>>();
  std::vector<endpoint> Servers;
  for (const std::string &Text : Texts) {
    const std::optional<endpoint> Server = parseEndpoint(Text);
    if (!Server)
      throw ctl_error(exit_code::Usage, "--server must be ADDRESS:PORT, not \"" + Text + "\"");
    Servers.push_back(*Server);
  }
  return Servers;
}

secret readToken(const cxxopts::ParseResult &Given, const ctl_options::variable_reader &Variable) {
  if (Given.count("token") != 0)
    return secret(Given["token"].as<std::string>());
  if (const std::optional<std::string> Value = Variable("BRIARPOINT_TOKEN"))
    return secret(*Value);
  if (Given.count("token-file") == 0)
    return {};
  std::string Text = readInputFile(Given["token-file"].as<std::string>());
  Text.erase(Text.find_last_not_of(" \t\r\n") + 1);
  return secret(std::move(Text));
}

ctl_options readOptions(const cxxopts::ParseResult &Given,
                        const ctl_options::variable_reader &Variable) {
  ctl_options Options;
  if (Given.count("command") != 0)
    Options.Command = Given["command"].as<std::string>();
  if (Given.count("arguments") != 0)
    Options.Arguments = Given["arguments"].as<std::vector<std::string>>();
  if (Given.count("file") != 0)
    Options.File = Given["file"].as<std::string>();
  if (Given.count("id") != 0)
    Options.Id = Given["id"].as<std::string>();
  if (Given.count("base") != 0)
    Options.Base = Given["base"].as<config_version>();
  Options.DryRun = Given.count("dry-run") != 0;
  Options.Json = Given.count("json") != 0;
  Options.Balancer = Given.count("balancer") != 0;
  Options.Help = Given.count("help") != 0;
  Options.Version = Given.count("version") != 0;
  Options.Count = Given["count"].as<std::uint32_t>();
  Options.Timeout = readSeconds(Given, "timeout");
  Options.PollInterval = readSeconds(Given, "interval");
  Options.Servers = readServers(Given);
  Options.Token = readToken(Given, Variable);
  return Options;
}

} // namespace

ctl_options parseCtlOptions(const std::vector<std::string> &Arguments,
                            const ctl_options::variable_reader &Variable) {
  std::vector<const char *> Pointers = {"briarpointctl"};
  for (const std::string &Argument : Arguments)
    Pointers.push_back(Argument.c_str());
  try {
    return readOptions(makeParser().parse(static_cast<int>(Pointers.size()), Pointers.data()),
                       Variable);
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
    throw ctl_error(exit_code::Usage, "can't read the file \"" + Name + "\"");
  Text << File.rdbuf();
  return Text.str();
}

} // namespace briarpoint
