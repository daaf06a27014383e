#include "base/findings_error.h"
#include "base/seeded_random.h"
#include "io/http_server.h"
#include "io/time_source.h"
#include "standins/balancer_list.h"
#include "standins/geneve_socket.h"
#include "standins/target_standin.h"

#include <cxxopts.hpp>

#include <csignal>
#include <iostream>

namespace briarpoint {
namespace {

/// Sockets, clock and HTTP interface around a target_standin.
class target_program {
public:
  target_program(const target_settings &Settings, const endpoint &Tunnel, const endpoint &Health,
                 const std::string &BalancerFile)
      : Target(Settings, Clock.now()), Vni(Settings.Vni), Balancers(BalancerFile),
        Random(Settings.Vni + Tunnel.Address.Bytes[3]), Socket(Tunnel),
        Server(Loop, Health, {},
               [this](const incoming_request &Request, const http_responder &Respond) {
                 Respond(handleHttp(Request));
               }) {
    Loop.onReadable(Socket.descriptor(), [this] { handlePackets(); });
    Loop.onInterval(std::chrono::milliseconds(200), [this] { Balancers.reload(); });
    for (const int Signal : {SIGTERM, SIGINT})
      Loop.onSignal(Signal, [this] { Loop.stop(); });
  }

  void run() {
    Loop.run();
    std::cout << Target.countersJson() << std::endl;
  }

private:
  void handlePackets() {
    Socket.receive([this](std::span<const std::byte> Payload) {
      for (const auto &Reply : Target.handlePacket(Payload, Clock.now()))
        Socket.send(Balancers.pick(Random), Vni, Reply);
    });
    Socket.flush();
  }

  http_response handleHttp(const incoming_request &Request) {
    if (Request.Path == "/health") {
      const std::string Body = Target.health(Clock.now());
      return Body.empty() ? http_response{500, {}, ""} : http_response{200, {}, Body};
    }
    if (Request.Path == "/counters")
      return {200, {}, Target.countersJson()};
    if (Request.Path != "/faults" || Request.Method != "POST")
      return {404, {}, ""};
    try {
      Target.setFaults(Request.Body, Clock.now());
      return {200, {}, "{}"};
    } catch (const findings_error &Error) {
      return {422, {}, Error.what()};
    }
  }

  steady_time_source Clock;
  event_loop Loop;
  target_standin Target;
  std::uint32_t Vni;
  balancer_list Balancers;
  seeded_random Random;
  geneve_socket Socket;
  http_server Server;
};

endpoint requireEndpoint(const std::string &Text) {
  const std::optional<endpoint> Endpoint = parseEndpoint(Text);
  if (!Endpoint)
    throw std::runtime_error("endpoint must be ADDRESS:PORT, not \"" + Text + "\"");
  return *Endpoint;
}

int runTarget(int ArgumentCount, char **Arguments) {
  cxxopts::Options Options("target_standin", "Simulated target of a service");
  Options.add_options()("name", "Name of the target", cxxopts::value<std::string>())(
      "vni", "Geneve virtual network identifier of the service",
      cxxopts::value<std::uint32_t>())("tunnel", "Geneve endpoint", cxxopts::value<std::string>())(
      "health", "HTTP endpoint for health, counters and faults",
      cxxopts::value<std::string>())("slots", "Requests served at the same time",
                                     cxxopts::value<std::uint32_t>()->default_value("2"))(
      "balancers", "File with the balancers' data endpoints", cxxopts::value<std::string>())(
      "faults", "Faults as JSON", cxxopts::value<std::string>()->default_value("{}"))("help",
                                                                                      "Help");
  const cxxopts::ParseResult Parsed = Options.parse(ArgumentCount, Arguments);
  if (Parsed.count("help") != 0) {
    std::cout << Options.help();
    return 0;
  }
  target_settings Settings;
  Settings.Name = Parsed["name"].as<std::string>();
  Settings.Vni = Parsed["vni"].as<std::uint32_t>();
  Settings.Slots = Parsed["slots"].as<std::uint32_t>();
  Settings.Faults = parseFaults(Parsed["faults"].as<std::string>(), {});
  target_program(Settings, requireEndpoint(Parsed["tunnel"].as<std::string>()),
                 requireEndpoint(Parsed["health"].as<std::string>()),
                 Parsed["balancers"].as<std::string>())
      .run();
  return 0;
}

} // namespace
} // namespace briarpoint

int main(int ArgumentCount, char **Arguments) {
  try {
    return briarpoint::runTarget(ArgumentCount, Arguments);
  } catch (const std::exception &Error) {
    std::cerr << "target_standin: " << Error.what() << "\n";
    return 2;
  }
}
