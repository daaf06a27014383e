// Entries of another writer among those of the hosts, of the largest size that the store takes.
#include "lab.hpp"

using namespace lab;

namespace {

constexpr int MachineCount = 4;
constexpr int HostCount = 6;
constexpr int ForeignEntries = 4;
/// Below `value_bytes`, 1,048,576, with the object's other fields.
constexpr std::size_t Numbers = 1'040'000;
/// Times in seconds.
constexpr double WriteAt = 6;
constexpr double RestartAt = 12;
constexpr double RestartGap = 1.3;
constexpr double EndAt = 32;
/// "on a tenth of the machines in use (two at least) processes end by themselves three times".
constexpr int MaxEnds = 3;
constexpr int MaxMachines = 2;

int RequestNumber = 0;
std::vector<std::unique_ptr<client>> Clients;
std::map<int, std::pair<int, int>> Windows;

/// Sends a request, waits for the answer, pauses, and opens another flow when one ends.
void useFlow(client &Client) {
  client_flow &Flow = Client.openFlow();
  const auto Next = [&Flow] {
    after(uniform(0.1, 0.4), [&Flow] {
      if (!Flow.idle())
        return;
      ++Windows[static_cast<int>(now() / 2)].first;
      Flow.send("r" + std::to_string(++RequestNumber));
    });
  };
  Flow.OnOpen = Next;
  Flow.OnAnswer = [Next] {
    ++Windows[static_cast<int>(now() / 2)].second;
    Next();
  };
  Flow.OnEnd = [&Client] { after(0.2, [&Client] { useFlow(Client); }); };
}

} // namespace

int main(int Count, char **Arguments) {
  if (Count != 2)
    return 2;
  const bool Trouble = std::getenv("TROUBLE") == nullptr || string(std::getenv("TROUBLE")) != "0";
  prepare(Arguments[1]);
  Deployment.MemoryMb = 182;
  Deployment.ChangeMs = 3000;
  Deployment.ContactMs = 4000;
  const address StoreAddress{ip(4, 1), std::uint16_t(Deployment.Port + 5)};
  const address Service{ip(5, 1), 8443};
  store Store(StoreAddress);
  configure(Store, Service, "inventory");
  std::vector<std::unique_ptr<host>> Hosts;
  for (int I = 1; I <= HostCount; ++I) {
    Hosts.push_back(std::make_unique<host>(I, "inventory", "riga-a", 3, [] { return 0.052; }));
    Store.write("servers", Hosts.back()->Id, Hosts.back()->entry("ready"));
  }
  for (int I = 1; I <= MachineCount; ++I)
    Machines.push_back(
        std::make_unique<machine>(I, "riga-a", "riga", StoreAddress, std::vector<int>{1, 2, 3}));
  for (const auto &Machine : Machines)
    Machine->start();
  superviseAll();
  router Router(Machines);
  runUntil(3);
  for (const auto &Machine : Machines)
    if (!Machine->Ready)
      unableToRun("a machine isn't ready");
  for (int I = 1; I <= 2; ++I) {
    Clients.push_back(std::make_unique<client>(
        I, Service, Router, [](client_flow &, const packet &, const address &) {}));
    for (int J = 0; J < 10; ++J)
      useFlow(*Clients.back());
  }
  if (Trouble)
    for (int I = 0; I < ForeignEntries; ++I)
      at(WriteAt + 0.2 * I, [I, &Store] {
        Store.write("servers", "samples-" + std::to_string(I), std::vector<int>(Numbers, 1));
      });
  // Planned work, also with TROUBLE=0: the machines are stopped and started in turn.
  for (int I = 0; I < MachineCount; ++I)
    at(RestartAt + I * RestartGap, [I] { Machines[I]->sendSignal(SIGTERM); });
  runUntil(EndAt);

  int Failed = 0;
  for (const auto &Machine : Machines) {
    record("machine=%s memory_ends=%d in_rotation=%d", Machine->Name.c_str(), Machine->MemoryEnds,
           Machine->Ready);
    Failed += Machine->MemoryEnds >= MaxEnds ? 1 : 0;
  }
  for (const auto &[Window, Requests] : Windows)
    record("seconds %d to %d: requests sent=%d answered=%d", Window * 2, Window * 2 + 2,
           Requests.first, Requests.second);
  std::printf("machines whose process exceeded its memory %d times: %d of %d\n", MaxEnds, Failed,
              MachineCount);
  finishRun(Failed >= MaxMachines ? 1 : 0);
}
