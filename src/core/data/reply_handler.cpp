#include "core/data/reply_handler.h"

namespace briarpoint {

bool reply_handler::parse(std::span<const std::byte> Bytes, target_id Target, reply &Reply) {
  Reply.Bytes = Bytes;
  Reply.Target = Target;
  if (parsePacket(Bytes, Reply.Packet) == parse_error::None) {
    Reply.Key = Reply.Packet.replyKey();
  } else {
    icmp_error_view Error;
    if (!parseIcmpError(Bytes, Error)) {
      Output.drop(drop_reason::Malformed);
      return false;
    }
    Reply.Unreachable = true;
    Reply.Key = Error.Quoted;
  }
  return true;
}

void reply_handler::handleReplyFromTarget(const target_view &Target,
                                          std::span<const std::byte> Bytes, instant Now) {
  reply Reply;
  if (!parse(Bytes, Target.Id, Reply))
    return;
  const service_view *Service = Matcher.match(Reply.Key.Service, Reply.Key.Protocol).Service;
  if (Service == nullptr || Service->Id != Target.Service) {
    Output.drop(drop_reason::WrongService);
    return;
  }
  // Only replies that may change the record need the extra hop to the flow's owner.
  if (!Reply.Unreachable && Reply.Packet.isTcp() && !Reply.Packet.has(TcpSyn | TcpFin | TcpRst)) {
    Output.sendToCaller(Bytes);
    return;
  }
  Reply.Id = makeFlowId(Reply.Key, Settings.HashSeed);
  flow_entry *Entry = Slots.routeOf(Reply.Id).SelfFirst ? Store.find(Reply.Id, Now) : nullptr;
  if (Entry != nullptr)
    handleKnown(*Entry, Reply, Now);
  else
    handleUnknown(Reply, nullptr, Now);
}

void reply_handler::handleReplyFromBalancer(const handover &Handover,
                                            std::span<const std::byte> Bytes, instant Now) {
  reply Reply;
  if (!parse(Bytes, Handover.Target, Reply))
    return;
  Reply.Id = makeFlowId(Reply.Key, Settings.HashSeed);
  if (flow_entry *Entry = Store.find(Reply.Id, Now))
    handleKnown(*Entry, Reply, Now);
  else
    handleUnknown(Reply, &Handover, Now);
}

void reply_handler::handleUnknown(const reply &Reply, const handover *ReceivedHandover,
                                  instant Now) {
  const slot_route &Route = Slots.routeOf(Reply.Id);
  if (Route.FirstHop == NoHop) {
    Output.drop(drop_reason::NoOwner);
    return;
  }
  handover Handover;
  Handover.Kind = handover_kind::TargetReply;
  Handover.Hops = ReceivedHandover == nullptr ? 0 : ReceivedHandover->Hops;
  Handover.Target = Reply.Target;
  if (ReceivedHandover != nullptr && ReceivedHandover->Origin != NoMember) {
    // Another owner has started a lookup of the record; continue it.
    Handover.Origin = ReceivedHandover->Origin;
    Handover.RemainingHops = ReceivedHandover->RemainingHops;
  } else if (!Route.SelfFirst) {
    Output.sendToMember(Route.FirstHop, Handover, Reply.Bytes);
    return;
  } else {
    Handover.Origin = Output.view().members()[Route.FirstHop].Id;
    Handover.RemainingHops = Slots.lookupHops(Slots.slotOf(Reply.Id), Output.view(), Now);
  }
  if (!Output.sendToNextHop(Handover, Reply.Bytes))
    Output.drop(drop_reason::StaleReply);
}

void reply_handler::handleKnown(flow_entry &Entry, const reply &Reply, instant Now) {
  if (Targets[Entry.Target].Id != Reply.Target) {
    Output.drop(drop_reason::StaleReply);
    return;
  }
  if (Reply.Unreachable)
    handleRefusal(Entry, Reply, Now);
  else if (Reply.Packet.isTcp())
    handleTcp(Entry, Reply, Now);
  else
    handleUdp(Entry, Reply, Now);
}

void reply_handler::handleTcp(flow_entry &Entry, const reply &Reply, instant Now) {
  const packet_view &Packet = Reply.Packet;
  if (Packet.has(TcpRst)) {
    // A RST refuses the SYN if it acknowledges exactly the SYN.
    const bool Refuses = Entry.Phase == flow_phase::Opening && Packet.has(TcpAck) &&
                         Packet.Acknowledgement == Entry.InitialSequence + 1;
    if (Refuses) {
      handleRefusal(Entry, Reply, Now);
      return;
    }
  }
  if (Packet.has(TcpRst | TcpFin)) {
    releaseSetup(Entry);
    Store.advancePhase(Entry,
                       Packet.has(TcpRst) ? flow_phase::Closed
                                          : phaseAfterFin(Entry.Phase, flow_side::Target),
                       Now);
  } else if (Entry.Phase == flow_phase::Opening) {
    recordAcceptance(Entry, Now);
  }
  // A retransmitted SYN-ACK or FIN is replicated again, because the first one may have been lost.
  replicate(Entry, Reply, Now);
}

void reply_handler::handleUdp(flow_entry &Entry, const reply &Reply, instant Now) {
  Targets[Entry.Target].AnswersDatagrams = true;
  silence_detector::observeReply(Entry.Silence, Now, Targets[Entry.Target].LastProgress);
  if (Entry.Phase == flow_phase::Opening) {
    recordAcceptance(Entry, Now);
    replicate(Entry, Reply, Now);
    return;
  }
  if (Entry.Phase == flow_phase::Established)
    Store.touch(Entry, Now);
  Output.sendToCaller(Reply.Bytes);
}

void reply_handler::recordAcceptance(flow_entry &Entry, instant Now) {
  target_state &Target = Targets[Entry.Target];
  ++Target.Observation.Accepted;
  Target.LastProgress = Now;
  Selector.recordSuccess(Entry.Target);
  Admission.recordOutcome(Entry.Service, false, Now);
  releaseSetup(Entry);
  Store.advancePhase(Entry, flow_phase::Established, Now);
}

void reply_handler::handleRefusal(flow_entry &Entry, const reply &Reply, instant Now) {
  if (Entry.Phase != flow_phase::Opening) {
    Output.sendToCaller(Reply.Bytes);
    return;
  }
  ++Targets[Entry.Target].Observation.Refused;
  Selector.recordFailure(Entry.Target, Now);
  // Each refusal counts, even if another target accepts the setup later: admission control has to
  // reject requests before setups fail.
  Admission.recordOutcome(Entry.Service, true, Now);
  const service_view *Service = Matcher.match(Reply.Key.Service, Reply.Key.Protocol).Service;
  if (Service != nullptr && retryAtOtherTarget(Entry, *Service, Now))
    return;

  // No other target is tried, so the caller gets the refusal.
  releaseSetup(Entry);
  Store.advancePhase(Entry, flow_phase::Closed, Now);
  replicate(Entry, Reply, Now);
}

bool reply_handler::retryAtOtherTarget(flow_entry &Entry, const service_view &Service,
                                       instant Now) {
  if (Entry.Setup == NoSetup)
    return false;
  const pending_setup &Setup = Setups[Entry.Setup];
  if (Setup.packet().empty() || Setup.tried().size() > Settings.SetupRetries)
    return false;
  const std::uint32_t Target = Selector.choose(Service, Entry.Id, Setup.tried(), Now);
  if (Target == NoIndex || !Setups.addTarget(Entry.Setup, Target, Now))
    return false;
  Store.setTarget(Entry, Target);
  ++Entry.Revision;
  ++Targets[Target].Observation.Setups;
  Replicator.start(Entry, Setup.packet(), packet_direction::ToTarget, &Service, Now);
  return true;
}

void reply_handler::releaseSetup(flow_entry &Entry) {
  if (Entry.Setup != NoSetup)
    Setups.release(Entry.Setup);
  Entry.Setup = NoSetup;
}

void reply_handler::replicate(flow_entry &Entry, const reply &Reply, instant Now) {
  Replicator.start(Entry, Reply.Bytes, packet_direction::ToCaller, nullptr, Now);
}

void reply_handler::expireSetups(instant Now) {
  for (std::uint16_t Index = Setups.removeExpired(Now); Index != NoSetup;
       Index = Setups.removeExpired(Now)) {
    flow_entry *Entry = Store.find(Setups[Index].Id, Now);
    // The flow may have been closed or replaced by a new one in the meantime.
    if (Entry == nullptr || Entry->Setup != Index)
      continue;
    Entry->Setup = NoSetup;
    if (Entry->Phase != flow_phase::Opening)
      continue;
    target_state &Target = Targets[Entry->Target];
    // Some services never answer datagrams, so a target that has answered none isn't failing.
    if (Entry->Protocol == transport::Udp && !Target.AnswersDatagrams)
      continue;
    ++Target.Observation.TimedOut;
    Selector.recordFailure(Entry->Target, Now);
    // A target without recent progress is down, not overloaded, so fewer admissions wouldn't help.
    if (Now < Target.LastProgress + Settings.SetupTimeout)
      Admission.recordOutcome(Entry->Service, true, Now);
  }
}

} // namespace briarpoint
