#include "base/seeded_random.h"
#include "io/event_loop.h"
#include "io/time_source.h"
#include "net/geneve.h"
#include "standins/balancer_list.h"
#include "standins/geneve_socket.h"
#include "standins/traffic_standin.h"

#include <cxxopts.hpp>

#include <csignal>
#include <iostream>
#include <sstream>

namespace briarpoint {
namespace {

/// Sockets and clock around a traffic_standin, which simulates fabric and callers in one process.
class traffic_program {
public:
  traffic_program(const traffic_settings &Settings, const endpoint &Fabric,
                  const std::string &BalancerFile)
      : Traffic(Settings, Clock.now()), Balancers(BalancerFile), Random(Settings.Seed),
        Socket(Fabric) {
    Loop.onReadable(Socket.descriptor(), [this] { receive(); });
    Loop.onInterval(std::chrono::milliseconds(10), [this] {
      Traffic.tick(Clock.now());
      send();
      if (Traffic.finished())
        Loop.stop();
    });
    Loop.onInterval(std::chrono::milliseconds(200), [this] { Balancers.reload(); });
    for (const int Signal : {SIGTERM, SIGINT})
      Loop.onSignal(Signal, [this] { Loop.stop(); });
  }

  traffic_result run() {
    Loop.run();
    return Traffic.result();
  }

private:
  void receive() {
    Socket.receive([this](std::span<const std::byte> Payload) {
      const std::optional<geneve_view> Outer = parseGeneve(Payload);
      Traffic.handlePacket(Outer ? Outer->Inner : std::span<const std::byte>(), Clock.now());
    });
    send();
  }

  /// Sprays each packet to a random balancer.
  void send() {
    for (const auto &Packet : Traffic.takeOutgoing())
      Socket.send(Balancers.pick(Random), 0, Packet);
    Socket.flush();
  }

  steady_time_source Clock;
  event_loop Loop;
  traffic_standin Traffic;
  balancer_list Balancers;
  seeded_random Random;
  geneve_socket Socket;
};

endpoint requireEndpoint(const std::string &Text) {
  const std::optional<endpoint> Endpoint = parseEndpoint(Text);
  if (!Endpoint)
    throw std::runtime_error("endpoint must be ADDRESS:PORT, not \"" + Text + "\"");
  return *Endpoint;
}

/// Parses "name,vni,tcp endpoint,udp endpoint".
traffic_service parseService(const std::string &Text) {
  std::istringstream Stream(Text);
  std::string Name;
  std::string Vni;
  std::string Tcp;
  std::string Udp;
  std::getline(Stream, Name, ',');
  std::getline(Stream, Vni, ',');
  std::getline(Stream, Tcp, ',');
  std::getline(Stream, Udp, ',');
  return {Name, static_cast<std::uint32_t>(std::stoul(Vni)), requireEndpoint(Tcp),
          requireEndpoint(Udp)};
}

int runTraffic(int ArgumentCount, char **Arguments) {
  cxxopts::Options Options("traffic_standin", "Simulated fabric and callers");
  // A service contains commas, which cxxopts would split in a list; so each is a separate option.
  Options.add_options()("service-a", "name,vni,tcp endpoint,udp endpoint",
                        cxxopts::value<std::string>()->default_value(""))(
      "service-b", "Second service", cxxopts::value<std::string>()->default_value(""))(
      "fabric", "Endpoint of the fabric", cxxopts::value<std::string>())(
      "balancers", "File with the balancers' data endpoints", cxxopts::value<std::string>())(
      "tcp-flows", "TCP flows per service", cxxopts::value<std::uint32_t>()->default_value("200"))(
      "udp-flows", "UDP flows per service", cxxopts::value<std::uint32_t>()->default_value("100"))(
      "open-over", "Seconds over which flows are opened",
      cxxopts::value<int>()->default_value("10"))(
      "requests", "Requests per flow", cxxopts::value<std::uint32_t>()->default_value("5"))(
      "pause-ms", "Pause between requests in milliseconds",
      cxxopts::value<int>()->default_value("500"))(
      "drained", "Comma-separated targets that don't count for the imbalance",
      cxxopts::value<std::vector<std::string>>()->default_value(""))(
      "seed", "Seed", cxxopts::value<std::uint64_t>()->default_value("1"))("help", "Help");
  const cxxopts::ParseResult Parsed = Options.parse(ArgumentCount, Arguments);
  if (Parsed.count("help") != 0) {
    std::cout << Options.help();
    return 0;
  }
  traffic_settings Settings;
  for (const char *const Name : {"service-a", "service-b"})
    if (const auto Text = Parsed[Name].as<std::string>(); !Text.empty())
      Settings.Services.push_back(parseService(Text));
  if (Settings.Services.empty())
    throw std::runtime_error("no service given; --service-a or --service-b is required");
  Settings.TcpFlows = Parsed["tcp-flows"].as<std::uint32_t>();
  Settings.UdpFlows = Parsed["udp-flows"].as<std::uint32_t>();
  Settings.OpeningPeriod = std::chrono::seconds(Parsed["open-over"].as<int>());
  Settings.Requests = Parsed["requests"].as<std::uint32_t>();
  Settings.Pause = std::chrono::milliseconds(Parsed["pause-ms"].as<int>());
  Settings.Drained = Parsed["drained"].as<std::vector<std::string>>();
  Settings.Seed = Parsed["seed"].as<std::uint64_t>();
  const traffic_result Result =
      traffic_program(Settings, requireEndpoint(Parsed["fabric"].as<std::string>()),
                      Parsed["balancers"].as<std::string>())
          .run();
  std::cout << toJson(Result) << std::endl;
  return Result.Finished == Result.Flows ? 0 : 1;
}

} // namespace
} // namespace briarpoint

int main(int ArgumentCount, char **Arguments) {
  try {
    return briarpoint::runTraffic(ArgumentCount, Arguments);
  } catch (const std::exception &Error) {
    std::cerr << "traffic_standin: " << Error.what() << "\n";
    return 2;
  }
}
