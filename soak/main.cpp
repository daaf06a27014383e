#include "soak/scenario.h"

#include <cxxopts.hpp>

#include <csignal>
#include <cstdio>

namespace {

int run(int ArgumentCount, char **Arguments) {
  cxxopts::Options Options("soak",
                           "Runs forwarders under random faults and checks their guarantees");
  Options.add_options()("seed", "Seed of all random choices",
                        cxxopts::value<std::uint64_t>()->default_value("1"))(
      "seconds", "Length of the run", cxxopts::value<int>()->default_value("30"))(
      "program", "Path of the forwarder program", cxxopts::value<std::string>())(
      "folder", "Folder for settings and logs",
      cxxopts::value<std::string>())("network", "N of the loopback addresses 127.N.x.y",
                                     cxxopts::value<std::uint32_t>()->default_value("77"))(
      "untimed", "Skip checks that depend on the speed of this machine")("help", "Show this help");
  const cxxopts::ParseResult Parsed = Options.parse(ArgumentCount, Arguments);
  if (Parsed.count("help") != 0 || Parsed.count("program") == 0 || Parsed.count("folder") == 0) {
    std::puts(Options.help().c_str());
    return Parsed.count("help") != 0 ? 0 : 2;
  }
  briarpoint::soak::scenario_settings Settings;
  Settings.Seed = Parsed["seed"].as<std::uint64_t>();
  Settings.Length = std::chrono::seconds(Parsed["seconds"].as<int>());
  Settings.Program = Parsed["program"].as<std::string>();
  Settings.Folder = Parsed["folder"].as<std::string>();
  Settings.Network = Parsed["network"].as<std::uint32_t>();
  Settings.CheckTiming = Parsed.count("untimed") == 0;
  return briarpoint::soak::scenario(Settings).run() ? 0 : 1;
}

} // namespace

int main(int ArgumentCount, char **Arguments) {
  std::signal(SIGPIPE, SIG_IGN);
  try {
    return run(ArgumentCount, Arguments);
  } catch (const std::exception &Error) {
    std::fprintf(stderr, "soak: %s\n", Error.what());
    return 2;
  }
}
