#include "measure/request_schedule.h"

#include "base/seeded_random.h"
#include "core/request/request_ledger.h"
#include "measure/event_queue.h"

#include <array>
#include <map>
#include <memory>

namespace briarpoint::measure {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t NodeCount = 5;
constexpr std::size_t RequestCount = 8;
constexpr duration RequestLifetime = seconds(10);
/// Shortest time after a crash at which a peer declares the process dead; each peer adds up to 2 s.
constexpr duration MinDeadTimeout = milliseconds(2500);

struct observed_request {
  request_submission Submission;
  std::uint32_t Runs = 0;
  bool RanAfterNotRun = false;
  bool AnsweredNotRun = false;
  instant FirstNotRunAt = Never;
  bool Done = false;
};

class schedule;

/// One process: a request ledger and the process's view of its peers.
struct node final : public request_listener {
  node(schedule &Schedule, std::size_t Index, random_source &Random);

  target_id chooseTarget(const request_record &) override;
  void replicate(const request_record &Record) override;
  void sendToTarget(const request_record &Record) override;
  void cancelAtTarget(const request_record &) override {}
  void answerCaller(request_id Id, request_answer Answer) override;

  schedule &Schedule;
  std::size_t Index;
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
  std::array<bool, NodeCount> AliveInView;
  request_ledger Ledger;
};

class schedule {
public:
  schedule(std::uint64_t Seed, schedule_fault Fault);
  schedule_result run();

  // Simulated network: \p Deliver runs after a random delay, and may run twice or never.
  void sendMessageWithFaults(const std::function<void()> &Deliver, bool MayDuplicate = true);
  void sendToNode(std::size_t To, std::function<void(node &)> Deliver);
  std::size_t firstOwner(const node &From, request_id Id) const;
  std::vector<std::size_t> ranking(request_id Id) const;

  void tick();
  void submit(std::size_t Request, std::uint32_t Sends);
  void crash(std::size_t Index);
  void start(std::size_t Index);
  void updateView(std::size_t Observer, std::size_t Subject, bool IsAlive);
  void replicateTo(std::size_t From, std::size_t To, const request_record &Record,
                   const std::shared_ptr<std::array<bool, NodeCount>> &Stored);
  void confirm(std::size_t From, const request_record &Record,
               const std::shared_ptr<std::array<bool, NodeCount>> &Stored);
  void execute(const request_record &Record, std::size_t Owner, instant AttemptSentAt);
  void sendToOwner(request_id Id, const std::function<void(node &)> &Deliver);

  schedule_fault Fault;
  seeded_random Random;
  event_queue Queue;
  instant Now{seconds(100)};
  double Loss;
  double Duplication;
  duration Delay;
  bool Crashing = false;
  std::array<std::unique_ptr<node>, NodeCount> Nodes;
  std::map<request_id, observed_request> Requests;
  schedule_result Result;
};

request_ledger_settings ledgerSettings() {
  request_ledger_settings Settings;
  Settings.MaxLifetime = RequestLifetime;
  Settings.AttemptTimeout = seconds(2);
  Settings.RetryRatio = 2.0;
  return Settings;
}

node::node(schedule &Schedule, std::size_t Index, random_source &Random)
    : Schedule(Schedule), Index(Index), Ledger(ledgerSettings(), Random, *this) {
  AliveInView.fill(true);
}

target_id node::chooseTarget(const request_record &) {
  return Schedule.Random.below(20) == 0 ? NoTarget : target_id{1 + Schedule.Random.below(3)};
}

void node::replicate(const request_record &Record) {
  auto Stored = std::make_shared<std::array<bool, NodeCount>>();
  Stored->fill(false);
  for (const std::size_t Other : Schedule.ranking(Record.Id))
    if (Other != Index && Schedule.Fault != schedule_fault::NoReplication)
      Schedule.replicateTo(Index, Other, Record, Stored);
  // Confirms from an event, never from within a call of the ledger.
  Schedule.Queue.scheduleCall(Schedule.Now,
                              [this, &Schedule = Schedule, Record, Stored, Alive = Alive] {
                                if (*Alive)
                                  Schedule.confirm(Index, Record, Stored);
                              });
}

void node::sendToTarget(const request_record &Record) {
  // TCP delivers an attempt at most once.
  Schedule.sendMessageWithFaults([&Schedule = Schedule, Record, Owner = Index,
                                  At = Schedule.Now] { Schedule.execute(Record, Owner, At); },
                                 false);
}

void node::answerCaller(request_id Id, request_answer Answer) {
  observed_request &Observed = Schedule.Requests.at(Id);
  ++Schedule.Result.Answers;
  if (Answer == request_answer::NotRun) {
    ++Schedule.Result.NotRunAnswers;
    if (!Observed.AnsweredNotRun)
      Observed.FirstNotRunAt = Schedule.Now;
    Observed.AnsweredNotRun = true;
    Observed.RanAfterNotRun = Observed.RanAfterNotRun || Observed.Runs > 0;
  }
  Schedule.Result.UnknownAnswers += Answer == request_answer::Unknown ? 1 : 0;
  Schedule.sendMessageWithFaults(
      [&Observed, Answer] { Observed.Done = Observed.Done || Answer != request_answer::Unknown; });
}

schedule::schedule(std::uint64_t Seed, schedule_fault Fault) : Fault(Fault), Random(Seed) {
  Loss = Random.unit() * 0.3;
  Duplication = Random.unit() * 0.4;
  Delay = milliseconds(1 + Random.below(Random.below(3) == 0 ? 3000 : 100));
  for (std::size_t I = 0; I < NodeCount; ++I)
    start(I);
  for (const auto &Node : Nodes)
    Node->Ledger.setConvergedAt(Now);
}

void schedule::sendMessageWithFaults(const std::function<void()> &Deliver, bool MayDuplicate) {
  const bool Twice = MayDuplicate && Random.unit() < Duplication;
  for (int Copy = 0; Copy < (Twice ? 2 : 1); ++Copy)
    if (Random.unit() >= Loss)
      Queue.scheduleCall(Now + duration(Random.below(Delay.count() * (Copy + 1))), Deliver);
}

void schedule::sendToNode(std::size_t To, std::function<void(node &)> Deliver) {
  sendMessageWithFaults([this, To, Deliver = std::move(Deliver)] {
    if (Nodes[To])
      Deliver(*Nodes[To]);
  });
}

std::vector<std::size_t> schedule::ranking(request_id Id) const {
  std::vector<std::size_t> Order(NodeCount);
  for (std::size_t I = 0; I < NodeCount; ++I)
    Order[I] = I;
  std::sort(Order.begin(), Order.end(), [&](std::size_t A, std::size_t B) {
    return mixHash(A, static_cast<std::uint64_t>(Id)) < mixHash(B, static_cast<std::uint64_t>(Id));
  });
  return Order;
}

std::size_t schedule::firstOwner(const node &From, request_id Id) const {
  for (const std::size_t I : ranking(Id))
    if (From.AliveInView[I])
      return I;
  return From.Index;
}

void schedule::replicateTo(std::size_t From, std::size_t To, const request_record &Record,
                           const std::shared_ptr<std::array<bool, NodeCount>> &Stored) {
  sendToNode(To, [this, From, To, Record, Stored](node &Other) {
    if (!Other.Ledger.handleRecord(Record, Now))
      return;
    sendToNode(From, [To, Stored](node &) { (*Stored)[To] = true; });
  });
}

void schedule::confirm(std::size_t From, const request_record &Record,
                       const std::shared_ptr<std::array<bool, NodeCount>> &Stored) {
  node &Self = *Nodes[From];
  bool AllStored = true;
  for (std::size_t I = 0; I < NodeCount; ++I) {
    if (I == From || !Self.AliveInView[I] || (*Stored)[I] || Fault == schedule_fault::NoReplication)
      continue;
    AllStored = false;
    replicateTo(From, I, Record, Stored);
  }
  if (AllStored) {
    Self.Ledger.handleReplicated(Record.Id, Record.Revision, Now);
    return;
  }
  // Repeats until each peer has stored the record or is declared dead.
  Queue.scheduleCall(Now + milliseconds(300), [this, From, Record, Stored, Alive = Self.Alive] {
    if (*Alive)
      confirm(From, Record, Stored);
  });
}

void schedule::execute(const request_record &Record, std::size_t Owner, instant AttemptSentAt) {
  observed_request &Observed = Requests.at(Record.Id);
  if (Random.below(4) == 0) {
    sendToNode(Owner, [this, Record](node &Self) {
      Self.Ledger.handleRefusal(Record.Id, Record.Attempt, Now);
    });
    return;
  }
  ++Observed.Runs;
  ++Result.Runs;
  const bool Counts = !Observed.Submission.Idempotent || AttemptSentAt <= Observed.FirstNotRunAt;
  if (Observed.AnsweredNotRun && Counts)
    Observed.RanAfterNotRun = true;
  sendToOwner(Record.Id, [this, Id = Record.Id](node &Self) { Self.Ledger.handleAnswer(Id, Now); });
}

void schedule::sendToOwner(request_id Id, const std::function<void(node &)> &Deliver) {
  // A random process receives the message and forwards it to the first owner in its view.
  sendToNode(Random.below(NodeCount), [this, Id, Deliver](node &Ingress) {
    const std::size_t Owner = firstOwner(Ingress, Id);
    if (Owner == Ingress.Index)
      Deliver(Ingress);
    else
      sendToNode(Owner, Deliver);
  });
}

void schedule::submit(std::size_t Request, std::uint32_t Sends) {
  const request_id Id{Request + 1};
  const observed_request &Observed = Requests.at(Id);
  if (Observed.Done || Sends == 0)
    return;
  sendToOwner(Id,
              [this, Id](node &Owner) { Owner.Ledger.submit(Requests.at(Id).Submission, Now); });
  Queue.scheduleCall(Now + milliseconds(200 + Random.below(3000)),
                     [this, Request, Sends] { submit(Request, Sends - 1); });
}

void schedule::start(std::size_t Index) {
  Nodes[Index] = std::make_unique<node>(*this, Index, Random);
  for (std::size_t Other = 0; Other < NodeCount; ++Other) {
    Nodes[Index]->AliveInView[Other] = Nodes[Other] != nullptr;
    if (Other != Index && Nodes[Other])
      updateView(Other, Index, true);
  }
  // A new process lacks the records of earlier requests, so it isn't converged until they have
  // expired.
  const instant Converged = Now + RequestLifetime + seconds(1);
  Nodes[Index]->Ledger.setConvergedAt(Fault == schedule_fault::NoConvergence ? Now : Converged);
}

void schedule::crash(std::size_t Index) {
  if (!Nodes[Index])
    return;
  ++Result.Crashes;
  *Nodes[Index]->Alive = false;
  Nodes[Index].reset();
  for (std::size_t Other = 0; Other < NodeCount; ++Other) {
    if (!Nodes[Other])
      continue;
    Queue.scheduleCall(Now + MinDeadTimeout + milliseconds(Random.below(2000)),
                       [this, Other, Index] {
                         if (Nodes[Other] && !Nodes[Index])
                           updateView(Other, Index, false);
                       });
  }
  // Two of three crashed processes restart within 6 s, some of them before their peers declare them
  // dead.
  if (Random.below(3) > 0)
    Queue.scheduleCall(Now + milliseconds(Random.below(6000)), [this, Index] {
      if (!Nodes[Index])
        start(Index);
    });
}

void schedule::updateView(std::size_t Observer, std::size_t Subject, bool IsAlive) {
  Nodes[Observer]->AliveInView[Subject] = IsAlive;
  if (Fault != schedule_fault::NoConvergence)
    Nodes[Observer]->Ledger.setConvergedAt(Now + RequestLifetime + seconds(1));
}

void schedule::tick() {
  for (const auto &Node : Nodes)
    if (Node)
      Node->Ledger.tick(Now);
  Queue.scheduleCall(Now + milliseconds(100), [this] { tick(); });
}

schedule_result schedule::run() {
  tick();
  // Requests start within 6 s. Up to three crashes happen within 7 s.
  for (std::size_t I = 0; I < RequestCount; ++I) {
    const instant At = Now + milliseconds(Random.below(6000));
    observed_request &Observed = Requests[request_id{I + 1}];
    Observed.Submission = {request_id{I + 1}, request_class::Critical, I % 3 == 0, true,
                           At + RequestLifetime};
    Queue.scheduleCall(At, [this, I] { submit(I, 5); });
  }
  const std::uint64_t Crashes = Random.below(4);
  for (std::uint64_t I = 0; I < Crashes; ++I)
    Queue.scheduleCall(Now + milliseconds(Random.below(7000)),
                       [this] { crash(Random.below(NodeCount)); });

  const instant End = Now + seconds(45);
  while (Queue.hasDue(End)) {
    const event_queue::event Event = Queue.pop();
    Now = Event.At;
    Result.Hash = mixHash(Result.Hash + Event.Subject, Now.time_since_epoch().count());
    Queue.runClosure(Event.Subject);
  }
  Result.Requests = RequestCount;
  for (const auto &[Id, Observed] : Requests) {
    Result.RanTwice += !Observed.Submission.Idempotent && Observed.Runs > 1 ? 1 : 0;
    Result.WrongNotRunAnswers += Observed.RanAfterNotRun ? 1 : 0;
  }
  return Result;
}

} // namespace

schedule_result runSchedule(std::uint64_t Seed, schedule_fault Fault) {
  return schedule(Seed, Fault).run();
}

} // namespace briarpoint::measure
