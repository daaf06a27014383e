#include "measure/balancer.h"

#include "config/config_json.h"
#include "peer/peer_codec.h"
#include "request/priority_admission.h"

#include <algorithm>

namespace briarpoint::measure {

namespace {

/// Bytes that a balancer sends for one HTTP exchange besides a body: SYN with options (60), two
/// acknowledgements and the FIN (52 each), and a segment with the request header (52 + 68).
constexpr std::size_t HttpOverheadBytes = 60 + 3 * 52 + 52 + 68;

admission_factory makeAdmission(random_source &Random) {
  return [&Random](service_id) -> std::unique_ptr<admission_policy> {
    return std::make_unique<priority_admission>(priority_admission_settings{}, Random);
  };
}

} // namespace

balancer::balancer(fabric_simulation &Fabric, std::size_t Index,
                   const control_plane_settings &Settings)
    : Fabric(Fabric), Index(Index), Self(Settings.Self), Alive(std::make_shared<bool>(true)),
      Store(
          Fabric.Platform, Fabric.Queue, Fabric.Now,
          [&Fabric, Index] { return Fabric.reachable(Fabric.DataCentreOf[Index], OutsideIndex); },
          [&Fabric, Index](std::size_t Bytes) {
            Fabric.countBytes(Index, traffic_kind::Configuration, Bytes);
          }),
      Random(mixHash(Fabric.Settings.Seed, Settings.Self.Incarnation)),
      Data(Settings.Self.Id, Fabric.dataSettings(), Random, *this, makeAdmission(Random)),
      Control(Settings, Store, Random, *this) {}

void balancer::scheduleAfter(duration Delay, std::function<void()> Closure) {
  Fabric.scheduleCall(Fabric.Now + Delay, [Closure = std::move(Closure), Alive = Alive] {
    if (*Alive)
      Closure();
  });
}

void balancer::tick() {
  Control.tick(Fabric.Now);
  Data.tick(Fabric.Now);
  const config_version Version = Control.inForce()->Version;
  VersionFell = VersionFell || Version < HighestVersion;
  HighestVersion = std::max(HighestVersion, Version);
}

void balancer::sendToTarget(const target_view &Target, std::span<const std::byte> Inner) {
  const std::uint32_t To = Fabric.Listener.targetIndex(Target.Id);
  fabric_simulation::packet &Packet = Fabric.allocate(fabric_simulation::hop::ToTarget, To, Inner);
  Packet.TargetOrVni = static_cast<std::uint32_t>(Target.Service);
  Fabric.send(Packet, Fabric.DataCentreOf[Index], Fabric.Listener.targetDataCentre(To));
}

void balancer::sendToCaller(std::span<const std::byte> Inner) {
  Fabric.send(Fabric.allocate(fabric_simulation::hop::ToCaller, 0, Inner),
              Fabric.DataCentreOf[Index], OutsideIndex);
}

void balancer::sendToBalancer(const member_view &Member, const handover &Handover,
                              std::span<const std::byte> Inner) {
  const auto To = static_cast<std::uint32_t>(Fabric.IndexByMember.at(Member.Id));
  fabric_simulation::packet &Packet =
      Fabric.allocate(fabric_simulation::hop::FromBalancer, To, Inner);
  const std::size_t Size = writeHandover(Handover, std::span(Packet.Option).first(MaxHandoverSize));
  Packet.OptionType = static_cast<std::uint8_t>(Handover.Kind);
  Packet.OptionSize = static_cast<std::uint8_t>(Size);
  Fabric.countBytes(Index, traffic_kind::HandoverOptions, Size + 4);
  Fabric.send(Packet, Fabric.DataCentreOf[Index], Fabric.DataCentreOf[To]);
}

void balancer::sendRecords(member_id To, std::span<const flow_record> Records) {
  Control.sendRecords(To, Records);
}

void balancer::sendTransferFinished(member_id To) { Control.sendTransferFinished(To); }

void balancer::reportObservations(std::span<const target_observation> Observations) {
  Control.handleObservations(Observations, Fabric.Now);
}

void balancer::sendMessage(const endpoint &To, const peer_message &Message) {
  std::string Bytes = encodePeerMessage(Message);
  const auto Kind = static_cast<traffic_kind>(Message.index());
  Fabric.countBytes(Index, Kind, Bytes.size() + fabric_simulation::DatagramOverhead);
  Fabric.deliverControl(Index, To, std::move(Bytes));
}

void balancer::publishView(std::shared_ptr<const forwarding_view> Published) {
  // Each view has its own random delay, but views reach the data plane in order.
  const duration Delay{Fabric.Random.below(Fabric.Settings.MaxViewDelay.count() + 1)};
  LastViewDueAt = std::max(LastViewDueAt, Fabric.Now + Delay);
  const auto Apply = [this, Published = std::move(Published)] {
    View = Published;
    Data.applyView(Published, Fabric.Now);
  };
  if (LastViewDueAt == Fabric.Now)
    Apply();
  else
    scheduleAfter(LastViewDueAt - Fabric.Now, Apply);
}

void balancer::probeTarget(target_id Target, const endpoint &) {
  Fabric.countBytes(Index, traffic_kind::Probes, HttpOverheadBytes);
  const std::uint32_t To = Fabric.Listener.targetIndex(Target);
  const std::size_t OwnDataCentre = Fabric.DataCentreOf[Index];
  const std::size_t RemoteDataCentre = Fabric.Listener.targetDataCentre(To);
  probe_result Result;
  if (Fabric.reachable(OwnDataCentre, RemoteDataCentre))
    Result = Fabric.Listener.probe(To);
  Result.Target = Target;
  // Connection setup and request take one round trip each.
  const duration RoundTrips = 4 * Fabric.delay(OwnDataCentre, RemoteDataCentre);
  scheduleAfter(Result.Answered ? RoundTrips : Fabric.Settings.CallTimeout,
                [this, Result] { Control.handleProbe(Result, Fabric.Now); });
}

void balancer::fetchConfiguration(member_id From, const endpoint &, config_version Version) {
  Fabric.countBytes(Index, traffic_kind::Configuration, HttpOverheadBytes);
  const std::size_t Peer = Fabric.IndexByMember.at(From);
  const std::size_t OwnDataCentre = Fabric.DataCentreOf[Index];
  const std::size_t RemoteDataCentre = Fabric.DataCentreOf[Peer];
  balancer *Sender = Fabric.find(Peer);
  if (!Fabric.reachable(OwnDataCentre, RemoteDataCentre) || Sender == nullptr || Sender->Paused ||
      Sender->Control.inForce()->Version < Version) {
    scheduleAfter(Fabric.Settings.CallTimeout,
                  [this, From] { Control.handleFetchFailure(From, Fabric.Now); });
    return;
  }
  const auto Configuration = Sender->Control.inForce();
  Fabric.countBytes(Peer, traffic_kind::Configuration,
                    HttpOverheadBytes + toJson(*Configuration).size());
  scheduleAfter(4 * Fabric.delay(OwnDataCentre, RemoteDataCentre), [this, From, Configuration] {
    Control.handleConfiguration(From, Configuration, Fabric.Now);
  });
}

void balancer::storeRecords(std::span<const flow_record> Records) {
  Data.handleRecords(Records, Fabric.Now);
}

void balancer::resetFlows() { Data.reset(Fabric.Now); }

} // namespace briarpoint::measure
