// Large entries of another writer, while watches are answered with all changes at once.
#include "lab.hpp"

using namespace lab;

namespace {

constexpr int MachineCount = 4;
constexpr int HostCount = 6;
constexpr int ForeignEntries = 12;
/// Below `value_bytes`, 1,048,576, with the object's other fields.
constexpr std::size_t TextSize = 1'040'000;
/// `drain_ms` in seconds.
constexpr double DrainTime = 5;
/// Times in seconds.
constexpr double WriteAt = 8;
constexpr double DrainAt = 11;
constexpr double EndAt = 30;

int Violations = 0;
int Opened = 0;
int RequestNumber = 0;
double DrainAckedAt = 1e9;
double Latest = 0;
std::vector<std::unique_ptr<host>> Hosts;
std::vector<std::unique_ptr<client>> Clients;

/// Opens a flow, sends one request on it, closes it, and goes on.
void useFlow(client &Client) {
  client_flow &Flow = Client.openFlow();
  Flow.OnOpen = [&Flow] { Flow.send("r" + std::to_string(++RequestNumber)); };
  const auto Next = [&Client] { after(uniform(0.05, 0.3), [&Client] { useFlow(Client); }); };
  Flow.OnAnswer = [&Flow, Next] {
    // DRAIN: the host took an opening packet that its client sent later than `drain_ms` after the
    // store acknowledged that the host is draining.
    if (Hosts.front()->holds(Flow.key()) && Flow.FirstSentAt > DrainAckedAt) {
      const double Late = Flow.FirstSentAt - DrainAckedAt;
      Latest = std::max(Latest, Late);
      Violations += Late > DrainTime ? 1 : 0;
      record("draining host took flow=%s sent %.3f s after the ack through=%s counted=%d",
             text(Flow.key().first).c_str(), Late, Flow.LastMachine->Name.c_str(),
             Late > DrainTime);
    }
    ++Opened;
    Flow.close();
    Next();
  };
  Flow.OnEnd = Next;
}

} // namespace

int main(int Count, char **Arguments) {
  if (Count != 2)
    return 2;
  const bool Trouble = std::getenv("TROUBLE") == nullptr || string(std::getenv("TROUBLE")) != "0";
  prepare(Arguments[1]);
  Deployment.MemoryMb = 190;
  const address StoreAddress{ip(4, 1), std::uint16_t(Deployment.Port + 5)};
  const address Service{ip(5, 1), 8443};
  store Store(StoreAddress);
  Store.UnboundedWatches = true;
  configure(Store, Service, "hauptbuch");
  const auto Work = [] {
    return std::clamp(std::lognormal_distribution<double>(-3.25, 0.5)(Random), 0.01, 0.26);
  };
  for (int I = 1; I <= HostCount; ++I) {
    Hosts.push_back(std::make_unique<host>(I, "hauptbuch", "muc-nord", 2, Work));
    Store.write("servers", Hosts.back()->Id, Hosts.back()->entry("ready"));
  }
  for (int I = 1; I <= MachineCount; ++I)
    Machines.push_back(
        std::make_unique<machine>(I, "muc-nord", "muc", StoreAddress, std::vector<int>{1, 2, 3}));
  for (const auto &Machine : Machines)
    Machine->start();
  superviseAll();
  router Router(Machines);
  runUntil(3);
  for (const auto &Machine : Machines)
    if (!Machine->Ready)
      unableToRun("a machine isn't ready");
  for (int I = 1; I <= 4; ++I) {
    Clients.push_back(std::make_unique<client>(
        I, Service, Router, [](client_flow &, const packet &, const address &) {}));
    for (int J = 0; J < 8; ++J)
      useFlow(*Clients.back());
  }
  if (Trouble)
    for (int I = 0; I < ForeignEntries; ++I)
      at(WriteAt + 0.05 * I, [I, &Store] {
        Store.write("servers", "report-" + std::to_string(I) + "z", string(TextSize, 'x'));
      });
  // Planned work, also with TROUBLE=0: a host begins to drain. It serves on until the end.
  at(DrainAt, [&Store] {
    Store.write("servers", Hosts.front()->Id, Hosts.front()->entry("draining"));
    DrainAckedAt = now() + store::AnswerTime;
  });
  runUntil(EndAt);
  for (const auto &Machine : Machines)
    if (Machine->MemoryEnds > 0)
      record("machine=%s memory_ends=%d", Machine->Name.c_str(), Machine->MemoryEnds);
  record("flows=%d violations=%d latest=%.3f s after the ack", Opened, Violations, Latest);
  std::printf("DRAIN violations: %d of %d flows, the latest sent %.3f s after the ack\n",
              Violations, Opened, Latest);
  finishRun(Violations > 0 ? 1 : 0);
}
