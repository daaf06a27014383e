#include "core/data/data_plane.h"

#include "core/data/record_transfer.h"
#include "core/data/reply_handler.h"
#include "core/filter/admission_filter.h"
#include "core/filter/flow_lookup_filter.h"
#include "core/filter/forward_filter.h"
#include "core/filter/service_match_filter.h"
#include "core/filter/target_choice_filter.h"

#include <algorithm>

namespace briarpoint {

/// Members are constructed in this order; later ones refer to earlier ones.
struct data_plane::state {
  state(member_id Self, const data_plane_settings &AllSettings, random_source &Random,
        data_plane_listener &Listener, admission_factory Factory)
      : Settings(AllSettings), Admission(std::move(Factory)), Output(Listener, Counters),
        Slots(Self, Settings.ConvergencePeriod), Store(Settings, Targets, Slots),
        Selector(Targets, Random, Settings.LoadEpsilon),
        Setups(Settings.MaxSetups, Settings.SetupTimeout),
        Detector(Settings.SilenceRepeats, Settings.SilenceSpan),
        Replicator(Self, Store, Slots, Targets, Selector, Matcher, Output),
        Replies(Settings, Store, Slots, Targets, Selector, Setups, Admission, Matcher, Replicator,
                Output),
        Transfer(Self, Settings, Store, Slots, Output), MatchFilter(Matcher, Output),
        LookupFilter(Self, Store, Slots, Targets, Selector, Output), AdmitFilter(Admission, Output),
        ChoiceFilter(Store, Targets, Selector, Setups, Output),
        ForwardFilter(Detector, Store, Targets, Selector, Replicator, Output),
        Filters{&MatchFilter, &LookupFilter, &AdmitFilter, &ChoiceFilter, &ForwardFilter} {}

  /// Number of packets whose records are prefetched together. Values above the number of cache
  /// misses that a processor handles at a time (10 to 48) give no further gain.
  static constexpr std::size_t GroupSize = 16;

  bool parse(std::span<const std::byte> Inner, packet_context &Context);
  void runFilters(packet_context &Context);
  void handle(std::span<const std::byte> Inner, const handover *ReceivedHandover, instant Now);
  void handleGroup(std::span<const std::span<const std::byte>> Packets, instant Now);
  void report(instant Now);

  data_plane_settings Settings;
  std::shared_ptr<const forwarding_view> View;
  data_plane_counters Counters;
  admission_table Admission;
  packet_output Output;
  service_matcher Matcher;
  target_directory Targets;
  slot_directory Slots;
  flow_store Store;
  target_selector Selector;
  setup_store Setups;
  silence_detector Detector;
  record_replicator Replicator;
  reply_handler Replies;
  record_transfer Transfer;
  service_match_filter MatchFilter;
  flow_lookup_filter LookupFilter;
  admission_filter AdmitFilter;
  target_choice_filter ChoiceFilter;
  forward_filter ForwardFilter;
  std::array<packet_filter *, 5> Filters;
  /// Reused by all calls of handleGroup, because initializing a context for each packet takes
  /// longer than the lookup.
  std::array<packet_context, GroupSize> Contexts;
  instant NextReportAt = instant::min();
  instant LastTick = instant::min();
  std::vector<target_observation> Observations;
};

bool data_plane::state::parse(std::span<const std::byte> Inner, packet_context &Context) {
  if (parsePacket(Inner, Context.Packet) != parse_error::None) {
    Output.drop(drop_reason::Malformed);
    return false;
  }
  const packet_view &Packet = Context.Packet;
  Context.Id = makeFlowId(Packet.Source, Packet.Destination, Packet.Protocol, Settings.HashSeed);
  return true;
}

void data_plane::state::runFilters(packet_context &Context) {
  for (packet_filter *Filter : Filters) {
    if (Filter->apply(Context) == filter_result::Done)
      return;
  }
}

void data_plane::state::handle(std::span<const std::byte> Inner, const handover *ReceivedHandover,
                               instant Now) {
  packet_context Context;
  Context.Now = Now;
  Context.ReceivedHandover = ReceivedHandover;
  if (parse(Inner, Context))
    runFilters(Context);
}

void data_plane::state::handleGroup(std::span<const std::span<const std::byte>> Packets,
                                    instant Now) {
  std::size_t Count = 0;
  for (const std::span<const std::byte> Packet : Packets) {
    packet_context &Context = Contexts[Count];
    Context.reset(Now, nullptr);
    if (!parse(Packet, Context))
      continue;
    Store.table().prefetchBucket(Context.Id);
    ++Count;
  }
  for (std::size_t I = 0; I < Count; ++I)
    Store.table().prefetchEntry(Contexts[I].Id);
  for (std::size_t I = 0; I < Count; ++I)
    runFilters(Contexts[I]);
}

void data_plane::state::report(instant Now) {
  if (Now < NextReportAt)
    return;
  NextReportAt = Now + Settings.ReportInterval;
  Observations.clear();
  for (target_state &Target : Targets.all()) {
    if (Target.View == nullptr)
      continue;
    Target.Observation.OpenFlows = Target.OpenFlows;
    Observations.push_back(Target.Observation);
    Target.Observation = {};
    Target.Observation.Target = Target.Id;
  }
  Output.listener().reportObservations(Observations);
}

data_plane::data_plane(member_id Self, const data_plane_settings &Settings, random_source &Random,
                       data_plane_listener &Listener, admission_factory Admission)
    : State(std::make_unique<state>(Self, Settings, Random, Listener, std::move(Admission))) {}

data_plane::~data_plane() = default;

void data_plane::applyView(std::shared_ptr<const forwarding_view> View, instant Now) {
  // Keeps the former view alive until all parts have replaced their pointers into it.
  const std::shared_ptr<const forwarding_view> Former = std::move(State->View);
  State->View = std::move(View);
  const forwarding_view &Current = *State->View;
  State->Output.setView(Current);
  State->Matcher.setView(Current);
  State->Targets.applyView(Current);
  if (State->Slots.applyView(Current, Now))
    State->Store.updateOwnership();
  State->Transfer.applyView(Current);
}

void data_plane::handleForward(std::span<const std::byte> Inner, instant Now) {
  ++State->Counters.ForwardPackets;
  if (State->View == nullptr)
    State->Output.drop(drop_reason::NoOwner);
  else
    State->handle(Inner, nullptr, Now);
}

void data_plane::handleForwardBatch(std::span<const std::span<const std::byte>> Packets,
                                    instant Now) {
  State->Counters.ForwardPackets += Packets.size();
  while (!Packets.empty()) {
    const std::size_t Count = std::min(Packets.size(), state::GroupSize);
    if (State->View == nullptr)
      State->Counters.Dropped[static_cast<std::size_t>(drop_reason::NoOwner)] += Count;
    else
      State->handleGroup(Packets.first(Count), Now);
    Packets = Packets.subspan(Count);
  }
}

void data_plane::handleReply(const target_view &Target, std::span<const std::byte> Inner,
                             instant Now) {
  ++State->Counters.ReplyPackets;
  if (State->View == nullptr)
    State->Output.drop(drop_reason::NoOwner);
  else
    State->Replies.handleReplyFromTarget(Target, Inner, Now);
}

void data_plane::handleHandover(const handover &Handover, std::span<const std::byte> Inner,
                                instant Now) {
  if (State->View == nullptr)
    State->Output.drop(drop_reason::NoOwner);
  else if (Handover.Kind == handover_kind::Replicate)
    State->Replicator.receive(Handover, Inner, Now);
  else if (Handover.Kind == handover_kind::TargetReply)
    State->Replies.handleReplyFromBalancer(Handover, Inner, Now);
  else
    State->handle(Inner, &Handover, Now);
}

void data_plane::handleRecords(std::span<const flow_record> Records, instant Now) {
  for (const flow_record &Record : Records) {
    if (!State->Store.merge(Record, Now))
      State->Output.drop(drop_reason::TableFull);
  }
}

void data_plane::tick(instant Now) {
  State->LastTick = Now;
  if (State->View == nullptr)
    return;
  State->Store.sweep(Now, *State->View);
  State->Replies.expireSetups(Now);
  State->Transfer.tick(Now);
  State->report(Now);
}

void data_plane::reset(instant Now) {
  State->Store.clear();
  State->Setups.clear();
  State->Transfer.clear();
  State->Slots.markAllChanged(Now);
}

data_plane_counters data_plane::counters() const {
  data_plane_counters Counters = State->Counters;
  Counters.Records = State->Store.table().size();
  Counters.OwnedRecords = State->Store.ownedRecords();
  return Counters;
}

std::vector<flow_record> data_plane::records() const {
  std::vector<flow_record> Records;
  const flow_table &Table = State->Store.table();
  for (std::uint32_t I = 0; I < Table.indexEnd(); ++I) {
    if (const flow_entry *Entry = Table.at(I))
      Records.push_back(State->Store.toRecord(*Entry, State->LastTick));
  }
  return Records;
}

} // namespace briarpoint
