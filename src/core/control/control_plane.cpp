#include "core/control/control_plane.h"

#include "core/control/control_plane_state.h"

#include <algorithm>
#include <utility>

namespace briarpoint {

namespace {

/// Records per message, so that a message stays below 1,200 bytes.
constexpr std::size_t RecordsPerMessage = 28;
/// A leaving process keeps running at least this long, so that its state reaches the peers and
/// their views converge.
constexpr duration MinLeaveDuration = std::chrono::seconds(3);
/// If not all transfers are finished, a leaving process may exit after this time, once it has sent
/// no records for RecordsQuietPeriod.
constexpr duration UnconfirmedLeaveTimeout = std::chrono::seconds(10);
constexpr duration RecordsQuietPeriod = std::chrono::seconds(3);
constexpr duration MaxLeaveDuration = std::chrono::seconds(30);

} // namespace

control_plane::control_plane(const control_plane_settings &Settings, object_store &Store,
                             random_source &Random, control_plane_listener &Listener)
    : State(std::make_unique<state>(Settings, Store, Random, Listener)) {}

control_plane::~control_plane() = default;

void control_plane::start(instant Now) {
  State->Now = Now;
  State->LastTick = Now;
  State->Platform.tick(Now);
  State->Configs.start(Now);
  State->startJoin(Now);
  State->run(Now);
}

void control_plane::tick(instant Now) {
  State->rejoinAfterPause(Now);
  State->LastTick = Now;
  State->run(Now);
}

void control_plane::handleMessage(const endpoint &From, const peer_message &Message, instant Now) {
  // After a pause, messages may be handled before the first tick; they must not be answered in the
  // old incarnation.
  State->rejoinAfterPause(Now);
  State->Now = Now;
  std::visit([&](const auto &Content) { State->handle(From, Content, Now); }, Message);
}

void control_plane::handleProbe(const probe_result &Result, instant Now) {
  State->Targets.handleProbe(Result, Now);
}

void control_plane::handleObservations(std::span<const target_observation> Observations,
                                       instant Now) {
  State->Targets.handleObservations(Observations, Now);
}

void control_plane::handleConfiguration(member_id From,
                                        std::shared_ptr<const configuration> Configuration,
                                        instant Now) {
  State->Now = Now;
  State->Configs.handleConfiguration(From, std::move(Configuration));
}

void control_plane::handleFetchFailure(member_id From, instant Now) {
  State->Now = Now;
  State->Configs.handleFetchFailure(From);
}

void control_plane::sendRecords(member_id To, std::span<const flow_record> Records) {
  const member_entry *Entry = State->Members.find(To);
  if (Entry == nullptr)
    return;
  for (std::size_t Begin = 0; Begin < Records.size(); Begin += RecordsPerMessage) {
    const std::span<const flow_record> Part =
        Records.subspan(Begin, std::min(RecordsPerMessage, Records.size() - Begin));
    record_batch Batch;
    Batch.Sender = State->Members.self().Id;
    Batch.ReceiverIncarnation = Entry->Info.Incarnation;
    Batch.Records.assign(Part.begin(), Part.end());
    State->Listener.sendMessage(Entry->Info.Control, Batch);
  }
  State->RecordsQuietAt = State->Now + RecordsQuietPeriod;
}

void control_plane::sendTransferFinished(member_id To) {
  State->TransferredTo.insert(To);
  const member_entry *Entry = State->Members.find(To);
  if (Entry == nullptr)
    return;
  State->FinishedTransfers[To] = Entry->Info.Incarnation;
  State->sendEndOfTransfer(*Entry);
}

void control_plane::submitPatch(const patch &Patch, instant Now,
                                std::function<void(const patch_outcome &)> Done) {
  State->Now = Now;
  State->Configs.submitPatch(Patch, std::move(Done));
}

void control_plane::leave(instant Now) {
  if (State->Members.self().State == member_state::Leaving)
    return;
  State->Now = Now;
  State->EarliestExitAt = Now + MinLeaveDuration;
  State->UnconfirmedExitAt = Now + UnconfirmedLeaveTimeout;
  State->LatestExitAt = Now + MaxLeaveDuration;
  State->TransferredTo.clear();
  State->Members.setState(member_state::Leaving);
  State->run(Now);
}

bool control_plane::mayExit(instant Now) const {
  if (Now < State->EarliestExitAt)
    return false;
  if (Now >= State->LatestExitAt)
    return true;
  const bool Quiet = Now >= State->RecordsQuietAt;
  return Quiet && (Now >= State->UnconfirmedExitAt || State->allTransfersFinished());
}

bool control_plane::isReady() const { return State->Members.self().State == member_state::Ready; }

std::shared_ptr<const configuration> control_plane::inForce() const {
  return State->Configs.inForce();
}

std::vector<member_info> control_plane::members() const {
  std::vector<member_info> Result{State->Members.self()};
  for (const auto &[Id, Entry] : State->Members.others())
    Result.push_back(Entry.Info);
  return Result;
}

std::vector<target_status> control_plane::targetStatuses() const {
  return State->Targets.fullState();
}

control_plane_counters control_plane::counters() const {
  control_plane_counters Counters = State->Counters;
  Counters.PlatformRegressions = State->Configs.platformRegressions();
  Counters.OwnershipTables = State->Views.tablesBuilt();
  return Counters;
}

} // namespace briarpoint
