// A balancer that was stopped and started by plan is ready while it knows only an old
// configuration. It resets open flows on a route that is in force at all other balancers.

#include "../lab/deployment.hpp"

using namespace lab;

namespace {

constexpr int Rounds = 9;
/// The first objects are written this long before the balancers start.
constexpr double StartDelay = 4000;
constexpr double FirstRound = 7000;
/// A round: a balancer is stopped by plan, a version adds a route, clients open flows on it, and
/// the balancer is back in rotation.
constexpr double RoundLength = 10500;
/// A process is started again 300 to 800 ms after its end.
constexpr double RestartSpread = 500;
/// A stopped balancer exits 1.2 s after its last packet.
constexpr double RouteDelay = 300;
constexpr int Clients = 40;
/// Requests of a flow come often at first, and then with pauses.
constexpr double RequestInterval = 100;
constexpr double PauseInterval = 1000;
constexpr double BusyPeriod = 4000;
/// Age of the data that stale reads return.
constexpr double StaleLag = 3000;

struct scenario {
  deployment Deployment;
  loop &Loop;
  record &Record;
  std::vector<std::unique_ptr<client>> All;
  std::set<std::shared_ptr<client::flow>> Open;
  int Round = -1;
  double AcknowledgedAt = 0;
  double UsedAt = 0;
  int Opened = 0, Sent = 0, Answered = 0, Refused = 0, Broken = 0, HostResets = 0;

  scenario(loop &Loop, record &Record, const std::string &Folder)
      : Deployment(Loop, Record, Folder, 4, StaleLag), Loop(Loop), Record(Record) {}

  std::uint32_t serviceAddress(int Index) const { return Deployment.address(8, Index + 1); }

  void addRoute(int Index) {
    Deployment.Routes.push_back({"r-" + std::to_string(Index), serviceAddress(Index),
                                 deployment::ServicePort, "inventory"});
  }

  void openFlow(client &Client, int OwnRound) {
    if (OwnRound != Round)
      return;
    auto Flow = Client.prepare(serviceAddress(Round), deployment::ServicePort);
    const auto Again = [this, &Client, OwnRound] {
      Loop.after(60, [this, &Client, OwnRound] { openFlow(Client, OwnRound); });
    };
    Flow->OnOpened = [this, &Client, Weak = std::weak_ptr(Flow)](client::flow &Started) {
      ++Opened;
      Record.line("flow " + name(Started.Key) + " opened through " + balancerOf(Started));
      Open.insert(Weak.lock());
      request(Client, Weak);
    };
    Flow->OnAnswer = [this, &Client, Weak = std::weak_ptr(Flow)](client::flow &,
                                                                 const std::string &Text) {
      ++Answered;
      Record.line(Text);
      const double Interval = Loop.now() < UsedAt + BusyPeriod ? RequestInterval : PauseInterval;
      Loop.after(Interval, [this, &Client, Weak] { request(Client, Weak); });
    };
    Flow->OnReset = [this, Again](client::flow &Reset, bool BySystem, bool WasOpen) {
      if (WasOpen) {
        judge(Reset, BySystem);
        return;
      }
      ++Refused;
      Again();
    };
    Flow->OnGivenUp = [Again](client::flow &, bool WasOpen) {
      if (!WasOpen)
        Again();
    };
    Client.start(Flow);
  }

  std::string balancerOf(const client::flow &Flow) const {
    return Deployment.balancerName(Deployment.Routers->select(Flow.Key));
  }

  void request(client &Client, const std::weak_ptr<client::flow> &Weak) {
    const auto Flow = Weak.lock();
    if (!Flow || Flow->State != client::state::Open || !Open.contains(Flow))
      return;
    const std::string Text = "request-" + std::to_string(++Sent);
    Record.line("sent " + Text + " on " + name(Flow->Key));
    Client.request(Flow, Text);
  }

  host &addHost() {
    host &Host = Deployment.addHost("inventory");
    Host.OnRun = [this, &Host](const std::string &Text) {
      Record.line("run " + Text + " by " + Host.Name);
    };
    return Host;
  }

  void judge(const client::flow &Flow, bool BySystem) {
    const host *Holder = Deployment.holder(Flow.Key);
    if (!BySystem) {
      ++HostResets;
      Record.line("flow " + name(Flow.Key) + " was reset by a host");
    } else if (Holder != nullptr) {
      ++Broken;
      Record.line("FLOW broken: flow " + name(Flow.Key) + ", open at the live host " +
                  Holder->Name + " and on a route of the configuration in force, was reset by " +
                  "the system; its packets go through " + balancerOf(Flow) + "; the version was " +
                  "acknowledged " + std::to_string(static_cast<int>(Loop.now() - AcknowledgedAt)) +
                  " ms before");
    }
  }

  void endRound() {
    Round = -1;
    for (const auto &Flow : Open)
      for (const auto &Client : All)
        if (Client->Address == Flow->Key.Src)
          Client->end(Flow);
    Open.clear();
  }

  void beginRound(int Next) {
    endRound();
    if (Deployment.Routers->inRotation() < Deployment.Balancers.size())
      Record.line("not all balancers are in rotation");
    if (trouble()) {
      const balancer &Stopped =
          *Deployment.Balancers[static_cast<std::size_t>(Next) % Deployment.Balancers.size()];
      Record.line("planned stop of " + Stopped.Name + " (SIGTERM)");
      Stopped.signal(SIGTERM);
    }
    Loop.after(RouteDelay, [this, Next] { useRoute(Next); });
  }

  void useRoute(int Next) {
    Round = Next;
    UsedAt = Loop.now();
    if (trouble()) {
      addRoute(Next);
      Deployment.writeConfiguration();
      AcknowledgedAt = Loop.now();
      Record.line("version " + std::to_string(Deployment.Version) + " adds route r-" +
                  std::to_string(Next) + "; acknowledged");
    }
    for (const auto &Client : All)
      openFlow(*Client, Next);
  }

  int run() {
    Deployment.RestartSpread = RestartSpread;
    for (int I = 0; I < 6; ++I)
      addHost().WorkMs = 5;
    // A route without traffic; the others are added one by one, or at the start without trouble.
    Deployment.Routes.push_back(
        {"r-first", serviceAddress(100), deployment::ServicePort, "inventory"});
    if (!trouble())
      for (int I = 0; I < Rounds; ++I)
        addRoute(I);
    Deployment.writeConfiguration();
    for (int I = 0; I < Clients; ++I)
      All.push_back(std::make_unique<client>(
          Loop, Record, Deployment.address(2, I + 1), deployment::PacketPort,
          [this](const flow_key &Flow) { return Deployment.Routers->select(Flow); }));
    Loop.at(StartDelay, [this] {
      Deployment.start();
      Loop.every(50, [this] { Deployment.restartEnded(); });
    });
    for (int I = 0; I < Rounds; ++I)
      Loop.at(FirstRound + I * RoundLength, [this, I] { beginRound(I); });
    Loop.at(FirstRound + Rounds * RoundLength, [this] {
      endRound();
      Loop.stop();
    });
    Loop.run();
    Record.line("opened " + std::to_string(Opened) + ", sent " + std::to_string(Sent) +
                ", answered " + std::to_string(Answered) + ", refused before they opened " +
                std::to_string(Refused) + ", reset by a host " + std::to_string(HostResets) +
                ", FLOW broken " + std::to_string(Broken) + ", stalls of this process " +
                std::to_string(Loop.Stalls.size()));
    if (Opened == 0 || Answered == 0 || Deployment.EndedByThemselves > 0)
      return CouldNotRun;
    return Broken > 0 ? lab::Broken : Held;
  }
};

} // namespace

int main(int ArgumentCount, char **Arguments) {
  return runCase(ArgumentCount, Arguments,
                 [](loop &Loop, record &Record, const std::string &Folder) {
                   return scenario(Loop, Record, Folder).run();
                 });
}
