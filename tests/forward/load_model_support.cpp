#include "tests/forward/load_model.h"

#include "forward/suspicion_exchange.h"
#include "net/ipv4_endpoint.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace briarpoint::test {

using std::chrono::milliseconds;

namespace {

const ipv4_endpoint ServiceAddress{0xc6120001, 443};
const ipv4_endpoint LowPriorityAddress{0xc6120002, 443};
constexpr std::uint32_t LowPriority = 3;
/// One-way delay between any two endpoints.
constexpr duration OneWayDelay = milliseconds(1);
constexpr duration FirstRepeatDelay = milliseconds(200);
/// Limits of an attempt to open a flow.
constexpr int MaxOpenRepeats = 2;
constexpr duration OpenTimeout = milliseconds(1400);
constexpr int MaxAttempts = 3;
constexpr duration SweepInterval = milliseconds(250);

target_registry_settings registrySettings(const std::string &DataCentre) {
  target_registry_settings Result;
  Result.DataCentre = DataCentre;
  return Result;
}

} // namespace

void load_model::message_sender::send(const endpoint &To, const suspicion_message &Message) {
  Model.deliverMessage(From, To, writeSuspicionMessage(Message).size(),
                       [From = endpointOf(From), Message, &Model = Model](balancer &Receiver) {
                         Receiver.SuspicionExchange.receive(From, true, Message, Model.Now);
                         if (Message.Type == suspicion_message::type::Notice)
                           Receiver.DeadTargets.onNotice(From, Message.Targets, Model.Now);
                       });
}

void load_model::message_sender::send(const endpoint &To, const target_state_message &Message) {
  Model.deliverMessage(From, To, writeTargetStateMessage(Message).size(),
                       [From = endpointOf(From), Message, &Model = Model](balancer &Receiver) {
                         Receiver.DeadTargets.receive(From, true, Message, Model.Now);
                         Receiver.DeadTargets.decide(Model.Now);
                       });
}

void load_model::deliverMessage(std::size_t From, const endpoint &To, std::size_t Size,
                                std::function<void(balancer &)> Handle) {
  balancer &Receiver = *Balancers[balancerAt(To)];
  balancer &Sender = *Balancers[From];
  constexpr std::size_t DatagramHeaderSize = 28;
  ++Result.StateMessages;
  Sender.StateBytes += Size + DatagramHeaderSize;
  Receiver.StateBytes += Size + DatagramHeaderSize;
  const bool Cut =
      Sender.DataCentre != Receiver.DataCentre &&
      (Sender.DataCentre == IsolatedDataCentre || Receiver.DataCentre == IsolatedDataCentre);
  if (Cut || lost(Sender) || lost(Receiver))
    return;
  after(std::max(OneWayDelay, Receiver.PausedUntil - Now),
        [this, &Receiver, Handle = std::move(Handle)] {
          Handle(Receiver);
          if (Receiver.DeadTargets.consumeFoundFlag())
            resetFlows(Receiver);
        });
}

void load_model::sendToReader(std::size_t Balancer, const target_state_message &Message) {
  Balancers[Balancer]->Sender.send(endpointOf(0), Message);
}

bool load_model::lost(const balancer &Balancer) {
  return Balancer.Loss > 0 && Random.unit() < Balancer.Loss;
}

void load_model::pause(std::size_t Balancer, duration Time) {
  Balancers[Balancer]->PausedUntil = Now + Time;
}

void load_model::setFault(std::size_t Target, fault Fault) {
  Targets[Target]->Fault = Fault;
  Targets[Target]->SilentSince = Fault == fault::Silent ? Now : Never;
}

void load_model::restart(std::size_t Target, duration Delay) {
  target_registration &Entry = Targets[Target]->Registration;
  Entry.StartedMs += 1000;
  Entry.Revision = ++Revision;
  setFault(Target, fault::None);
  // Callers of the earlier process lose their flows.
  for (const auto &Caller : Callers)
    if (Caller->Target == Targets[Target].get())
      failed(*Caller);
  after(Delay, [this, Entry] {
    for (const auto &Balancer : Balancers)
      Balancer->Registry.put(Entry, Now);
  });
}

void load_model::countDeadReset(const caller_model &Caller, const target &Target) {
  // A flow that the caller has given up doesn't count.
  const target_model *Model = Targets[Target.Registration.Number - 1].get();
  if (Caller.Target == Model)
    ++(Model->Fault == fault::Silent ? Result.DeadResets : Result.WrongDeadResets);
}

load_model::balancer::balancer(load_model &Model, std::size_t Index, const std::string &DataCentre)
    : DataCentre(DataCentre), Registry(registrySettings(DataCentre)),
      Forwarder({}, Routes, Registry, Model.Random, Observer), Local(endpointOf(Index)),
      Sender(Model, Index), SuspicionExchange(Local, Registry, Sender),
      DeadTargets(Local, std::chrono::seconds(4), Registry, SuspicionExchange, Sender),
      Pooled(Registry, Forwarder.loadMeter()),
      Load(Local, Registry, Forwarder.loadMeter(), Pooled, Sender, Model.LoadRandom),
      Admission({}, Routes, Pooled, Model.LoadRandom) {
  if (Model.Settings.ShareLoad != load_sharing::None)
    Forwarder.setPooledLoad(&Pooled);
  routing_configuration Configuration{
      1, {{"r", ServiceAddress, 0, {{"s", 1}}}}, std::chrono::seconds(15)};
  if (Model.Settings.LowPriorityShare > 0) {
    Configuration.Routes.push_back({"low", LowPriorityAddress, LowPriority, {{"s", 1}}});
    Forwarder.setAdmission(&Admission);
  }
  Routes.apply(Configuration);
  Forwarder.setTargetsLoaded();
}

load_model::load_model(const load_settings &AllSettings)
    : Settings(AllSettings), Random(AllSettings.Seed), LoadRandom(AllSettings.Seed + 1) {
  std::uint64_t Number = 0;
  for (std::size_t D = 0; D < Settings.DataCentres.size(); ++D)
    for (std::size_t I = 0; I < Settings.Targets[D]; ++I) {
      Targets.push_back(std::make_unique<target_model>());
      target_registration &Entry = Targets.back()->Registration;
      Entry = {"i-" + std::to_string(++Number),
               Number,
               "s",
               {static_cast<std::uint32_t>(Number), 80},
               Settings.DataCentres[D],
               Settings.Slots,
               false,
               0,
               1,
               Number,
               Number};
    }
  for (std::size_t D = 0; D < Settings.DataCentres.size(); ++D) {
    for (std::size_t I = 0; I < Settings.BalancersPerDataCentre; ++I) {
      Balancers.push_back(
          std::make_unique<balancer>(*this, Balancers.size(), Settings.DataCentres[D]));
      for (const auto &Target : Targets)
        Balancers.back()->Registry.put(Target->Registration, Now);
    }
    for (std::size_t I = 0; I < Settings.CallersPerDataCentre; ++I) {
      Callers.push_back(std::make_unique<caller_model>());
      caller_model &Caller = *Callers.back();
      Caller.DataCentre = Settings.DataCentres[D];
      Caller.Balancer = D * Settings.BalancersPerDataCentre + I % Settings.BalancersPerDataCentre;
      setFlow(Caller);
      after(duration(Random.below(static_cast<std::uint64_t>(Settings.MeanPause.count()))),
            [this, &Caller] { sendRequest(Caller); });
    }
  }
  for (std::size_t I = 0; I < Settings.BurstCallers; ++I) {
    Callers.push_back(std::make_unique<caller_model>());
    caller_model &Caller = *Callers.back();
    Caller.DataCentre = Settings.DataCentres.front();
    Caller.Balancer = I % Settings.BalancersPerDataCentre;
    setFlow(Caller);
    Caller.EndsAt = Start + Settings.BurstTo;
    at(Settings.BurstFrom +
           duration(Random.below(static_cast<std::uint64_t>(Settings.MeanPause.count()))),
       [this, &Caller] { sendRequest(Caller); });
  }
}

void load_model::setFlow(caller_model &Caller) {
  const std::size_t Number = Callers.size();
  const auto LowBefore =
      static_cast<std::size_t>(Settings.LowPriorityShare * static_cast<double>(Number - 1));
  const auto LowNow =
      static_cast<std::size_t>(Settings.LowPriorityShare * static_cast<double>(Number));
  Caller.Priority = LowNow > LowBefore ? LowPriority : 0;
  Caller.Packet.Flow = {{static_cast<std::uint32_t>(Number), 1024},
                        Caller.Priority == 0 ? ServiceAddress : LowPriorityAddress};
}

void load_model::after(duration Delay, std::function<void()> Run) {
  Events.push({Now + Delay, ++EventNumber, std::move(Run)});
}

void load_model::at(duration Time, std::function<void()> Action) {
  Events.push({Start + Time, ++EventNumber, std::move(Action)});
}

std::size_t load_model::targetIn(const std::string &DataCentre) const {
  std::size_t I = 0;
  while (Targets[I]->Registration.DataCentre != DataCentre)
    ++I;
  return I;
}

void load_model::drain(std::size_t Target) {
  target_registration &Entry = Targets[Target]->Registration;
  Entry.Draining = true;
  Entry.Revision = ++Revision;
  for (const auto &Balancer : Balancers)
    Balancer->Registry.put(Entry, Now);
}

void load_model::evacuate(const std::string &DataCentre) {
  Evacuations.evacuate(DataCentre);
  for (const auto &Balancer : Balancers)
    Balancer->Registry.setEvacuated(Evacuations.evacuated());
}

void load_model::withdraw(const std::string &DataCentre, duration ColdTime) {
  Evacuations.withdraw(DataCentre);
  for (std::size_t I = 0; I < Targets.size(); ++I) {
    target_registration &Entry = Targets[I]->Registration;
    if (Entry.DataCentre != DataCentre)
      continue;
    Entry.WarmUpMs = static_cast<std::uint32_t>(ColdTime / milliseconds(1));
    Entry.Revision = ++Revision;
    slow(I, target_chooser::WarmUpFactor);
    after(ColdTime, [this, I] { slow(I, 1); });
    for (const auto &Balancer : Balancers)
      Balancer->Registry.put(Entry, Now);
  }
  for (const auto &Balancer : Balancers)
    Balancer->Registry.setEvacuated(Evacuations.evacuated());
}

bool load_model::reachable(const std::string &From, const target_model &To) const {
  const std::string &ToDataCentre = To.Registration.DataCentre;
  return From == ToDataCentre || (From != IsolatedDataCentre && ToDataCentre != IsolatedDataCentre);
}

void load_model::sendRequest(caller_model &Caller) {
  if (Now >= Caller.EndsAt)
    return;
  Caller.RequestedAt = Now;
  Caller.Waiting = true;
  Caller.Attempts = 0;
  if (Now >= CountFrom && Now < CountTo) {
    ++Result.Requests;
    ++Result.ByDataCentre[Caller.DataCentre].Requests;
    ++Result.ByPriority[Caller.Priority].Requests;
  }
  if (Caller.Target == nullptr) {
    open(Caller);
    return;
  }
  if (Caller.Target->SilentSince != Never && Now >= Caller.Target->SilentSince + Settings.LateAfter)
    ++Result.LateRequests;
  Caller.Packet.Opens = false;
  Caller.Packet.DataSize = 100;
  transmit(Caller, 0);
}

void load_model::open(caller_model &Caller) {
  ++Caller.Attempts;
  Caller.RequestsOnFlow = 0;
  ++Caller.Packet.Flow.Caller.Port;
  Caller.Packet.Opens = true;
  Caller.Packet.Sequence = static_cast<std::uint32_t>(Random.next());
  Caller.Packet.Acknowledged = 0;
  Caller.Packet.Token = NoToken;
  Caller.Packet.DataSize = 0;
  transmit(Caller, 0);
  after(OpenTimeout, [this, &Caller, Step = Caller.Step] {
    if (Caller.Step == Step)
      failed(Caller);
  });
}

void load_model::transmit(caller_model &Caller, int Repeat) {
  if (Repeat == 0)
    ++Caller.Step;
  if (Now >= Caller.RequestedAt + Settings.RequestTimeout) {
    Caller.Target = nullptr;
    finish(Caller, false);
    return;
  }
  balancer &Balancer = *Balancers[Caller.Balancer];
  caller_packet Packet = Caller.Packet;
  if (Packet.Opens)
    Packet.Acknowledged = static_cast<std::uint32_t>(Repeat);
  const std::uint64_t Step = Caller.Step;
  if (Now < Balancer.PausedUntil)
    after(Balancer.PausedUntil - Now,
          [this, &Caller, Packet, Step] { deliver(Caller, Packet, Step); });
  else
    deliver(Caller, Packet, Step);
  if (Packet.Opens && Repeat >= MaxOpenRepeats)
    return;
  after(FirstRepeatDelay * (1 << Repeat), [this, &Caller, Step, Repeat] {
    if (Caller.Step == Step)
      transmit(Caller, Repeat + 1);
  });
}

void load_model::deliver(caller_model &Caller, const caller_packet &Packet, std::uint64_t Step) {
  balancer &Balancer = *Balancers[Caller.Balancer];
  if (lost(Balancer))
    return;
  const forward_decision Decision = Balancer.Forwarder.decide(Packet, Now);
  Balancer.DeadTargets.confirmAnswers(Now);
  if (Decision.Action == forward_action::Reset) {
    if (Decision.Reason == forward_reason::TargetDead)
      countDeadReset(Caller, *Decision.Target);
    Result.NotAdmitted += Decision.Reason == forward_reason::Overload ? 1U : 0U;
    after(OneWayDelay, [this, &Caller, Step] {
      if (Caller.Step == Step)
        failed(Caller);
    });
  }
  if (Decision.Action != forward_action::Forward)
    return;
  target_model &Target = *Targets[Decision.Target->Registration.Number - 1];
  if (Packet.Opens && Target.SilentSince != Never && Now >= Target.SilentSince + milliseconds(2000))
    ++Result.LateOpens;
  if (reachable(Balancer.DataCentre, Target) && !lost(Balancer))
    after(OneWayDelay, [this, &Caller, &Target, Step] { arrive(Caller, Target, Step); });
}

void load_model::arrive(caller_model &Caller, target_model &Target, std::uint64_t Step) {
  if (Caller.Step != Step || Target.Fault == fault::Silent)
    return;
  if (Caller.Packet.Opens && Evacuations.contains(Target.Registration.DataCentre))
    ++Result.OpensAtEvacuated;
  if (Target.Fault == fault::Refusing) {
    after(OneWayDelay, [this, &Caller, Step] {
      if (Caller.Step == Step)
        failed(Caller);
    });
    return;
  }
  if (!Caller.Packet.Opens) {
    ++Target.Arrivals;
    ++Caller.Step;
    serve(
        Target, [this, &Caller, &Target] { answered(Caller, Target); },
        [this, &Caller] { rejected(Caller); });
    return;
  }
  ++Caller.Step;
  after(OneWayDelay, [this, &Caller, &Target] {
    // The packet that ends the handshake, followed at once by the request.
    Caller.Target = &Target;
    Caller.Packet.Opens = false;
    ++Caller.Packet.Sequence;
    Caller.Packet.Acknowledged = 1;
    Caller.Packet.Token = makeFlowToken(Target.Registration.Number);
    acknowledge(Caller);
    Caller.Packet.DataSize = 100;
    transmit(Caller, 0);
  });
}

void load_model::acknowledge(caller_model &Caller) {
  balancer &Balancer = *Balancers[Caller.Balancer];
  const auto Handle = [this, &Balancer, Packet = Caller.Packet] {
    if (lost(Balancer))
      return;
    Balancer.Forwarder.decide(Packet, Now);
    Balancer.DeadTargets.confirmAnswers(Now);
  };
  if (Now < Balancer.PausedUntil)
    after(Balancer.PausedUntil - Now, Handle);
  else
    Handle();
}

void load_model::rejected(caller_model &Caller) {
  ++Result.Rejections;
  after(OneWayDelay, [this, &Caller] {
    if (Settings.RejectByAnswer) {
      Caller.Packet.Sequence += 100;
      Caller.Packet.Acknowledged += 100;
      Caller.Packet.DataSize = 0;
      Caller.Packet.Ends = true;
      Balancers[Caller.Balancer]->Forwarder.decide(Caller.Packet, Now);
      Caller.Packet.Ends = false;
    }
    failed(Caller);
  });
}

void load_model::serve(target_model &Target, std::function<void()> Done,
                       std::function<void()> Rejected) {
  if (Target.Busy < Target.Registration.Slots) {
    runAt(Target, std::move(Done));
    return;
  }
  const bool Late = Settings.LateRejection > duration::zero();
  if (!Late && Target.Queue.size() >= Settings.QueueCapacity) {
    Rejected();
    return;
  }
  const std::uint64_t Number = ++Target.QueueNumber;
  Target.Queue.push_back({Number, std::move(Done)});
  if (Late)
    after(Settings.LateRejection, [&Target, Number, Rejected = std::move(Rejected)] {
      if (std::erase_if(Target.Queue, [&](const auto &Queued) { return Queued.Number == Number; }) >
          0)
        Rejected();
    });
}

void load_model::runAt(target_model &Target, std::function<void()> Done) {
  ++Target.Busy;
  const double Drawn = Settings.WorkSpreadMs > 0
                           ? Settings.MeanWorkMs + Settings.WorkSpreadMs * (2 * Random.unit() - 1)
                           : -std::log(1 - Random.unit()) * Settings.MeanWorkMs;
  const double Work = Drawn * Target.Slowness;
  after(duration(static_cast<duration::rep>(Work * 1e6)), [this, &Target, Done = std::move(Done)] {
    --Target.Busy;
    Done();
    if (Target.Queue.empty())
      return;
    std::function<void()> Next = std::move(Target.Queue.front().Done);
    Target.Queue.pop_front();
    runAt(Target, std::move(Next));
  });
}

void load_model::answered(caller_model &Caller, target_model &Target) {
  if (Target.Fault == fault::Silent || !Caller.Waiting || Caller.Target != &Target)
    return;
  Caller.Packet.Sequence += 100;
  Caller.Packet.Acknowledged += 1000;
  Caller.Packet.DataSize = 0;
  Caller.Packet.Ends =
      Target.Registration.Draining ||
      (Settings.RequestsPerFlow != 0 && ++Caller.RequestsOnFlow >= Settings.RequestsPerFlow);
  acknowledge(Caller);
  if (std::exchange(Caller.Packet.Ends, false))
    Caller.Target = nullptr;
  finish(Caller, true);
}

void load_model::failed(caller_model &Caller) {
  ++Caller.Step;
  Caller.Target = nullptr;
  if (!Caller.Waiting)
    return;
  if (Caller.Attempts >= MaxAttempts)
    finish(Caller, false);
  else
    open(Caller);
}

void load_model::finish(caller_model &Caller, bool Served) {
  ++Caller.Step;
  Caller.Waiting = false;
  if (Served && Caller.RequestedAt >= CountFrom && Caller.RequestedAt < CountTo) {
    ++Result.Served;
    const std::uint64_t OnTime = Now - Caller.RequestedAt <= Settings.LatencyObjective ? 1 : 0;
    Result.OnTime += OnTime;
    caller_result &Callers = Result.ByDataCentre[Caller.DataCentre];
    ++Callers.Served;
    Callers.OnTime += OnTime;
    caller_result &Priority = Result.ByPriority[Caller.Priority];
    ++Priority.Served;
    Priority.OnTime += OnTime;
  }
  const double Pause =
      -std::log(1 - Random.unit()) * static_cast<double>(Settings.MeanPause.count());
  after(duration(static_cast<duration::rep>(Pause)), [this, &Caller] { sendRequest(Caller); });
}

void load_model::resetFlows(balancer &Balancer) {
  Balancer.Forwarder.sweep(
      Now, [&](const flow_address &Flow, const tracked_flow &Tracked, forward_reason Reason) {
        caller_model &Caller = *Callers[Flow.Caller.Address - 1];
        if (Caller.Packet.Flow != Flow)
          return;
        if (Reason == forward_reason::TargetDead)
          countDeadReset(Caller, *Tracked.Target);
        failed(Caller);
      });
}

void load_model::sweep() {
  if (!Settings.ShareTargetStates)
    for (const auto &Balancer : Balancers)
      resetFlows(*Balancer);
  if (Settings.ShareSuspicions)
    shareSuspicions();
  if (Settings.ShareLoad != load_sharing::None)
    shareLoad();
}

void load_model::shareLoad() {
  ++Sweeps;
  if (Settings.ShareLoad == load_sharing::Gossip) {
    for (const auto &Balancer : Balancers)
      Balancer->Forwarder.measureLoad(Now);
    if (Sweeps % 2 == 0)
      gossip();
    return;
  }
  // Balancers sweep at different times.
  for (std::size_t I = 0; I < Balancers.size(); ++I)
    after(I * SweepInterval / Balancers.size(), [this, I, Sweep = Sweeps] {
      const endpoint ReaderEndpoint = endpointOf(Reader);
      // Balancers ask the reader for the store's revision every 4.25 s. Other readers don't ask.
      if (!isReader(I) && Sweep % 17 == I % 17)
        Balancers[Reader]->Load.onContact(endpointOf(I), Now);
      Balancers[I]->Forwarder.measureLoad(Now);
      Balancers[I]->Load.update(I == Reader ? nullptr : &ReaderEndpoint, isReader(I), Now);
      Balancers[I]->Admission.onSummary(Balancers[I]->Pooled.round(), Now);
    });
}

void load_model::gossip() {
  for (std::size_t I = 0; I < Balancers.size(); ++I)
    Balancers[I]->Gossip[I] = {Now, Balancers[I]->Forwarder.loadMeter().takeReport()};
  for (std::size_t I = 0; I < Balancers.size(); ++I) {
    balancer &Balancer = *Balancers[I];
    std::erase_if(Balancer.Gossip, [&](const auto &Known) {
      return Now >= Known.second.At + std::chrono::seconds(5);
    });
    load_summary Sum;
    std::map<load_key, load_summary_entry> Sums;
    std::size_t Size = 28;
    for (const auto &[From, Known] : Balancer.Gossip) {
      // Number of the balancer and time (8 bytes), and entries.
      Size += 8 + 12 * Known.Entries.size();
      for (const load_report_entry &Entry : Known.Entries) {
        load_summary_entry &Total = Sums[Entry.Key];
        Total.Key = Entry.Key;
        Total.InProgress += Entry.InProgress;
        Total.Answered += Entry.Answered;
        Total.Rejected += Entry.Rejected;
      }
    }
    Sum.Round = static_cast<std::uint32_t>(Sweeps);
    for (const auto &[Key, Entry] : Sums)
      Sum.Entries.push_back(Entry);
    Balancer.Pooled.apply(Sum, Now);
    for (int Copy = 0; Copy < 2; ++Copy)
      sendLoadMessage(I, endpointOf(LoadRandom.below(Balancers.size())), Size, nullptr,
                      [Known = Balancer.Gossip](balancer &To) {
                        for (const auto &[From, Entry] : Known)
                          if (Entry.At > To.Gossip[From].At)
                            To.Gossip[From] = Entry;
                      });
  }
}

std::size_t load_model::balancerAt(const endpoint &Endpoint) {
  std::size_t I = 0;
  while (endpointOf(I) != Endpoint)
    ++I;
  return I;
}

endpoint load_model::endpointOf(std::size_t Balancer) {
  return toEndpoint({0x0a000001U + static_cast<std::uint32_t>(Balancer), 7720});
}

void load_model::sendLoadMessage(std::size_t From, const endpoint &To, std::size_t Size,
                                 load_summary *Summary,
                                 const std::function<void(balancer &)> &Receive) {
  const std::size_t Index = toIpv4Endpoint(To)->Address - 0x0a000001U;
  balancer &Sender = *Balancers[From];
  balancer &Receiver = *Balancers[Index];
  ++Result.LoadMessages;
  Result.LoadBytes += Size;
  Sender.LoadBytes += Size;
  const bool Cut =
      Sender.DataCentre != Receiver.DataCentre &&
      (Sender.DataCentre == IsolatedDataCentre || Receiver.DataCentre == IsolatedDataCentre);
  if (Cut || (DropLoadMessage && DropLoadMessage(From, Index, Summary)))
    return;
  Receiver.LoadBytes += Size;
  for (int Copy = 0; Copy < MessageCopies; ++Copy)
    after(OneWayDelay + Copy * MessageDelay, [&Receiver, Receive] { Receive(Receiver); });
}

void load_model::message_sender::send(const endpoint &To, const load_report &Message) {
  Model.sendLoadMessage(From, To, 28 + writeLoadReport(Message).size(), nullptr,
                        [&Model = Model, From = endpointOf(From), Message](balancer &Receiver) {
                          Receiver.Load.receive(From, Message, Model.Now);
                        });
}

void load_model::message_sender::send(const endpoint &To, const load_summary &Message) {
  const auto Changed = std::make_shared<load_summary>(Message);
  Model.sendLoadMessage(From, To, 28 + writeLoadSummary(Message).size(), Changed.get(),
                        [&Model = Model, Sender = From, Changed](balancer &Receiver) {
                          Receiver.Load.receive(endpointOf(Sender), Model.isReader(Sender),
                                                *Changed, Model.Now);
                          Receiver.Admission.onSummary(Receiver.Pooled.round(), Model.Now);
                        });
}

double load_model::useOf(const std::string &DataCentre) const {
  double InProgress = 0;
  double Slots = 0;
  for (const auto &Target : Targets) {
    if (Target->Registration.DataCentre != DataCentre)
      continue;
    InProgress += static_cast<double>(Target->Busy + Target->Queue.size());
    Slots += Target->Registration.Slots;
  }
  return InProgress / Slots;
}

void load_model::scheduleSweeps() {
  for (std::size_t I = 0; I < Balancers.size(); ++I)
    after(milliseconds(I * 37 % 250), [this, I] { sweepAndShare(I); });
}

void load_model::sweepAndShare(std::size_t Index) {
  balancer &Balancer = *Balancers[Index];
  if (Now < Balancer.PausedUntil) {
    after(Balancer.PausedUntil - Now, [this, Index] { sweepAndShare(Index); });
    return;
  }
  after(SweepInterval, [this, Index] { sweepAndShare(Index); });
  resetFlows(Balancer);
  const endpoint Reader = endpointOf(0);
  const bool IsReader = Index == 0 || Index == Settings.BalancersPerDataCentre;
  // A question for the store's revision.
  if (!IsReader && Balancer.DataCentre != IsolatedDataCentre)
    Balancers[0]->SuspicionExchange.onContact(Balancer.Local, Now);
  Balancer.DeadTargets.sweep(Index == 0 ? nullptr : &Reader, IsReader, Now);
}

void load_model::shareSuspicions() {
  // A notice is received one sweep after the reports that lead to it.
  const std::vector<std::uint64_t> Suspected = Pool.suspected(Now);
  for (std::size_t I = 0; I < Balancers.size(); ++I) {
    balancer &Balancer = *Balancers[I];
    for (const std::uint64_t Number : Suspected) {
      target &Target = *Balancer.Registry.find("i-" + std::to_string(Number));
      if (Now >= Target.AnsweredAt + suspicion_exchange::AnswerValidity)
        Target.ReportedUntil = Now + suspicion_exchange::NoticeLifetime;
    }
    for (const target *Target : Balancer.Suspicions.update(Balancer.Registry, Now).Began)
      Pool.report(Target->Registration.Number, I, Now);
  }
}

load_result load_model::run(duration Time) { return run(Time, duration::zero(), Time); }

load_result load_model::run(duration Time, duration From, duration To) {
  CountFrom = Start + From;
  CountTo = Start + To;
  instant NextSweep = Now;
  if (Settings.ShareTargetStates)
    scheduleSweeps();
  // Simulate until requests that were sent in time have ended.
  const instant End = Start + Time + Settings.RequestTimeout;
  while (!Events.empty() && Events.top().At < End) {
    const event Next = Events.top();
    Events.pop();
    Now = Next.At;
    if (Now >= NextSweep) {
      NextSweep = Now + SweepInterval;
      sweep();
    }
    Next.Run();
  }
  double Sum = 0;
  double Largest = 0;
  for (const auto &Target : Targets) {
    Sum += static_cast<double>(Target->Arrivals);
    Largest = std::max(Largest, static_cast<double>(Target->Arrivals));
  }
  for (const auto &Balancer : Balancers)
    Result.BusiestStateBytes = std::max(Result.BusiestStateBytes, Balancer->StateBytes);
  Result.Imbalance = Largest * static_cast<double>(Targets.size()) / Sum;
  for (const auto &Balancer : Balancers)
    Result.BusiestBytes = std::max(Result.BusiestBytes, Balancer->LoadBytes);
  return Result;
}

} // namespace briarpoint::test
