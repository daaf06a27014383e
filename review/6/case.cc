// A route is added and a forwarder is stopped by plan, while stale reads of the store are answered by two replicas.
#include "../lab-2/lab.hpp"

using namespace lab;

namespace {

constexpr std::uint16_t PacketPort = 8172;
constexpr std::uint32_t Forwarders = 12;
constexpr std::uint32_t Seeds = 3;
constexpr int Callers = 360;
constexpr int Rounds = 8;
/// Age of the older replica: "stale reads are x s (3) behind" (fleetbench kinds); the site file has up to 6.
constexpr double ReplicaAge = 3;
constexpr double RoundTime = 13;
constexpr double FirstRoundAt = 6;
/// Within a round: a host's entry and a time-out change, and then the route is added.
constexpr double HostChangeAt = 0;
constexpr double TimeoutChangeAt = 4;
constexpr double RouteAddedAt = 7.5;
/// The stop of the forwarder that holds most flows of the new route, after the ack of the route.
constexpr double StopDelay = 0.25;
constexpr double CheckInterval = 0.5;

struct node {
  std::unique_ptr<process> Process;
  address Packets;
  address Readiness;
  int Misses = 0;
  bool InRotation = true;
};

class deployment {
public:
  deployment(const std::string &Program, const std::string &RecordFile, const std::string &Folder, bool Trouble)
      : Trouble(Trouble), Block(0x7f000000U | static_cast<std::uint32_t>(16 + getpid() % 200) << 16),
        Record(RecordFile), Store(Loop, at(9, 1, 8169)), Socket(openSocket(SOCK_DGRAM, at(2, 1, PacketPort))) {
    for (std::uint32_t I = 1; I <= 4; ++I) {
      char Id[32];
      std::snprintf(Id, sizeof(Id), "i-1c0de%03x", I);
      Hosts.push_back(std::make_unique<host>(Loop, Record,
                                             host::settings{Id, "gate", at(3, I, 8080), "regina", PacketPort, 0.02}));
      Store.write("servers", Id, Hosts.back()->entry(1000));
    }
    writeConfiguration();
    for (std::uint32_t I = 1; I <= Forwarders; ++I)
      Nodes.push_back({std::make_unique<process>(Program, Folder, "front-" + std::to_string(I), settings(I)),
                       at(1, I, PacketPort), at(1, I, 8167)});
    Loop.watch(Socket, [this](short) { receiveAll(); });
  }

  int run() {
    // The first lists are of the present state; later stale reads may be of the older replica.
    for (std::size_t I = 0; I < Nodes.size(); ++I)
      Loop.at(0.15 * static_cast<double>(I), [this, I] { Nodes[I].Process->start(); });
    Loop.at(4, [this] { Store.setReplicaAge(ReplicaAge); });
    for (std::size_t I = 0; I < Nodes.size(); ++I)
      Loop.at(5 + CheckInterval * static_cast<double>(I) / static_cast<double>(Nodes.size()), [this, I] { check(I); });
    for (int Round = 0; Round < Rounds; ++Round)
      Loop.at(FirstRoundAt + RoundTime * Round, [this, Round] { startRound(Round); });
    Loop.runUntil(FirstRoundAt + RoundTime * Rounds + 0.5);
    for (const auto &Each : Nodes)
      Answering += Each.Process->running() ? 1 : 0;
    Record.line("flows opened: %d, requests answered: %d, flows broken: %d, forwarders running: %d", Opened, Answered,
                Broken, Answering);
    if (Opened < Callers * Rounds / 2 || Answering < static_cast<int>(Forwarders) - 1)
      return 2;
    return Broken > 0 ? 1 : 0;
  }

private:
  address at(std::uint32_t Kind, std::uint32_t Index, std::uint16_t Port) const {
    return {Block | Kind << 8 | Index, Port};
  }

  /// platform/settings.toml.template with the bounds of holmgren-units.
  std::string settings(std::uint32_t Index) const {
    const std::string Ip = ipText(at(1, Index, 0).Ip);
    std::string SeedList;
    for (std::uint32_t I = 1; I <= Seeds; ++I)
      SeedList += (I == 1 ? "\"" : ", \"") + ipText(at(1, I, 0).Ip) + ":8166\"";
    return "name = \"front-" + std::to_string(Index) +
           "\"\ndata_centre = \"regina\"\nregion = \"prairie\"\nstore = \"" + text(at(9, 1, 8169)) + "\"\nseeds = [" +
           SeedList +
           "]\nshutdown_time = \"6s\"\nflow_lifetime = \"60s\"\ndrain_time = \"3000ms\"\nconfiguration_time = "
           "\"3000ms\"\ncontact_time = \"4000ms\"\nhistory_time = \"20s\"\n[listen]\npackets = \"" +
           Ip + ":8172\"\nreadiness = \"" + Ip + ":8167\"\noperator = \"" + Ip + ":9464\"\npeers = \"" + Ip +
           ":7720\"\n";
  }

  void writeConfiguration() {
    json RouteList = json::array();
    for (int I = 0; I < Routes; ++I)
      RouteList.push_back({{"name", "r-" + std::to_string(I)},
                           {"hostname", "198.18.0." + std::to_string(I + 1)},
                           {"path_prefix", "/8080/"},
                           {"type", "unsafe"},
                           {"timeout_ms", 2500 + Version % 7},
                           {"latency_slo_ms", 150},
                           {"priority", 1},
                           {"service", "gate"},
                           {"max_attempts", 2}});
    Version += 3;
    Store.write("config", "main",
                {{"version", Version},
                 {"routes", RouteList},
                 {"services", {{{"name", "gate"}, {"health_path", "/health"}, {"max_conns", 4444}}}},
                 {"limits", {{"idle_timeout_ms", 15000}}}});
  }

  /// The routers' readiness request: twice a second; two misses end the use of a node, and a 200 begins it again.
  void check(std::size_t Index) {
    node &Node = Nodes[Index];
    const bool Ready = Node.Process->running() && readiness(Node.Readiness, 50) == 200;
    Node.Misses = Ready ? 0 : Node.Misses + 1;
    const bool InRotation = Ready || (Node.InRotation && Node.Misses < 2);
    if (InRotation != Node.InRotation)
      Record.line("forwarder %zu is %s rotation", Index + 1, InRotation ? "in" : "out of");
    Node.InRotation = InRotation;
    if (!Node.Process->running() && !Restarting.contains(Index)) {
      Restarting.insert(Index);
      Loop.after(0.5, [this, Index] {
        Nodes[Index].Process->start();
        Restarting.erase(Index);
      });
    }
    Loop.after(CheckInterval, [this, Index] { check(Index); });
  }

  /// Steady hashing over the nodes in rotation.
  std::size_t select(const address &Caller, const address &Service) const {
    std::size_t Best = Nodes.size();
    std::uint64_t BestWeight = 0;
    for (std::size_t I = 0; I < Nodes.size(); ++I) {
      const std::uint64_t Weight =
          mix(mix(Caller.Ip * 65536ULL + Caller.Port, Service.Ip * 65536ULL + Service.Port), I + 1);
      if (Nodes[I].InRotation && (Best == Nodes.size() || Weight > BestWeight)) {
        Best = I;
        BestWeight = Weight;
      }
    }
    return Best == Nodes.size() ? 0 : Best;
  }

  void startRound(int Round) {
    for (auto &Slot : Slots)
      Slot->finish();
    Loop.after(HostChangeAt, [this] { Store.write("servers", Hosts[0]->options().Id, Hosts[0]->entry(1000)); });
    Loop.after(TimeoutChangeAt, [this] { writeConfiguration(); });
    // Without the disruption, the route is added early, and all forwarders have it before callers use it.
    if (!Trouble)
      Loop.after(HostChangeAt, [this] {
        ++Routes;
        writeConfiguration();
      });
    Loop.after(RouteAddedAt, [this, Round] {
      if (Trouble) {
        ++Routes;
        writeConfiguration();
      }
      Service = {0xc6120000U + static_cast<std::uint32_t>(Routes), 8080};
      Record.line("round %d: the store acknowledges version %llu with the route of %s", Round,
                  static_cast<unsigned long long>(Version), text(Service).c_str());
      for (int I = 0; I < Callers; ++I)
        Loop.after(0.001 * I, [this, I, Round] { open(I, Round, now() + 5); });
    });
    if (Trouble)
      Loop.after(RouteAddedAt + StopDelay, [this] { stopOne(); });
  }

  void stopOne() {
    std::map<std::size_t, int> Held;
    for (const auto &Flow : Slots)
      if (Flow->status() == caller_flow::state::Open || Flow->status() == caller_flow::state::Waiting)
        ++Held[select(Flow->caller(), Flow->service())];
    std::size_t Most = Nodes.size() - 1;
    for (const auto &[Index, Count] : Held)
      if (Index >= Seeds && Count > Held[Most])
        Most = Index;
    Record.line("forwarder %zu with %d flows of the new route is stopped by plan", Most + 1, Held[Most]);
    Nodes[Most].Process->signal(SIGTERM);
  }

  /// Opens a flow for a caller; a refused one tries again from a new port.
  void open(int Index, int Round, double Until) {
    if (now() >= Until)
      return;
    const address Caller{at(2, 1, 0).Ip, static_cast<std::uint16_t>(2000 + NextPort++ % 60000)};
    auto Flow = std::make_unique<caller_flow>(
        Loop, Record, Socket, Caller, Service,
        [this, Service = Service](const address &From) { return Nodes[select(From, Service)].Packets; });
    caller_flow *const Pointer = Flow.get();
    ByCaller[Caller] = Pointer;
    All.push_back(std::move(Flow));
    if (static_cast<std::size_t>(Index) >= Slots.size())
      Slots.resize(static_cast<std::size_t>(Index) + 1, nullptr);
    Slots[static_cast<std::size_t>(Index)] = Pointer;
    follow(Pointer, Index, Round, Until, 0);
  }

  void follow(caller_flow *Flow, int Index, int Round, double Until, int Requests) {
    if (Flow->status() == caller_flow::state::Open && Flow->answered() == Requests) {
      Opened += Requests == 0 ? 1 : 0;
      Answered += Requests > 0 ? 1 : 0;
      const double Pause = 0.1 + 0.001 * static_cast<double>(Random() % 700);
      Loop.after(Pause, [this, Flow, Index, Round, Until, Requests] {
        Flow->request("round-" + std::to_string(Round) + "-" + std::to_string(Index) + "-" + std::to_string(Requests));
        follow(Flow, Index, Round, Until, Requests + 1);
      });
      return;
    }
    if (Flow->status() == caller_flow::state::Ended) {
      if (Slots[static_cast<std::size_t>(Index)] == Flow)
        Loop.after(0.05, [this, Index, Round, Until] { open(Index, Round, Until); });
      return;
    }
    Loop.after(0.01, [this, Flow, Index, Round, Until, Requests] { follow(Flow, Index, Round, Until, Requests); });
  }

  void receiveAll() {
    char Buffer[4096];
    for (ssize_t Size; (Size = ::recv(Socket, Buffer, sizeof(Buffer), 0)) > 0;) {
      packet P;
      if (!decode(std::string(Buffer, static_cast<std::size_t>(Size)), P))
        continue;
      const auto Found = ByCaller.find(P.To);
      if (Found == ByCaller.end() || Found->second->service() != P.From)
        continue;
      caller_flow &Flow = *Found->second;
      const bool Before = Flow.outcome().ForeignReset;
      Flow.receive(P, [this](const caller_flow &Each) {
        return std::any_of(Hosts.begin(), Hosts.end(),
                           [&](const auto &Host) { return Host->holds(Each.caller(), Each.service()); });
      });
      if (Before || !Flow.outcome().ForeignReset)
        continue;
      ++Broken;
      Record.line("FLOW broken: the open flow of %s to %s was reset by %s, of forwarder %zu; its host holds it",
                  text(Flow.caller()).c_str(), text(Flow.service()).c_str(), Flow.outcome().ResetBy.c_str(),
                  select(Flow.caller(), Flow.service()) + 1);
    }
  }

  bool Trouble;
  std::uint32_t Block;
  record Record;
  loop Loop;
  store Store;
  int Socket;
  std::mt19937 Random{std::random_device{}()};
  std::vector<std::unique_ptr<host>> Hosts;
  std::vector<node> Nodes;
  std::set<std::size_t> Restarting;
  std::uint64_t Version = 4;
  int Routes = 1;
  address Service;
  std::uint32_t NextPort = 0;
  std::vector<std::unique_ptr<caller_flow>> All;
  std::vector<caller_flow *> Slots;
  std::map<address, caller_flow *> ByCaller;
  int Opened = 0;
  int Answered = 0;
  int Broken = 0;
  int Answering = 0;
};

} // namespace

int main(int Count, char **Arguments) {
  if (Count != 4)
    return 2;
  const char *const Trouble = std::getenv("TROUBLE");
  try {
    return deployment(Arguments[1], Arguments[2], Arguments[3], Trouble == nullptr || std::string(Trouble) != "0")
        .run();
  } catch (const std::exception &Error) {
    std::fprintf(stderr, "%s\n", Error.what());
    return 2;
  }
}
