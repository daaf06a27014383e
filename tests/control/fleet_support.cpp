#include "tests/control/fleet_support.h"

#include "peer/message_authenticator.h"
#include "peer/peer_codec.h"

#include <algorithm>
#include <utility>

namespace briarpoint::test {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint16_t FirstPort = 10000;
/// Bytes of a probe's request and answer, as the design page estimates them.
constexpr std::uint64_t ProbeSize = 300;

endpoint makeEndpoint(std::size_t Port) {
  return {*parseIpAddress("127.0.0.1"), static_cast<std::uint16_t>(Port)};
}

target_config gateTargetConfig(std::size_t Index, std::uint32_t Slots) {
  target_config Target;
  Target.Name = "t" + std::to_string(Index);
  Target.DataCentre = "a";
  Target.Tunnel = makeEndpoint(20000 + Index);
  Target.Health = makeEndpoint(21000 + Index);
  Target.Slots = Slots;
  return Target;
}

} // namespace

void event_queue::runUntil(instant End) {
  while (!Events.empty() && Events.begin()->first <= End) {
    auto Event = Events.extract(Events.begin());
    Now = std::max(Now, Event.key());
    Event.mapped()();
  }
  Now = End;
}

void fake_store::get(const std::string &Key, callback Done) {
  ++Platform.Calls;
  if (!up()) {
    Queue.after(seconds(1), [Done] { Done({object_status::Unknown, 0, {}}); });
    return;
  }
  Queue.after(milliseconds(3), [this, Key, Done] {
    const auto Found = Platform.Objects.find(Key);
    if (Found == Platform.Objects.end())
      Done({object_status::NotFound, 0, {}});
    else
      Done({object_status::Ok, Found->second.Version, Found->second.Value});
  });
}

void fake_store::put(const std::string &Key, object_version Expected, const std::string &Value,
                     callback Done) {
  ++Platform.Calls;
  if (!up()) {
    Queue.after(milliseconds(1), [Done] { Done({object_status::Unavailable, 0, {}}); });
    return;
  }
  Queue.after(milliseconds(3), [this, Key, Expected, Value, Done] {
    fake_platform::object &Object = Platform.Objects[Key];
    if (Object.Version != Expected) {
      Done({object_status::Conflict, Object.Version, {}});
      return;
    }
    Object = {Expected + 1, Value};
    if (Key == Platform.LoseAnswersOf && Platform.LostAnswers > 0) {
      --Platform.LostAnswers;
      Platform.Down |= Platform.DownAfterLoss;
      Queue.after(seconds(1), [Done] { Done({object_status::Unknown, 0, {}}); });
      return;
    }
    Done({object_status::Ok, Object.Version, {}});
  });
}

void fake_store::watch(const std::string &Key, object_version Known, callback Done) {
  ++Platform.Calls;
  pollWatch(Key, Known, Queue.now() + seconds(10), Done);
}

void fake_store::pollWatch(const std::string &Key, object_version Known, instant End,
                           const callback &Done) {
  Queue.after(milliseconds(50), [this, Key, Known, End, Done] {
    const auto Found = Platform.Objects.find(Key);
    if (!up())
      Done({object_status::Unknown, 0, {}});
    else if (Found != Platform.Objects.end() && Found->second.Version > Known)
      Done({object_status::Ok, Found->second.Version, Found->second.Value});
    else if (Queue.now() >= End)
      Done({object_status::Unchanged, Known, {}});
    else
      pollWatch(Key, Known, End, Done);
  });
}

void fake_store::listInstances(instances_callback Done) {
  ++Platform.Calls;
  const object_status Status = up() ? object_status::Ok : object_status::Unknown;
  std::vector<instance_entry> List;
  if (up())
    for (const auto &[Name, Control] : Platform.Instances)
      List.push_back({Name, Control, false});
  Queue.after(milliseconds(5), [Done, Status, List] { Done(Status, List); });
}

process::process(fleet &Fleet, std::size_t Index, const control_plane_settings &Settings)
    : Fleet(Fleet), Index(Index), Settings(Settings), Store(Fleet.Queue, Fleet.Platform),
      Random(Fleet.Random.next()) {
  Control = std::make_unique<control_plane>(Settings, Store, Random, *this);
}

void process::sendMessage(const endpoint &To, const peer_message &Message) {
  // Counting the bytes of each message would take most of the time of long runs.
  if (Fleet.CountBytes)
    Fleet.BytesSent[Index] += encodePeerMessage(Message).size() + message_authenticator::Overhead;
  const std::size_t Receiver = Fleet.indexOf(To);
  if (Fleet.IsBlocked(Index, Receiver) || Fleet.Random.unit() < Fleet.LossRate)
    return;
  const auto Delay = duration(static_cast<duration::rep>(
      Fleet.Random.below(static_cast<std::uint64_t>(Fleet.MaxDelay.count()))));
  Fleet.Queue.after(milliseconds(1) + Delay,
                    [Receiver, Message, From = Settings.Self.Control, &Fleet = Fleet] {
                      if (Fleet.alive(Receiver))
                        Fleet.at(Receiver).deliver(From, Message);
                    });
}

void process::publishView(std::shared_ptr<const forwarding_view> NewView) {
  if (View != nullptr)
    for (const member_view &Before : View->members()) {
      const member_view *After = NewView->findMember(Before.Id);
      if (!Before.Suspected && (After == nullptr || After->Suspected))
        ++NewSuspicions[Before.Id];
    }
  View = std::move(NewView);
  if (!FinishesTransfers)
    return;
  // A data plane finishes a transfer to each joining member, and to each ready member when it
  // leaves.
  for (const member_view &Member : View->members()) {
    const bool Leaves = View->findMember(Settings.Self.Id)->State == member_state::Leaving;
    const bool Receives = Member.State == (Leaves ? member_state::Ready : member_state::Joining);
    if (!Receives)
      Transferred.erase(Member.Id);
    else if (Member.Id != Settings.Self.Id && Transferred.insert(Member.Id).second)
      Fleet.Queue.after(milliseconds(50), [Index = Index, Id = Member.Id, &Fleet = Fleet] {
        if (Fleet.alive(Index))
          Fleet.at(Index).Control->sendTransferFinished(Id);
      });
  }
}

void process::probeTarget(target_id Target, const endpoint &) {
  if (Fleet.CountBytes)
    Fleet.BytesSent[Index] += ProbeSize;
  const auto Found = Fleet.Targets.find(Target);
  probe_result Result;
  Result.Target = Target;
  Result.Answered = Found != Fleet.Targets.end() && Found->second.Alive &&
                    !Found->second.HiddenFrom.contains(Index);
  if (Result.Answered) {
    Result.Draining = Found->second.Draining;
    Result.Slots = Found->second.Slots;
    Result.SlotsInUse = Found->second.SlotsInUse();
    Result.Connections = Found->second.Connections();
  }
  Fleet.Queue.after(Result.Answered ? milliseconds(2) : milliseconds(500),
                    [Index = Index, Result, &Fleet = Fleet] {
                      if (Fleet.alive(Index) && !Fleet.at(Index).Paused)
                        Fleet.at(Index).Control->handleProbe(Result, Fleet.Queue.now());
                    });
}

void process::fetchConfiguration(member_id From, const endpoint &, config_version Version) {
  std::size_t Peer = 0;
  while (Fleet.idOf(Peer) != From)
    ++Peer;
  const bool IsReachable = Fleet.alive(Peer) && !Fleet.IsBlocked(Index, Peer) &&
                           !Fleet.IsBlocked(Peer, Index) && !Fleet.at(Peer).Paused;
  std::shared_ptr<const configuration> Found;
  if (IsReachable && Fleet.at(Peer).Control->inForce()->Version >= Version)
    Found = Fleet.at(Peer).Control->inForce();
  Fleet.Queue.after(IsReachable ? milliseconds(4) : milliseconds(1000),
                    [Index = Index, From, Found, &Fleet = Fleet] {
                      if (!Fleet.alive(Index))
                        return;
                      control_plane &Control = *Fleet.at(Index).Control;
                      if (Found != nullptr)
                        Control.handleConfiguration(From, Found, Fleet.Queue.now());
                      else
                        Control.handleFetchFailure(From, Fleet.Queue.now());
                    });
}

void process::deliver(const endpoint &From, const peer_message &Message) {
  if (Paused)
    ReceivedWhilePaused.emplace_back(From, Message);
  else
    Control->handleMessage(From, Message, Fleet.Queue.now());
}

void process::tick() {
  if (Paused)
    return;
  // Messages that arrived during a pause are handled first, as if read from a socket.
  for (const auto &[From, Message] : std::exchange(ReceivedWhilePaused, {}))
    Control->handleMessage(From, Message, Fleet.Queue.now());
  Control->tick(Fleet.Queue.now());
  const config_version Version = Control->inForce()->Version;
  VersionFell |= Version < HighestVersion;
  HighestVersion = std::max(HighestVersion, Version);
}

fleet::fleet(std::uint64_t Seed, ownership_scope Scope) : Random(Seed), Scope(Scope) {}

std::size_t fleet::add(const std::string &DataCentre) {
  const std::size_t Index = AllSettings.size();
  control_plane_settings Settings;
  Settings.Self.Name = "lb" + std::to_string(Index);
  Settings.Self.Id = makeMemberId(Settings.Self.Name);
  Settings.Self.DataCentre = DataCentre;
  Settings.Self.Control = makeEndpoint(FirstPort + Index);
  Settings.Self.Data = makeEndpoint(FirstPort + 1000 + Index);
  Settings.Self.Rpc = makeEndpoint(FirstPort + 2000 + Index);
  Settings.Self.Incarnation = 1000000;
  Settings.Scope = Scope;
  for (std::size_t I = 0; I < 3; ++I)
    Settings.Seeds.push_back(makeEndpoint(FirstPort + I));
  AllSettings.push_back(Settings);
  Generations.push_back(0);
  return Index;
}

void fleet::addMany(std::size_t Count, std::size_t DataCentres) {
  for (std::size_t I = 0; I < Count; ++I)
    start(add(std::string(1, static_cast<char>('a' + I % DataCentres))));
}

void fleet::create(std::size_t Index) {
  Processes[Index] = std::make_unique<process>(*this, Index, AllSettings[Index]);
  Platform.Instances[AllSettings[Index].Self.Name] = toString(AllSettings[Index].Self.Control);
  Processes[Index]->Control->start(Queue.now());
  scheduleTick(Index, ++Generations[Index]);
}

void fleet::start(std::size_t Index) { create(Index); }

void fleet::crash(std::size_t Index) {
  ++Generations[Index];
  // Calls to the platform may still be answered; the store must live until then.
  const std::shared_ptr<process> Ended = std::move(Processes.at(Index));
  Ended->Control.reset();
  Processes.erase(Index);
  // The platform's list of instances is updated with a delay.
  Queue.after(seconds(20), [this, Index] {
    if (!alive(Index))
      Platform.Instances.erase(AllSettings[Index].Self.Name);
  });
  Queue.after(std::chrono::hours(10), [Ended] {});
}

void fleet::restart(std::size_t Index) {
  if (alive(Index))
    crash(Index);
  AllSettings[Index].Self.Incarnation += 100000;
  create(Index);
}

void fleet::pause(std::size_t Index, duration Length) {
  at(Index).Paused = true;
  Queue.after(Length, [this, Index] {
    if (alive(Index))
      at(Index).Paused = false;
  });
}

void fleet::scheduleTick(std::size_t Index, std::uint64_t Generation) {
  Queue.after(milliseconds(100), [this, Index, Generation] {
    if (Generations[Index] != Generation)
      return;
    at(Index).tick();
    scheduleTick(Index, Generation);
  });
}

void fleet::run(duration Length) { Queue.runUntil(Queue.now() + Length); }

duration fleet::runUntil(const std::function<bool()> &Condition, duration Limit) {
  const instant Begin = Queue.now();
  while (!Condition() && Queue.now() - Begin < Limit)
    run(milliseconds(100));
  return Queue.now() - Begin;
}

std::vector<std::size_t> fleet::running() const {
  std::vector<std::size_t> Result;
  for (const auto &[Index, Process] : Processes)
    Result.push_back(Index);
  return Result;
}

std::size_t fleet::indexOf(const endpoint &Control) const { return Control.Port - FirstPort; }

bool fleet::allSee(const std::set<std::size_t> &Expected) const {
  std::set<member_id> Ids;
  for (const std::size_t Index : Expected)
    Ids.insert(idOf(Index));
  return std::all_of(Expected.begin(), Expected.end(), [&](std::size_t Index) {
    if (!alive(Index) || Processes.at(Index)->View == nullptr)
      return false;
    std::set<member_id> Seen;
    for (const member_view &Member : Processes.at(Index)->View->members()) {
      if (Member.State != member_state::Ready || Member.Suspected)
        return false;
      Seen.insert(Member.Id);
    }
    return Seen == Ids;
  });
}

bool fleet::allReady() const {
  return std::all_of(Processes.begin(), Processes.end(),
                     [](const auto &Item) { return Item.second->Control->isReady(); });
}

bool fleet::allHaveVersion(config_version Version) const {
  return std::all_of(Processes.begin(), Processes.end(), [&](const auto &Item) {
    return Item.second->Control->inForce()->Version == Version;
  });
}

bool fleet::anyVersionFell() const {
  return std::any_of(Processes.begin(), Processes.end(),
                     [](const auto &Item) { return Item.second->VersionFell; });
}

void fleet::submit(std::size_t Index, const patch &Patch) {
  at(Index).Control->submitPatch(
      Patch, Queue.now(), [this, Id = Patch.Id](const patch_outcome &O) { Outcomes[Id] = O; });
}

patch gatePatch(std::size_t Count, std::uint32_t Slots) {
  service_config Service;
  Service.Name = "gate";
  Service.Id = service_id{7};
  Service.Address = *parseIpAddress("192.0.2.1");
  Service.Ports.push_back({443, transport::Tcp, request_class::Normal});
  for (std::size_t I = 0; I < Count; ++I)
    Service.Targets.push_back(gateTargetConfig(I, Slots));
  return {"create-gate", 0, {put_service{Service}}};
}

target_id gateTarget(std::size_t Index, std::uint32_t Slots) {
  return makeTargetId("gate", gateTargetConfig(Index, Slots));
}

patch intentPatch(const std::string &Id, config_version Base, std::size_t Target,
                  target_intent Intent) {
  return {Id, Base, {set_target_intent{"gate", "t" + std::to_string(Target), Intent}}};
}

} // namespace briarpoint::test
