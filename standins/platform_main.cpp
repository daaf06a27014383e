#include "standins/platform_server.h"

#include <cxxopts.hpp>
#include <event2/event.h>

#include <csignal>
#include <cstdio>
#include <memory>
#include <optional>

namespace briarpoint::standins {

namespace {

int run(const endpoint &Listen, const std::string &Token) {
  const std::unique_ptr<event_base, decltype(&event_base_free)> Base(event_base_new(),
                                                                     &event_base_free);
  const platform_server Server(Base.get(), Listen, Token);
  const auto Stop = [](evutil_socket_t, short, void *Argument) {
    event_base_loopbreak(static_cast<event_base *>(Argument));
  };
  using event_handle = std::unique_ptr<event, decltype(&event_free)>;
  const event_handle Terminate(evsignal_new(Base.get(), SIGTERM, Stop, Base.get()), &event_free);
  const event_handle Interrupt(evsignal_new(Base.get(), SIGINT, Stop, Base.get()), &event_free);
  event_add(Terminate.get(), nullptr);
  event_add(Interrupt.get(), nullptr);
  std::printf("listening on %s\n", toString(Server.address()).c_str());
  std::fflush(stdout);
  event_base_dispatch(Base.get());
  return 0;
}

int parseAndRun(int ArgumentCount, char **Arguments) {
  cxxopts::Options Options("platform_standin", "Stand-in for the platform's object API");
  Options.add_options()("listen", "ADDRESS:PORT to listen on",
                        cxxopts::value<std::string>()->default_value("127.0.0.1:8500"))(
      "token", "Token that clients must send",
      cxxopts::value<std::string>()->default_value(""))("help", "Show this help");
  const cxxopts::ParseResult Parsed = Options.parse(ArgumentCount, Arguments);
  if (Parsed.count("help") != 0) {
    std::puts(Options.help().c_str());
    return 0;
  }
  const std::optional<endpoint> Listen = parseEndpoint(Parsed["listen"].as<std::string>());
  if (!Listen) {
    std::fprintf(stderr, "--listen must be ADDRESS:PORT, not \"%s\"\n",
                 Parsed["listen"].as<std::string>().c_str());
    return 2;
  }
  return run(*Listen, Parsed["token"].as<std::string>());
}

} // namespace

} // namespace briarpoint::standins

int main(int ArgumentCount, char **Arguments) {
  std::signal(SIGPIPE, SIG_IGN);
  try {
    return briarpoint::standins::parseAndRun(ArgumentCount, Arguments);
  } catch (const std::exception &Error) {
    std::fprintf(stderr, "platform_standin: %s\n", Error.what());
    return 1;
  }
}
