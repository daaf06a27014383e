// Idle flows of a host that was cut off for a moment, after a rolling restart of the machines.
#include "lab.hpp"

using namespace lab;

namespace {

/// Times in seconds.
constexpr double RestartAt = 1.2;
constexpr double RestartGap = 1.3;
constexpr int Restarted = 3;
constexpr double CutTime = 2.6;
constexpr double IdleTimeout = 15;
/// A run ends with the first round in which the rule was broken.
constexpr int Rounds = 5;
constexpr int BusyClients = 16;
constexpr int PausingClients = 16;
constexpr int HostCount = 36;
constexpr int CutHosts = 6;
constexpr int MachineCount = 6;

int Violations = 0;
int LostRequests = 0;
int RequestNumber = 0;
std::vector<std::unique_ptr<host>> Hosts;
std::vector<std::unique_ptr<client>> Clients;

host *hostOf(const flow_key &Key) {
  for (const auto &Host : Hosts)
    if (Host->holds(Key))
      return Host.get();
  return nullptr;
}

machine *machineAt(const address &Sender) {
  for (const auto &Machine : Machines)
    if (Machine->Ip == Sender.Ip)
      return Machine.get();
  return nullptr;
}

/// FLOW: a reset that the flow's host didn't send, while that host lives and neither it nor the
/// machines concerned were impaired in the contact time.
void checkReset(client_flow &Flow, const packet &, const address &Sender) {
  const double Now = now();
  const host *Host = hostOf(Flow.key());
  const machine *From = machineAt(Sender);
  const bool Counted = Host != nullptr && Host->unimpaired(Now) && From != nullptr &&
                       From->inTouch(Now) && Flow.LastMachine->inTouch(Now) &&
                       Now - Flow.OpenedAt < 60 && Now - Flow.LastPacketAt < IdleTimeout;
  Violations += Counted ? 1 : 0;
  LostRequests += Counted && !Flow.Pending.empty() ? 1 : 0;
  record("client flow=%s RESET by the system from=%s host=%s host_unimpaired=%d sender_in_touch=%d "
         "pending=%s counted=%d",
         text(address{Flow.Owner.Ip, Flow.Port}).c_str(),
         From == nullptr ? "?" : From->Name.c_str(), Host == nullptr ? "none" : Host->Id.c_str(),
         Host != nullptr && Host->unimpaired(Now), From != nullptr && From->inTouch(Now),
         Flow.Pending.empty() ? "none" : Flow.Pending.c_str(), Counted);
}

string nextRequest() { return "r" + std::to_string(++RequestNumber); }

/// A busy user: sends a request, waits for the answer, pauses, and opens another flow when one
/// ends.
void useFlow(client &Client) {
  client_flow &Flow = Client.openFlow();
  const auto Next = [&Flow] {
    after(uniform(0.3, 1.2), [&Flow] {
      if (Flow.idle())
        Flow.send(nextRequest());
    });
  };
  Flow.OnOpen = Next;
  Flow.OnAnswer = Next;
  Flow.OnEnd = [&Client] { after(0.05, [&Client] { useFlow(Client); }); };
}

/// Users send a request on each of their flows and pause; meanwhile machines are restarted in turn,
/// and hosts are cut off for a moment; then the users go on.
void playRound(bool Trouble, int Round) {
  const double T0 = now();
  record("round %d", Round);
  std::vector<client_flow *> Idle;
  for (int I = BusyClients; I < BusyClients + PausingClients; ++I)
    for (int J = 0; J < 30; ++J)
      at(T0 + uniform(0.2, 0.8), [I, &Idle] {
        client_flow &Flow = Clients[I]->openFlow();
        Flow.OnOpen = [&Flow] { Flow.send(nextRequest()); };
        Idle.push_back(&Flow);
      });
  // Planned work: three machines of six are stopped and started in turn.
  if (Trouble)
    for (int I = 0; I < Restarted; ++I)
      at(T0 + RestartAt + I * RestartGap, [I] { Machines[I]->sendSignal(SIGTERM); });
  runUntil(T0 + RestartAt + Restarted * RestartGap);

  // Six hosts of 36 are cut off: those with most idle flows.
  std::map<host *, int> Flows;
  for (const client_flow *Flow : Idle)
    if (host *Host = hostOf(Flow->key()); Host != nullptr && Flow->idle())
      ++Flows[Host];
  std::vector<std::pair<int, host *>> Ranked;
  for (const auto &[Host, Held] : Flows)
    Ranked.push_back({Held, Host});
  std::sort(Ranked.rbegin(), Ranked.rend());
  if (Ranked.size() < CutHosts)
    unableToRun("too few hosts have idle flows");
  Ranked.resize(CutHosts);
  const double CutAt = now();
  if (Trouble)
    for (const auto &[Held, Host] : Ranked)
      Host->setCut(true);
  runUntil(CutAt + CutTime);
  if (Trouble)
    for (const auto &[Held, Host] : Ranked)
      Host->setCut(false);

  // A contact time and more after the end of the cut, the users of these hosts go on, all at once.
  runUntil(now() + Deployment.ContactMs / 1000.0 + 0.2);
  for (const auto &[Held, Host] : Ranked) {
    std::size_t Resumed = 0;
    for (client_flow *Flow : Idle)
      if (Flow->idle() && hostOf(Flow->key()) == Host && Resumed < host::QueueSize + 2) {
        Flow->send(nextRequest());
        ++Resumed;
      }
    record("%zu users of host=%s go on", Resumed, Host->Id.c_str());
  }
  runUntil(now() + 3.2);
  for (client_flow *Flow : Idle)
    Flow->close();
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
  store Store(StoreAddress);
  configure(Store, Service, "desk-core");
  // Work of 72 ms on average, 430 ms at most.
  const auto Work = [] {
    return std::clamp(std::lognormal_distribution<double>(-2.75, 0.5)(Random), 0.01, 0.43);
  };
  for (int I = 1; I <= HostCount; ++I) {
    Hosts.push_back(std::make_unique<host>(I, "desk-core", "bay-ost-a", 2, Work));
    Store.write("servers", Hosts.back()->Id, Hosts.back()->entry("ready"));
  }
  for (int I = 1; I <= MachineCount; ++I)
    Machines.push_back(std::make_unique<machine>(I, "bay-ost-a", "bay-ost", StoreAddress,
                                                 std::vector<int>{1, 2, 3}));
  for (const auto &Machine : Machines)
    Machine->start();
  superviseAll();
  router Router(Machines);
  runUntil(4);
  for (const auto &Machine : Machines)
    if (!Machine->Ready)
      unableToRun("a machine isn't ready");

  for (int I = 1; I <= BusyClients + PausingClients; ++I)
    Clients.push_back(std::make_unique<client>(I, Service, Router, checkReset));
  for (int I = 0; I < BusyClients; ++I)
    for (int J = 0; J < 18; ++J)
      after(uniform(0, 1), [I] { useFlow(*Clients[I]); });
  runUntil(5.5);
  for (int Round = 1; Round <= Rounds && Violations == 0; ++Round)
    playRound(Trouble, Round);
  record("violations=%d lost requests=%d", Violations, LostRequests);
  std::printf("FLOW violations: %d, requests lost by them: %d\n", Violations, LostRequests);
  finishRun(Violations > 0 ? 1 : 0);
}
