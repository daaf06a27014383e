// Two hosts whose ids have the same flow token, and a store that is down until entries lapse: callers' open flows.
#include "../lab-2/lab.hpp"

using namespace lab;

namespace {

// Drawn at random until two had the same token (flow_token.h); a host's id is 32 random bits.
constexpr const char *OlderId = "i-3f85f98c";
constexpr const char *YoungerId = "i-e55435be";

constexpr std::uint16_t PacketPort = 8172;
constexpr double StoreDownAt = 12;
/// holmgren-units: `platform_down`, for_s = 4.5, how = "reset lapse".
constexpr double StoreDownFor = 4.5;
constexpr double StoreUpAt = StoreDownAt + StoreDownFor;
/// contact_ms of holmgren-units: from then on all machines are in touch again.
constexpr double InTouchAt = StoreUpAt + 4.0;
/// Callers' pause between two requests. Flows that are idle for less than idle_timeout_ms, 15 s, stay.
constexpr double FirstRequestAt = 9.5;
constexpr double SecondRequestAt = InTouchAt + 0.8;
constexpr double EndAt = SecondRequestAt + 4;
constexpr int Callers = 40;

struct deployment {
  std::uint32_t Block;
  address at(std::uint32_t Kind, std::uint32_t Index, std::uint16_t Port) const {
    return {Block | Kind << 8 | Index, Port};
  }
};

std::string settings(const deployment &Net, std::uint32_t Index) {
  const std::string Ip = ipText(Net.at(1, Index, 0).Ip);
  std::string Seeds;
  for (std::uint32_t I = 1; I <= 2; ++I)
    Seeds += (I == 1 ? "\"" : ", \"") + ipText(Net.at(1, I, 0).Ip) + ":8166\"";
  // platform/settings.toml.template with the bounds of holmgren-units.
  return "name = \"front-" + std::to_string(Index) + "\"\ndata_centre = \"regina\"\nregion = \"prairie\"\nstore = \"" +
         text(Net.at(9, 1, 8169)) + "\"\nseeds = [" + Seeds +
         "]\nshutdown_time = \"6s\"\nflow_lifetime = \"60s\"\ndrain_time = \"3000ms\"\nconfiguration_time = "
         "\"3000ms\"\ncontact_time = \"4000ms\"\nhistory_time = \"20s\"\n[listen]\npackets = \"" +
         Ip + ":8172\"\nreadiness = \"" + Ip + ":8167\"\noperator = \"" + Ip + ":9464\"\npeers = \"" + Ip +
         ":7720\"\n";
}

int run(const std::string &Program, const std::string &RecordFile, const std::string &Folder, bool Trouble) {
  record Record(RecordFile);
  loop Loop;
  const deployment Net{0x7f000000U | static_cast<std::uint32_t>(16 + getpid() % 200) << 16};
  const address Service{0xc6120001, 8080};

  store Store(Loop, Net.at(9, 1, 8169));
  std::vector<std::unique_ptr<host>> Hosts;
  const auto AddHost = [&](const char *Id, std::uint32_t Index) {
    Hosts.push_back(std::make_unique<host>(
        Loop, Record, host::settings{Id, "gate", Net.at(3, Index, 8080), "regina", PacketPort, 0.02}));
  };
  AddHost(OlderId, 1);
  AddHost(YoungerId, 2);
  AddHost("i-1c0de003", 3);
  AddHost("i-1c0de004", 4);
  for (const auto &Host : Hosts)
    Store.write("servers", Host->options().Id, Host->entry(1000));
  Store.write("config", "main",
              {{"version", 7},
               {"routes",
                {{{"name", "r-gate"},
                  {"hostname", "198.18.0.1"},
                  {"path_prefix", "/8080/"},
                  {"type", "unsafe"},
                  {"timeout_ms", 2500},
                  {"latency_slo_ms", 150},
                  {"priority", 1},
                  {"service", "gate"},
                  {"max_attempts", 2}}}},
               {"services", {{{"name", "gate"}, {"health_path", "/health"}, {"max_conns", 4444}}}},
               {"limits", {{"idle_timeout_ms", 15000}}}});

  std::vector<std::unique_ptr<process>> Forwarders;
  for (std::uint32_t I = 1; I <= 3; ++I) {
    Forwarders.push_back(
        std::make_unique<process>(Program, Folder, "front-" + std::to_string(I), settings(Net, I)));
    Forwarders.back()->start();
  }
  Loop.runUntil(6);
  for (std::uint32_t I = 1; I <= 3; ++I)
    if (readiness(Net.at(1, I, 8167), 200) != 200) {
      Record.line("forwarder %u isn't ready", I);
      return 2;
    }

  const auto Route = [&](const address &Caller) {
    std::uint32_t Best = 1;
    for (std::uint32_t I = 2; I <= 3; ++I)
      if (mix(Caller.Ip * 65536ULL + Caller.Port, I) > mix(Caller.Ip * 65536ULL + Caller.Port, Best))
        Best = I;
    return Net.at(1, Best, PacketPort);
  };
  const auto HostLives = [&](const caller_flow &Flow) {
    return std::any_of(Hosts.begin(), Hosts.end(),
                       [&](const auto &Host) { return Host->holds(Flow.caller(), Service); });
  };
  const address CallerAddress = Net.at(2, 1, PacketPort);
  const int Socket = openSocket(SOCK_DGRAM, CallerAddress);
  std::vector<std::unique_ptr<caller_flow>> Flows;
  Loop.watch(Socket, [&](short) {
    char Buffer[4096];
    for (ssize_t Size; (Size = ::recv(Socket, Buffer, sizeof(Buffer), 0)) > 0;) {
      packet P;
      if (!decode(std::string(Buffer, static_cast<std::size_t>(Size)), P))
        continue;
      for (const auto &Flow : Flows)
        if (Flow->caller() == P.To)
          Flow->receive(P, HostLives);
    }
  });
  for (int I = 0; I < Callers; ++I)
    Loop.at(7 + 0.05 * I, [&, I] {
      Flows.push_back(std::make_unique<caller_flow>(Loop, Record, Socket,
                                                    address{CallerAddress.Ip, static_cast<std::uint16_t>(20000 + I)},
                                                    Service, Route));
    });
  const auto RequestAll = [&](double Start, const char *Name) {
    for (int I = 0; I < Callers; ++I)
      Loop.at(Start + 0.03 * I, [&, I, Name] { Flows[static_cast<std::size_t>(I)]->request(Name + std::to_string(I)); });
  };
  RequestAll(FirstRequestAt, "first-");
  RequestAll(SecondRequestAt, "second-");

  if (Trouble) {
    Loop.at(StoreDownAt, [&] {
      Record.line("the store is down");
      Store.setDown(true);
    });
    // Entries lapse after three status report intervals of silence, 3.6 s.
    Loop.at(StoreDownAt + 3.6, [&] {
      for (const auto &Host : Hosts)
        Store.remove("servers", Host->options().Id);
      Record.line("the entries of the hosts lapse");
    });
    Loop.at(StoreUpAt, [&] {
      Store.setDown(false);
      Record.line("the store is back");
    });
    // The entries are back within two seconds.
    const double Delays[] = {1.3, 0.4, 0.7, 1.0};
    for (std::size_t I = 0; I < Hosts.size(); ++I)
      Loop.at(StoreUpAt + Delays[I], [&, I] {
        Store.write("servers", Hosts[I]->options().Id, Hosts[I]->entry(1000));
        Record.line("host %s has written its entry again", Hosts[I]->options().Id.c_str());
      });
  }
  Loop.at(InTouchAt, [&] { Record.line("all machines have been in touch for contact_ms"); });
  Loop.runUntil(EndAt);

  int Broken = 0;
  int Answered = 0;
  int Opened = 0;
  for (const auto &Flow : Flows) {
    Opened += Flow->answered() >= 1 ? 1 : 0;
    Answered += Flow->answered() >= 2 ? 1 : 0;
    const caller_flow::result &Result = Flow->outcome();
    if (!Result.ForeignReset || Result.LastSentAt < InTouchAt)
      continue;
    ++Broken;
    Record.line("FLOW broken: caller %s got a reset from %s at %.3f; its host lives and holds the flow",
                text(Flow->caller()).c_str(), Result.ResetBy.c_str(), Result.ResetAt);
  }
  for (const auto &Forwarder : Forwarders)
    if (!Forwarder->running()) {
      Record.line("a forwarder has ended");
      return 2;
    }
  Record.line("flows that were answered: %d of %d; again after the pause: %d; broken: %d", Opened, Callers, Answered,
              Broken);
  if (Opened < Callers)
    return 2;
  return Broken > 0 ? 1 : 0;
}

} // namespace

int main(int Count, char **Arguments) {
  if (Count != 4)
    return 2;
  const char *const Trouble = std::getenv("TROUBLE");
  try {
    return run(Arguments[1], Arguments[2], Arguments[3], Trouble == nullptr || std::string(Trouble) != "0");
  } catch (const std::exception &Error) {
    std::fprintf(stderr, "%s\n", Error.what());
    return 2;
  }
}
