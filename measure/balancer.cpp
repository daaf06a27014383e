#include "measure/balancer.h"

#include "config/config_json.h"
#include "core/request/priority_admission.h"
#include "peer/peer_codec.h"

#include <algorithm>

namespace briarpoint::measure {

namespace {

/// Bytes that a balancer sends for one HTTP exchange besides a body: SYN with options (60), two
/// acknowledgements and the FIN (52 each), and a segment with the request header (52 + 68).
constexpr std::size_t HttpBytes = 60 + 3 * 52 + 52 + 68;

admission_factory makeAdmission(random_source &Random) {
  return [&Random](service_id) -> std::unique_ptr<admission_policy> {
    return std::make_unique<priority_admission>(priority_admission_settings{}, Random);
  };
}

} // namespace

balancer::balancer(fixture &Fixture, std::size_t Index, const control_plane_settings &Settings)
    : Fixture(Fixture), Index(Index), Self(Settings.Self), Alive(std::make_shared<bool>(true)),
      Store(
          Fixture.Platform, Fixture.Queue, Fixture.Now,
          [&Fixture, Index] { return Fixture.reachable(Fixture.DataCentreOf[Index], Outside); },
          [&Fixture, Index](std::size_t Bytes) {
            Fixture.countBytes(Index, traffic_kind::Configuration, Bytes);
          }),
      Random(mixHash(Fixture.Settings.Seed, Settings.Self.Incarnation)),
      Data(Settings.Self.Id, Fixture.dataSettings(), Random, *this, makeAdmission(Random)),
      Control(Settings, Store, Random, *this) {}

void balancer::later(duration Delay, std::function<void()> Closure) {
  Fixture.call(Fixture.Now + Delay, [Closure = std::move(Closure), Alive = Alive] {
    if (*Alive)
      Closure();
  });
}

void balancer::tick() {
  Control.tick(Fixture.Now);
  Data.tick(Fixture.Now);
  const config_version Version = Control.inForce()->Version;
  Fell = Fell || Version < Highest;
  Highest = std::max(Highest, Version);
}

void balancer::sendToTarget(const target_view &Target, std::span<const std::byte> Inner) {
  const std::uint32_t To = Fixture.Listener.targetIndex(Target.Id);
  fixture::packet &Packet = Fixture.allocate(fixture::hop::ToTarget, To, Inner);
  Packet.Tag = static_cast<std::uint32_t>(Target.Service);
  Fixture.send(Packet, Fixture.DataCentreOf[Index], Fixture.Listener.targetDataCentre(To));
}

void balancer::sendToCaller(std::span<const std::byte> Inner) {
  Fixture.send(Fixture.allocate(fixture::hop::ToCaller, 0, Inner), Fixture.DataCentreOf[Index],
               Outside);
}

void balancer::sendToBalancer(const member_view &Member, const handover &Handover,
                              std::span<const std::byte> Inner) {
  const auto To = static_cast<std::uint32_t>(Fixture.Index.at(Member.Id));
  fixture::packet &Packet = Fixture.allocate(fixture::hop::FromBalancer, To, Inner);
  const std::size_t Size = writeHandover(Handover, std::span(Packet.Option).first(MaxHandoverSize));
  Packet.OptionType = static_cast<std::uint8_t>(Handover.Kind);
  Packet.OptionSize = static_cast<std::uint8_t>(Size);
  Fixture.countBytes(Index, traffic_kind::HandoverOptions, Size + 4);
  Fixture.send(Packet, Fixture.DataCentreOf[Index], Fixture.DataCentreOf[To]);
}

void balancer::sendRecords(member_id To, std::span<const flow_record> Records) {
  Control.sendRecords(To, Records);
}

void balancer::sendTransferFinished(member_id To) { Control.sendTransferFinished(To); }

void balancer::reportObservations(std::span<const target_observation> Observations) {
  Control.handleObservations(Observations, Fixture.Now);
}

void balancer::sendMessage(const endpoint &To, const peer_message &Message) {
  std::string Bytes = encodePeerMessage(Message);
  const auto Kind = static_cast<traffic_kind>(Message.index());
  Fixture.countBytes(Index, Kind, Bytes.size() + fixture::DatagramOverhead);
  Fixture.deliverControl(Index, To, std::move(Bytes));
}

void balancer::publishView(std::shared_ptr<const forwarding_view> Published) {
  // Views reach the data plane in order, each with its own delay.
  const duration Delay{Fixture.Random.below(Fixture.Settings.ViewDelay.count() + 1)};
  ViewAt = std::max(ViewAt, Fixture.Now + Delay);
  const auto Apply = [this, Published = std::move(Published)] {
    View = Published;
    Data.applyView(Published, Fixture.Now);
  };
  if (ViewAt == Fixture.Now)
    Apply();
  else
    later(ViewAt - Fixture.Now, Apply);
}

void balancer::probeTarget(target_id Target, const endpoint &) {
  Fixture.countBytes(Index, traffic_kind::Probes, HttpBytes);
  const std::uint32_t To = Fixture.Listener.targetIndex(Target);
  const std::size_t Here = Fixture.DataCentreOf[Index];
  const std::size_t There = Fixture.Listener.targetDataCentre(To);
  probe_result Result;
  if (Fixture.reachable(Here, There))
    Result = Fixture.Listener.probe(To);
  Result.Target = Target;
  // Connection setup and request take a round trip each.
  const duration RoundTrips = 4 * Fixture.delay(Here, There);
  later(Result.Answered ? RoundTrips : Fixture.Settings.CallTimeout,
        [this, Result] { Control.handleProbe(Result, Fixture.Now); });
}

void balancer::fetchConfiguration(member_id From, const endpoint &, config_version Version) {
  Fixture.countBytes(Index, traffic_kind::Configuration, HttpBytes);
  const std::size_t Peer = Fixture.Index.at(From);
  const std::size_t Here = Fixture.DataCentreOf[Index];
  const std::size_t There = Fixture.DataCentreOf[Peer];
  balancer *Sender = Fixture.find(Peer);
  if (!Fixture.reachable(Here, There) || Sender == nullptr || Sender->Paused ||
      Sender->Control.inForce()->Version < Version) {
    later(Fixture.Settings.CallTimeout,
          [this, From] { Control.handleFetchFailure(From, Fixture.Now); });
    return;
  }
  const auto Configuration = Sender->Control.inForce();
  Fixture.countBytes(Peer, traffic_kind::Configuration, HttpBytes + toJson(*Configuration).size());
  later(4 * Fixture.delay(Here, There), [this, From, Configuration] {
    Control.handleConfiguration(From, Configuration, Fixture.Now);
  });
}

void balancer::storeRecords(std::span<const flow_record> Records) {
  Data.handleRecords(Records, Fixture.Now);
}

void balancer::resetFlows() { Data.reset(Fixture.Now); }

} // namespace briarpoint::measure
