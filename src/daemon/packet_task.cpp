#include "daemon/packet_task.h"

#include "io/sockets.h"
#include "request/priority_admission.h"

#include <poll.h>

#include <algorithm>

namespace briarpoint {

namespace {

/// Bytes; a jumbo frame. Longer datagrams count as malformed.
constexpr std::size_t MaxDatagramSize = 9216;

/// Bytes. Longest packet that is built by the data plane itself and must be copied; forwarded
/// packets are sent from the receive buffer.
constexpr std::size_t MaxCopiedSize = 9216;

/// The data plane needs a tick at least every 100 ms.
constexpr duration TickInterval = std::chrono::milliseconds(50);
constexpr duration CountersInterval = std::chrono::seconds(1);

bool isV6(std::span<const std::byte> Inner) {
  return !Inner.empty() && (std::to_integer<unsigned>(Inner[0]) >> 4U) == 6;
}

/// Admission by priority class, one controller per service.
admission_factory admission(random_source &Random) {
  return [&Random](service_id) {
    return std::make_unique<priority_admission>(priority_admission_settings{}, Random);
  };
}

} // namespace

packet_task::packet_task(const packet_task_settings &AllSettings, time_source &Clock,
                         random_source &Random, packet_commands &Commands, packet_reports &Reports)
    : Settings(AllSettings), Clock(Clock), Commands(Commands), Reports(Reports),
      Socket(openUdpSocket(AllSettings.Data)), Incoming(BatchSize, MaxDatagramSize),
      Outgoing(BatchSize, MaxGeneveHeaderSize, MaxCopiedSize),
      Plane(AllSettings.Self, AllSettings.DataPlane, Random, *this, admission(Random)),
      Now(Clock.now()), NextTick(Now), NextCountersReport(Now) {}

endpoint packet_task::local() const { return localEndpoint(Socket.get()); }

void packet_task::run() {
  const auto MaxWait = std::chrono::duration_cast<std::chrono::milliseconds>(TickInterval);
  while (step(MaxWait)) {
  }
}

bool packet_task::step(std::chrono::milliseconds MaxWait) {
  pollfd Descriptors[] = {{Socket.get(), POLLIN, 0}, {Commands.descriptor(), POLLIN, 0}};
  poll(Descriptors, 2, static_cast<int>(MaxWait.count()));
  Now = Clock.now();

  if ((Descriptors[1].revents & POLLIN) != 0)
    for (const packet_command &Command : Commands.popAll())
      handleCommand(Command);

  // The number of batches is limited, so that messages and timers are handled under full load too.
  constexpr int MaxBatches = 16;
  std::size_t Count = BatchSize;
  for (int I = 0; I < MaxBatches && Count == BatchSize; ++I) {
    Count = Incoming.receive(Socket.get());
    Now = Clock.now();
    handleBatch(Count);
  }
  runTimers();
  return !Ended;
}

void packet_task::handleCommand(const packet_command &Command) {
  if (const auto *Apply = std::get_if<apply_view>(&Command)) {
    View = Apply->View;
    Plane.applyView(View, Now);
  } else if (const auto *Store = std::get_if<store_records>(&Command)) {
    Plane.handleRecords(Store->Records, Now);
  } else if (std::holds_alternative<reset_flows>(Command)) {
    Plane.reset(Now);
  } else if (const auto *Report = std::get_if<request_records>(&Command)) {
    Reports.push(records_report{Report->Request, Plane.records()});
  } else {
    Ended = true;
  }
  flush();
}

void packet_task::handleBatch(std::size_t Count) {
  Counters.Received += Count;
  for (std::size_t I = 0; I < Count; ++I)
    handleDatagram(Incoming.source(I), Incoming.payload(I));
  // Sent packets refer to the receive buffers, which the next batch overwrites.
  flush();
}

void packet_task::handleDatagram(const endpoint &Source, std::span<const std::byte> Payload) {
  const std::optional<geneve_view> Outer = parseGeneve(Payload);
  if (!Outer) {
    ++Counters.Malformed;
    return;
  }
  if (!Outer->OptionBody.empty()) {
    handleHandoverPacket(Source, *Outer);
    return;
  }
  if (Source == Settings.Fabric) {
    Plane.handleForward(Outer->Inner, Now);
    return;
  }
  const target_view *Target = View ? View->findTargetByTunnel(Source) : nullptr;
  if (Target == nullptr && isFabricSource(Source.Address)) {
    Plane.handleForward(Outer->Inner, Now);
    return;
  }
  if (Target == nullptr && View)
    Target = View->findTargetByAddress(Source.Address, service_id{Outer->Vni});
  if (Target == nullptr) {
    ++Counters.UnknownSource;
  } else if (Outer->Vni != static_cast<std::uint32_t>(Target->Service)) {
    ++Counters.WrongVni;
  } else {
    Plane.handleReply(*Target, Outer->Inner, Now);
  }
}

bool packet_task::isFabricSource(const ip_address &Source) const {
  const std::vector<ip_address> &Sources = Settings.OuterSources;
  return std::find(Sources.begin(), Sources.end(), Source) != Sources.end();
}

void packet_task::handleHandoverPacket(const endpoint &Source, const geneve_view &Outer) {
  // Only balancers may pass records; a hand-over option from any other source is refused.
  if (!View || View->findMemberByDataEndpoint(Source) == nullptr) {
    ++Counters.UnexpectedHandover;
    return;
  }
  const std::optional<handover> Handover = parseHandover(Outer.OptionType, Outer.OptionBody);
  if (!Handover) {
    ++Counters.MalformedHandover;
    return;
  }
  Plane.handleHandover(*Handover, Outer.Inner, Now);
}

void packet_task::runTimers() {
  if (Now >= NextTick) {
    Plane.tick(Now);
    flush();
    NextTick = Now + TickInterval;
  }
  if (Now >= NextCountersReport) {
    Reports.push(counters_report{Plane.counters(), Counters});
    NextCountersReport = Now + CountersInterval;
  }
}

void packet_task::send(const endpoint &To, std::uint32_t Vni, std::uint8_t OptionType,
                       std::span<const std::byte> OptionBody, std::span<const std::byte> Inner) {
  if (Outgoing.full())
    flush();
  const std::size_t HeaderSize =
      writeGeneveHeader(Outgoing.nextHeader(), Vni, isV6(Inner), OptionType, OptionBody);
  if (Outgoing.push(To, HeaderSize, Inner, !Incoming.owns(Inner)))
    ++QueuedDatagrams;
  else
    ++Counters.NotSent;
}

void packet_task::flush() {
  if (Outgoing.empty())
    return;
  const std::size_t Sent = Outgoing.flush(Socket.get());
  Counters.Sent += Sent;
  Counters.NotSent += std::exchange(QueuedDatagrams, 0) - Sent;
}

void packet_task::sendToTarget(const target_view &Target, std::span<const std::byte> Inner) {
  send(Target.Tunnel, static_cast<std::uint32_t>(Target.Service), 0, {}, Inner);
}

void packet_task::sendToCaller(std::span<const std::byte> Inner) {
  send(Settings.Fabric, 0, 0, {}, Inner);
}

void packet_task::sendToBalancer(const member_view &Member, const handover &Handover,
                                 std::span<const std::byte> Inner) {
  std::array<std::byte, MaxHandoverSize> Body;
  const std::size_t Size = writeHandover(Handover, Body);
  send(Member.Data, 0, static_cast<std::uint8_t>(Handover.Kind), std::span(Body).first(Size),
       Inner);
}

void packet_task::sendRecords(member_id To, std::span<const flow_record> Records) {
  Reports.push(outgoing_records{To, {Records.begin(), Records.end()}});
}

void packet_task::sendTransferFinished(member_id To) { Reports.push(transfer_finished{To}); }

void packet_task::reportObservations(std::span<const target_observation> Observations) {
  Reports.push(observation_report{{Observations.begin(), Observations.end()}});
}

} // namespace briarpoint
