// An entry of another writer whose name ends in the id of a host.
#include "lab.hpp"

using namespace lab;

namespace {

constexpr int MachineCount = 4;
constexpr int HostCount = 6;
/// Times in seconds.
constexpr double WriteAt = 8;
constexpr double EndAt = 20;

int Violations = 0;
int LostRequests = 0;
int RequestNumber = 0;
int StrayPackets = 0;
std::vector<std::unique_ptr<host>> Hosts;
std::vector<std::unique_ptr<client>> Clients;

/// FLOW: a reset that the flow's host didn't send, while that host holds the flow. Nothing is
/// impaired in this case.
void checkReset(client_flow &Flow, const packet &, const address &Sender) {
  const auto Found = std::find_if(Hosts.begin(), Hosts.end(),
                                  [&](const auto &Host) { return Host->holds(Flow.key()); });
  const bool Counted = Found != Hosts.end();
  Violations += Counted ? 1 : 0;
  LostRequests += Counted && !Flow.Pending.empty() ? 1 : 0;
  record("client flow=%s RESET by the system from=%s host=%s pending=%s counted=%d",
         text(address{Flow.Owner.Ip, Flow.Port}).c_str(), text(Sender).c_str(),
         Counted ? (*Found)->Id.c_str() : "none",
         Flow.Pending.empty() ? "none" : Flow.Pending.c_str(), Counted);
}

/// Sends a request, waits for the answer, pauses, and opens another flow when one ends.
void useFlow(client &Client) {
  client_flow &Flow = Client.openFlow();
  const auto Next = [&Flow] {
    after(uniform(0.1, 0.6), [&Flow] {
      if (Flow.idle())
        Flow.send("r" + std::to_string(++RequestNumber));
    });
  };
  Flow.OnOpen = Next;
  Flow.OnAnswer = Next;
  Flow.OnEnd = [&Client] { after(0.1, [&Client] { useFlow(Client); }); };
}

} // namespace

int main(int Count, char **Arguments) {
  if (Count != 2)
    return 2;
  const bool Trouble = std::getenv("TROUBLE") == nullptr || string(std::getenv("TROUBLE")) != "0";
  prepare(Arguments[1]);
  Deployment.Evacuations = true;
  const address StoreAddress{ip(4, 1), std::uint16_t(Deployment.Port + 5)};
  const address Service{ip(5, 1), 8443};
  const address Agent{ip(6, 1), std::uint16_t(Deployment.Port + 5)};
  store Store(StoreAddress);
  configure(Store, Service, "desk-core");
  const auto Work = [] {
    return std::clamp(std::lognormal_distribution<double>(-2.75, 0.5)(Random), 0.01, 0.43);
  };
  for (int I = 1; I <= HostCount; ++I) {
    Hosts.push_back(std::make_unique<host>(I, "desk-core", "bay-ost-a", 2, Work));
    Store.write("servers", Hosts.back()->Id, Hosts.back()->entry("ready"));
  }
  // The other writer's program. It knows nothing of flows.
  const int AgentSocket = openSocket(SOCK_DGRAM, Agent);
  if (AgentSocket < 0)
    unableToRun("the agent's port isn't free");
  lab::watch(AgentSocket, POLLIN, [AgentSocket] {
    string Bytes;
    address From;
    while (receiveFrom(AgentSocket, Bytes, From)) {
      ++StrayPackets;
      record("agent got a packet of %zu bytes from=%s", Bytes.size(), text(From).c_str());
    }
  });
  for (int I = 1; I <= MachineCount; ++I)
    Machines.push_back(std::make_unique<machine>(I, "bay-ost-a", "bay-ost", StoreAddress,
                                                 std::vector<int>{1, 2, 3}));
  for (const auto &Machine : Machines)
    Machine->start();
  superviseAll();
  router Router(Machines);
  runUntil(3);
  for (const auto &Machine : Machines)
    if (!Machine->Ready)
      unableToRun("a machine isn't ready");
  for (int I = 1; I <= 4; ++I) {
    Clients.push_back(std::make_unique<client>(I, Service, Router, checkReset));
    for (int J = 0; J < 10; ++J)
      useFlow(*Clients.back());
  }
  runUntil(WriteAt);
  if (Trouble)
    Store.write("servers", "agent-" + Hosts.front()->Id,
                {{"service", "node-agent"},
                 {"address", text(Agent)},
                 {"zone", "bay-ost-a"},
                 {"version", "v3"},
                 {"max_concurrency", 1},
                 {"state", "ready"},
                 {"warmup_left_ms", 0},
                 {"sequence", 1}});
  runUntil(EndAt);
  record("violations=%d lost requests=%d packets at the agent=%d", Violations, LostRequests,
         StrayPackets);
  std::printf("FLOW violations: %d, requests lost by them: %d, packets at the agent: %d\n",
              Violations, LostRequests, StrayPackets);
  finishRun(Violations > 0 ? 1 : 0);
}
