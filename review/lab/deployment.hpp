#ifndef REVIEW_LAB_DEPLOYMENT_HPP
#define REVIEW_LAB_DEPLOYMENT_HPP

#include "balancers.hpp"
#include "client.hpp"
#include "host.hpp"
#include "store.hpp"

#include <algorithm>
#include <ctime>
#include <set>

namespace lab {

/// Results of a case, as exit statuses.
enum : int { Held = 0, Broken = 1, CouldNotRun = 2 };

struct route_entry {
  std::string Name;
  std::uint32_t Address;
  std::uint16_t Port;
  std::string Service;
};

/// A small deployment on one loopback network: balancers, routers, hosts and the store.
class deployment {
public:
  static constexpr std::uint16_t PacketPort = 8172;
  static constexpr std::uint16_t ReadyPort = 8167;
  static constexpr std::uint16_t ControlPort = 8166;
  static constexpr std::uint16_t PeerPort = 7720;
  static constexpr std::uint16_t StorePort = 8169;
  static constexpr std::uint16_t HostPort = 8080;
  static constexpr std::uint16_t ServicePort = 443;
  static constexpr int MaxSeeds = 3;

  /// \p FirstSeed is the number of the first balancer that the seeds name. Seeds that name none are
  /// stale: nothing listens there.
  deployment(loop &Loop, record &Record, const std::string &Folder, int BalancerCount,
             double StaleLag, int FirstSeed = 1)
      : Loop(Loop), Record(Record), Store(Loop), Network(freeNetwork()) {
    for (int I = 0; I < BalancerCount; ++I) {
      Store.listenAt(address(9, I + 1), StorePort, StaleLag);
      fields Fields{{"node_name", "front-a-" + std::to_string(I + 1)},
                    {"zone", "a"},
                    {"region", "r"},
                    {"ip", dotted(address(1, I + 1))},
                    {"port_range.0", std::to_string(PeerPort)},
                    {"platform.address", dotted(address(9, I + 1), StorePort)},
                    {"platform.history_s", "20"},
                    {"bounds.grace_s", "6"},
                    {"bounds.max_flow_s", "60"},
                    {"bounds.drain_ms", "3000"},
                    {"bounds.config_apply_ms", "3000"},
                    {"bounds.contact_ms", "4000"},
                    {"listen.datagram_addr", dotted(address(1, I + 1), PacketPort)},
                    {"listen.ready_addr", dotted(address(1, I + 1), ReadyPort)}};
      for (int S = 0; S < std::min(BalancerCount, MaxSeeds); ++S)
        Fields["seeds." + std::to_string(S)] = dotted(address(1, FirstSeed + S), ControlPort);
      Balancers.push_back(
          std::make_shared<balancer>(Folder, Fields, address(1, I + 1), PacketPort, ReadyPort));
    }
  }

  std::uint32_t address(std::uint32_t Group, int Index) const {
    return 127U << 24 | Network << 16 | Group << 8 | static_cast<std::uint32_t>(Index);
  }

  host &addHost(const std::string &Service) {
    return addHost(Service, 0x7f3a0000ULL + static_cast<unsigned>(std::rand() & 0xfff) * 16 +
                                static_cast<unsigned>(HostCount + 1));
  }
  host &addHost(const std::string &Service, std::uint64_t Identity) {
    const int Number = ++HostCount;
    char Name[32];
    std::snprintf(Name, sizeof(Name), "i-%llx", static_cast<unsigned long long>(Identity));
    Hosts.push_back(std::make_unique<host>(Loop, Record, Name, Identity, Service,
                                           address(3, Number), HostPort, PacketPort));
    registerHost(*Hosts.back(), "ready");
    return *Hosts.back();
  }
  void registerHost(const host &Host, const std::string &State) {
    Store.put("servers", Host.Name,
              "{\"service\":\"" + Host.Service + "\",\"address\":\"" + Host.address() +
                  "\",\"zone\":\"a\",\"version\":\"v1\",\"max_concurrency\":" +
                  std::to_string(Host.Slots) + ",\"state\":\"" + State +
                  "\",\"warmup_left_ms\":0,\"sequence\":1,\"born\":1764930000000}");
  }

  /// Writes the configuration with all routes. The return is the acknowledgement.
  void writeConfiguration() {
    std::string Text;
    for (const route_entry &Route : Routes)
      Text += std::string(Text.empty() ? "" : ",") + "{\"name\":\"" + Route.Name +
              "\",\"hostname\":\"" + dotted(Route.Address) + "\",\"path_prefix\":\"/" +
              std::to_string(Route.Port) +
              "/\",\"type\":\"safe\",\"timeout_ms\":" + std::to_string(TimeoutMs) +
              ",\"latency_slo_ms\":200,\"priority\":2,"
              "\"service\":\"" +
              Route.Service + "\",\"max_attempts\":2}";
    std::set<std::string> Services;
    for (const route_entry &Route : Routes)
      Services.insert(Route.Service);
    std::string ServiceText;
    for (const std::string &Service : Services)
      ServiceText += std::string(ServiceText.empty() ? "" : ",") + "{\"name\":\"" + Service +
                     "\",\"health_path\":\"/health\",\"max_conns\":4286,\"protocol\":\"h1\","
                     "\"tls\":false}";
    Version += 2;
    Store.put("config", "main",
              "{\"version\":" + std::to_string(Version) + ",\"routes\":[" + Text +
                  "],\"services\":[" + ServiceText +
                  "],\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":262144,"
                  "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}");
  }

  /// Starts the balancers one after the other, with a pause between two of them.
  void start(double Pause = 0) {
    for (std::size_t I = 0; I < Balancers.size(); ++I) {
      Restarting.insert(Balancers[I].get());
      Loop.after(Pause * static_cast<double>(I), [this, I] {
        Restarting.erase(Balancers[I].get());
        Balancers[I]->start();
      });
    }
    Routers = std::make_unique<routers>(Loop, Balancers);
  }

  /// Starts stopped processes again after a short delay, as the platform does. Call it regularly.
  void restartEnded() {
    for (const auto &Balancer : Balancers) {
      if (Restarting.contains(Balancer.get()) || Balancer->running())
        continue;
      if (!(WIFEXITED(Balancer->LastStatus) && WEXITSTATUS(Balancer->LastStatus) == 0) &&
          !WIFSIGNALED(Balancer->LastStatus)) {
        Record.line(Balancer->Name + " ended by itself");
        ++EndedByThemselves;
      }
      Restarting.insert(Balancer.get());
      Loop.after(RestartDelay + RestartSpread * (std::rand() % 1000) / 1000, [this, Balancer] {
        Restarting.erase(Balancer.get());
        Record.line(Balancer->Name + " starts again");
        Balancer->start();
      });
    }
  }

  const host *holder(const flow_key &Flow) const {
    for (const auto &Host : Hosts)
      if (Host->holdsOpen(Flow))
        return Host.get();
    return nullptr;
  }
  std::string balancerName(std::uint32_t Address) const {
    for (const auto &Balancer : Balancers)
      if (Balancer->Address == Address)
        return Balancer->Name;
    return "none";
  }

  loop &Loop;
  record &Record;
  store Store;
  std::vector<std::shared_ptr<balancer>> Balancers;
  std::unique_ptr<routers> Routers;
  std::vector<std::unique_ptr<host>> Hosts;
  std::vector<route_entry> Routes;
  std::uint64_t Version = 1;
  int TimeoutMs = 2000;
  /// From the end of a process until it is started again; a random part of the spread is added.
  double RestartDelay = 300;
  double RestartSpread = 0;
  int EndedByThemselves = 0;

private:
  /// Returns the second byte of a loopback network whose ports are free.
  static std::uint32_t freeNetwork() {
    std::srand(static_cast<unsigned>(std::time(nullptr)) ^ static_cast<unsigned>(getpid()) << 8);
    for (int Try = 0; Try < 100; ++Try) {
      const auto Candidate = static_cast<std::uint32_t>(20 + std::rand() % 200);
      try {
        for (const std::uint16_t Port : {ReadyPort, StorePort, std::uint16_t{9464}})
          for (const std::uint32_t Group : {1U, 9U})
            close(openSocket(SOCK_STREAM, 127U << 24 | Candidate << 16 | Group << 8 | 1, Port));
        return Candidate;
      } catch (const std::runtime_error &) {
      }
    }
    throw std::runtime_error("no free loopback network");
  }

  std::uint32_t Network;
  int HostCount = 0;
  std::set<const balancer *> Restarting;
};

/// Whether the case runs with its disruption.
inline bool trouble() {
  const char *Value = std::getenv("TROUBLE");
  return Value == nullptr || std::string(Value) != "0";
}

/// Runs a case and returns its exit status. Arguments: the record file and a temporary folder.
template <typename T> int runCase(int ArgumentCount, char **Arguments, T &&Run) {
  if (ArgumentCount != 3)
    return CouldNotRun;
  try {
    loop Loop;
    record Record(Loop, Arguments[1]);
    try {
      return Run(Loop, Record, std::string(Arguments[2]));
    } catch (const std::exception &Error) {
      Record.line(std::string("could not run: ") + Error.what());
    }
  } catch (const std::exception &) {
  }
  return CouldNotRun;
}

} // namespace lab

#endif // REVIEW_LAB_DEPLOYMENT_HPP
