#include "bench/control_fleet.h"

#include "peer/message_authenticator.h"
#include "peer/peer_codec.h"

#include <algorithm>
#include <utility>

namespace briarpoint::bench {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr duration StepInterval = milliseconds(100);
/// IPv4 and UDP headers and the authentication code.
constexpr std::size_t DatagramOverheadBytes = 28 + message_authenticator::Overhead;

/// Returns an endpoint in 10.0.0.0/8; no packet is sent to it.
endpoint makeEndpoint(std::size_t Group, std::size_t Index) {
  ip_address Address;
  Address.Bytes = {10, static_cast<std::uint8_t>(Group), static_cast<std::uint8_t>(Index >> 8U),
                   static_cast<std::uint8_t>(Index)};
  return {Address, 6081};
}

target_config makeTarget(std::size_t Index, std::size_t DataCentres) {
  target_config Target;
  Target.Name = "t" + std::to_string(Index);
  Target.DataCentre = "dc" + std::to_string(Index % DataCentres);
  Target.Tunnel = makeEndpoint(1, Index);
  Target.Health = makeEndpoint(2, Index);
  Target.Slots = 3;
  return Target;
}

} // namespace

configuration makeConfiguration(const fleet_size &Size) {
  configuration Configuration;
  std::size_t Index = 0;
  for (std::size_t I = 0; I < Size.Services; ++I) {
    service_config Service;
    // Padded with zeros, so that the order by name is the order by number.
    const std::string Number = std::to_string(I);
    Service.Name = "s" + std::string(6 - Number.size(), '0') + Number;
    Service.Id = service_id{static_cast<std::uint32_t>(I + 1)};
    Service.Address = makeEndpoint(3, I).Address;
    Service.Ports = {{443, transport::Tcp, request_class::Critical}};
    for (std::size_t J = 0; J < Size.TargetsPerService; ++J)
      Service.Targets.push_back(makeTarget(Index++, Size.DataCentres));
    std::sort(Service.Targets.begin(), Service.Targets.end());
    Configuration.Services.push_back(std::move(Service));
  }
  return Configuration;
}

/// One balancer's control plane; its data plane has no flows.
class control_fleet::member final : public control_plane_listener, public object_store {
public:
  member(control_fleet &Fleet, std::size_t Index, std::uint64_t Incarnation)
      : Fleet(Fleet), Index(Index), Random(mixHash(Incarnation, Index)),
        Settings(settings(Incarnation)), Control(Settings, *this, Random, *this) {
    Control.start(Fleet.Now);
  }

  // control_plane_listener
  void sendMessage(const endpoint &To, const peer_message &Message) override {
    ++Fleet.Totals.Messages;
    Fleet.Totals.MessageBytes += encodePeerMessage(Message).size() + DatagramOverheadBytes;
    const std::size_t Receiver = To.Address.Bytes[2] * 256U + To.Address.Bytes[3];
    Fleet.InTransit.push_back({Receiver, Settings.Self.Control, Message});
  }
  void publishView(std::shared_ptr<const forwarding_view> NewView) override {
    View = std::move(NewView);
  }
  void probeTarget(target_id Target, const endpoint &) override {
    ++Fleet.Totals.Probes;
    Probes.push_back(Target);
  }
  void fetchConfiguration(member_id From, const endpoint &Rpc, config_version) override {
    ++Fleet.Totals.Fetches;
    Fetches.emplace_back(From, Rpc.Address.Bytes[2] * 256U + Rpc.Address.Bytes[3]);
  }
  void storeRecords(std::span<const flow_record>) override {}
  void resetFlows() override {}

  // object_store
  void get(const std::string &Key, callback Done) override {
    ++Fleet.Totals.Reads;
    Fleet.Platform.get(Key, std::move(Done));
  }
  void put(const std::string &Key, object_version Expected, const std::string &Value,
           callback Done) override {
    ++Fleet.Totals.Writes;
    Fleet.Platform.put(Key, Expected, Value, std::move(Done));
  }
  void watch(const std::string &Key, object_version Known, callback Done) override {
    ++Fleet.Totals.Watches;
    Fleet.Platform.watch(Key, Known, std::move(Done));
  }
  void listInstances(instances_callback Done) override {
    ++Fleet.Totals.Reads;
    Fleet.Platform.listInstances(std::move(Done));
  }

  void step() {
    answerProbes();
    answerFetches();
    sendFinishedTransfers();
    Control.tick(Fleet.Now);
  }

  control_plane &control() { return Control; }

private:
  control_plane_settings settings(std::uint64_t Incarnation) const {
    control_plane_settings Result;
    const std::string Name = "b" + std::to_string(Index);
    Result.Self = {makeMemberId(Name),
                   Name,
                   "dc" + std::to_string(Index % Fleet.Size.DataCentres),
                   "",
                   makeEndpoint(4, Index),
                   makeEndpoint(5, Index),
                   makeEndpoint(6, Index),
                   Incarnation,
                   member_state::Joining};
    for (std::size_t I = 0; I < 3; ++I)
      Result.Seeds.push_back(makeEndpoint(5, (Index + 1 + I * 7) % Fleet.Size.Members));
    return Result;
  }

  void answerProbes() {
    for (const target_id Target : std::exchange(Probes, {})) {
      probe_result Result{Target, true, false, false, 3, 0, 4300};
      // Varying results make the members distribute changes at the usual cost.
      Result.SlotsInUse = static_cast<std::uint32_t>(Random.below(4));
      Control.handleProbe(Result, Fleet.Now);
    }
  }

  void answerFetches() {
    for (const auto &[From, Peer] : std::exchange(Fetches, {}))
      Control.handleConfiguration(From, Fleet.Members[Peer]->control().inForce(), Fleet.Now);
  }

  void sendFinishedTransfers() {
    if (View == nullptr || !Control.isReady() || Fleet.Now < NextTransfersAt)
      return;
    NextTransfersAt = Fleet.Now + seconds(5);
    for (const member_view &Peer : View->members())
      if (Peer.State == member_state::Joining && Peer.DataCentre == Settings.Self.DataCentre)
        Control.sendTransferFinished(Peer.Id);
  }

  control_fleet &Fleet;
  std::size_t Index;
  seeded_random Random;
  control_plane_settings Settings;
  control_plane Control;
  std::shared_ptr<const forwarding_view> View;
  std::vector<target_id> Probes;
  std::vector<std::pair<member_id, std::size_t>> Fetches;
  instant NextTransfersAt{};
};

control_fleet::control_fleet(const fleet_size &Size) : Size(Size) {}

control_fleet::~control_fleet() = default;

void control_fleet::step() {
  Now += StepInterval;
  Platform.run(Now);
  for (const message &Message : std::exchange(InTransit, {}))
    Members[Message.To]->control().handleMessage(Message.From, Message.Content, Now);
  for (const std::unique_ptr<member> &Member : Members)
    Member->step();
}

void control_fleet::run(duration Length) {
  const instant End = Now + Length;
  while (Now < End)
    step();
}

void control_fleet::start() {
  for (std::size_t I = 0; I < Size.Members; ++I)
    Members.push_back(std::make_unique<member>(*this, I, 1'000'000));
  while (!allReady())
    step();

  patch Patch{"initial", 0, {}};
  for (service_config &Service : makeConfiguration(Size).Services)
    Patch.Operations.push_back(put_service{std::move(Service)});
  Members[0]->control().submitPatch(
      Patch, Now, [this](const patch_outcome &Outcome) { LatestVersion = Outcome.Version; });
  runUntilInForce(seconds(60));
}

void control_fleet::restart(std::size_t Member) {
  Members[Member] = nullptr;
  const auto Incarnation = static_cast<std::uint64_t>(Now.time_since_epoch() / milliseconds(1));
  Members[Member] = std::make_unique<member>(*this, Member, Incarnation);
}

void control_fleet::toggleTarget(std::size_t Target) {
  Drained.resize(Size.Services * Size.TargetsPerService);
  Drained[Target] = !Drained[Target];
  const std::string Service =
      makeConfiguration(Size).Services[Target / Size.TargetsPerService].Name;
  const patch Patch{
      "change-" + std::to_string(LatestVersion),
      LatestVersion,
      {set_target_intent{Service, "t" + std::to_string(Target),
                         Drained[Target] ? target_intent::Leaving : target_intent::Active}}};
  const config_version Before = LatestVersion;
  Members[0]->control().submitPatch(Patch, Now, [this](const patch_outcome &Outcome) {
    if (Outcome.Status == patch_status::Accepted)
      LatestVersion = Outcome.Version;
  });
  while (LatestVersion == Before)
    step();
}

duration control_fleet::runUntilInForce(duration Limit) {
  const instant Start = Now;
  const auto HasVersion = [this](const std::unique_ptr<member> &Member) {
    return LatestVersion != 0 && Member->control().inForce()->Version >= LatestVersion;
  };
  while (Now < Start + Limit && !std::all_of(Members.begin(), Members.end(), HasVersion))
    step();
  return Now - Start;
}

bool control_fleet::allReady() const {
  return std::all_of(Members.begin(), Members.end(), [](const std::unique_ptr<member> &Member) {
    return Member->control().isReady();
  });
}

} // namespace briarpoint::bench
