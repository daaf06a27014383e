#include "measure/flow_case.h"

namespace briarpoint::measure {

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// Returns a patch that changes the intent of target \p Number of the first service.
patch makePatch(const scenario &Scenario, const std::string &Id, config_version Base,
                std::uint32_t Number, target_intent Intent) {
  const deployment &Deployment = Scenario.simulation().settings().Deployment;
  const target_config Target = makeTarget(Deployment, 0, Number);
  return {Id, Base, {set_target_intent{Deployment.Services[0], Target.Name, Intent}}};
}

target_intent intentOf(const configuration &Configuration, std::uint32_t Number) {
  for (const service_config &Service : Configuration.Services)
    for (const target_config &Target : Service.Targets)
      if (static_cast<std::uint32_t>(Service.Id) == 1 && Target.Tunnel.Address.Bytes[3] == Number)
        return Target.Intent;
  return target_intent::Active;
}

config_version inForce(const scenario &Scenario, std::size_t Balancer) {
  return Scenario.simulation().find(Balancer)->control().inForce()->Version;
}

/// Two operators submit different patches against the same version, each through a random balancer.
void patchRace(scenario &Scenario, report &Report) {
  fabric_simulation &Simulation = Scenario.simulation();
  double WrongWinners = 0;
  double WrongResults = 0;
  double Undecided = 0;
  for (std::uint32_t Round = 0; Round < 40; ++Round) {
    const config_version Base = inForce(Scenario, 0);
    const target_intent Intent = Round % 2 == 0 ? target_intent::Leaving : target_intent::Active;
    std::array<std::optional<patch_outcome>, 2> Outcomes;
    for (std::uint32_t I = 0; I < 2; ++I) {
      const std::string Id = "race-" + std::to_string(Round) + "-" + std::to_string(I);
      const patch Patch = makePatch(Scenario, Id, Base, I, Intent);
      Scenario.after(milliseconds(Simulation.random().below(3)), [&Scenario, &Outcomes, I, Patch] {
        const std::size_t ViaBalancer = Scenario.pickBalancer();
        Scenario.simulation()
            .find(ViaBalancer)
            ->control()
            .submitPatch(Patch, Scenario.simulation().now(),
                         [&Outcomes, I](const patch_outcome &Outcome) { Outcomes[I] = Outcome; });
      });
    }
    const bool Decided = Simulation.runUntil(Simulation.now() + seconds(10),
                                             [&] { return Outcomes[0] && Outcomes[1]; });
    if (!Decided) {
      ++Undecided;
      break;
    }
    Simulation.runUntil(Simulation.now() + seconds(5),
                        [&] { return Scenario.allInForce(Base + 1); });
    Scenario.run(seconds(1));
    const bool First = Outcomes[0]->Status == patch_status::Accepted;
    const bool Second = Outcomes[1]->Status == patch_status::Accepted;
    WrongWinners += First == Second ? 1 : 0;
    const std::uint32_t Loser = First ? 1 : 0;
    WrongWinners += Outcomes[Loser]->Status == patch_status::Stale ? 0 : 1;
    // The accepted change must be in force and the other one must not.
    const auto Present = Simulation.find(0)->control().inForce();
    WrongResults += Present->Version == Base + 1 && intentOf(*Present, 1 - Loser) == Intent ? 0 : 1;
    if (Round == 0)
      WrongResults += intentOf(*Present, Loser) == Intent ? 1 : 0;
  }
  Report.atMost("races_without_exactly_one_winner", WrongWinners, 0);
  Report.atMost("races_with_wrong_result", WrongResults, 0);
  Report.atMost("races_undecided", Undecided, 0);
}

/// The answer of the platform to a write is lost after the write took effect.
void patchLostAnswer(scenario &Scenario, report &Report) {
  fabric_simulation &Simulation = Scenario.simulation();
  double NotDetermined = 0;
  double WrongVersion = 0;
  for (std::uint32_t Round = 0; Round < 20; ++Round) {
    const config_version Base = inForce(Scenario, 0);
    const target_intent Intent = Round % 2 == 0 ? target_intent::Leaving : target_intent::Active;
    const patch Patch =
        makePatch(Scenario, "lost-" + std::to_string(Round), Base, Round / 2 % 14, Intent);
    std::optional<patch_outcome> Outcome;
    Simulation.objects().PutAnswersToLose =
        1 + static_cast<std::uint32_t>(Simulation.random().below(4));
    // The client repeats the patch with the same id while the outcome is unknown.
    for (int Try = 0; Try < 5; ++Try) {
      Outcome.reset();
      const std::size_t ViaBalancer = Scenario.pickBalancer();
      Simulation.find(ViaBalancer)
          ->control()
          .submitPatch(Patch, Simulation.now(),
                       [&](const patch_outcome &Received) { Outcome = Received; });
      Simulation.runUntil(Simulation.now() + seconds(30), [&] { return Outcome.has_value(); });
      if (Outcome && Outcome->Status != patch_status::Unknown &&
          Outcome->Status != patch_status::Unavailable)
        break;
    }
    Simulation.objects().PutAnswersToLose = 0;
    Scenario.run(seconds(5));
    const bool Accepted = Outcome && Outcome->Status == patch_status::Accepted;
    NotDetermined += Accepted && Outcome->Version == Base + 1 ? 0 : 1;
    // The patch must have taken effect exactly once.
    const auto Present = Simulation.find(0)->control().inForce();
    const bool AppliedOnce =
        Present->Version == Base + 1 && intentOf(*Present, Round / 2 % 14) == Intent;
    WrongVersion += AppliedOnce ? 0 : 1;
  }
  Report.atMost("outcomes_not_determined", NotDetermined, 0);
  Report.atMost("patches_not_applied_once", WrongVersion, 0);
}

/// Returns the longest time of 20 patches, in seconds, from submission until the patch is in force
/// on all balancers; 60 for a patch that doesn't get there within 60 s.
double slowestPatch(scenario &Scenario) {
  fabric_simulation &Simulation = Scenario.simulation();
  double Slowest = 0.0;
  for (std::uint32_t Round = 0; Round < 20; ++Round) {
    const config_version Base = inForce(Scenario, Simulation.running().front());
    const target_intent Intent = Round % 2 == 0 ? target_intent::Leaving : target_intent::Active;
    const patch Patch = makePatch(Scenario, "force-" + std::to_string(Base), Base, 3, Intent);
    const std::size_t ViaBalancer = Scenario.pickBalancer();
    bool Accepted = false;
    const instant Start = Simulation.now();
    Simulation.find(ViaBalancer)
        ->control()
        .submitPatch(Patch, Simulation.now(), [&](const patch_outcome &Outcome) {
          Accepted = Outcome.Status == patch_status::Accepted;
        });
    const bool Everywhere = Simulation.runUntil(
        Start + seconds(60), [&] { return Accepted && Scenario.allInForce(Base + 1); });
    const double Span = std::chrono::duration<double>(Simulation.now() - Start).count();
    Slowest = std::max(Slowest, Everywhere ? Span : 60.0);
    Scenario.run(milliseconds(1500 + Simulation.random().below(2000)));
  }
  return Slowest;
}

void patchInForce(scenario &Scenario, report &Report) {
  Report.atMost("seconds_until_in_force", slowestPatch(Scenario), 2.0);
  Scenario.simulation().setPeerLoss(0.1);
  Scenario.run(seconds(5));
  Report.atMost("seconds_until_in_force_with_loss", slowestPatch(Scenario), 5.0);
}

/// Processes restart, and paused processes resume, while the platform returns an old state to
/// readers.
void staleRestart(scenario &Scenario, report &Report) {
  fabric_simulation &Simulation = Scenario.simulation();
  const auto StaleObjects = Simulation.objects().Objects;
  for (std::uint32_t I = 0; I < 3; ++I) {
    Scenario.submit(makePatch(Scenario, "", 0, I, target_intent::Leaving).Operations, [] {});
    Simulation.runUntil(Simulation.now() + seconds(10), [&] { return Scenario.pending() == 0; });
  }
  Simulation.runUntil(Simulation.now() + seconds(10),
                      [&] { return Scenario.allInForce(Scenario.acceptedVersion()); });
  const config_version Newest = Scenario.acceptedVersion();
  Simulation.objects().StaleObjects = StaleObjects;
  double ReadyWithOlderVersion = 0;
  const auto CheckAll = [&] {
    for (const std::size_t I : Simulation.running())
      ReadyWithOlderVersion +=
          Simulation.find(I)->control().isReady() && inForce(Scenario, I) < Newest ? 1 : 0;
  };
  for (std::size_t Round = 0; Round < 6; ++Round) {
    const std::size_t Restarted = Round * 3;
    Simulation.crash(Restarted);
    Scenario.run(milliseconds(500 + Simulation.random().below(6000)));
    Simulation.restart(Restarted);
    Simulation.pause(Restarted + 1, seconds(10));
    for (int Step = 0; Step < 400; ++Step) {
      Scenario.run(milliseconds(100));
      CheckAll();
    }
  }
  Report.atLeast("newest_version", static_cast<double>(Newest), 4);
  Report.atMost("ready_with_an_older_version", ReadyWithOlderVersion, 0);
  Report.atLeast("all_in_force", Scenario.allInForce(Newest) ? 1 : 0, 1);
}

} // namespace

void addConfigurationCases(std::vector<measure_case> &Cases) {
  // These cases don't need flows.
  const auto PrepareWithoutFlows = [](variant &Variant) {
    Variant.Traffic.NewFlowsPerSecond = 0.0;
    Variant.Traffic.LongFlows = 0;
  };
  const auto Add = [&](const std::string &Name, void (*Run)(scenario &, report &)) {
    const auto RunAndReport = [Run](scenario &Scenario, report &Report) {
      Run(Scenario, Report);
      Report.atMost("versions_fell", Scenario.versionFell() ? 1 : 0, 0);
      Report.mixIntoHash(Scenario.simulation().eventHash());
      Scenario.reportTraffic(Report);
    };
    addFlowCase(Cases, {Name, PrepareWithoutFlows, RunAndReport});
  };
  Add("patch_race", patchRace);
  Add("patch_lost_answer", patchLostAnswer);
  Add("patch_in_force", patchInForce);
  Add("stale_restart", staleRestart);
}

} // namespace briarpoint::measure
