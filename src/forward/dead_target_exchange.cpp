#include "forward/dead_target_exchange.h"

#include "base/hash.h"

#include <algorithm>
#include <limits>
#include <unordered_map>

namespace briarpoint {

namespace {

/// Headers of UDP and IPv4 in bytes.
constexpr std::size_t DatagramHeaderSize = 28;

target_process processOf(const target &Target) {
  return {Target.Registration.Number, Target.Registration.StartedMs};
}

std::uint64_t observerId(const endpoint &Forwarder) { return hashBytes(toString(Forwarder)); }

/// Returns the age of \p At in milliseconds, at most the largest value of a message.
std::uint16_t ageMs(instant At, instant Now) {
  const auto Age = std::chrono::duration_cast<std::chrono::milliseconds>(Now - At).count();
  return static_cast<std::uint16_t>(
      std::clamp<decltype(Age)>(Age, 0, std::numeric_limits<std::uint16_t>::max()));
}

std::vector<target_state_message::entry> toEntries(const std::vector<target_process> &Processes) {
  std::vector<target_state_message::entry> Result;
  Result.reserve(Processes.size());
  for (const target_process &Process : Processes)
    Result.push_back({Process, 0});
  return Result;
}

} // namespace

std::size_t dead_target_exchange::send(const endpoint &To, target_state_message::type Type,
                                       const entries &Entries) {
  std::size_t Size = 0;
  for (std::size_t I = 0; I < Entries.size(); I += MaxTargetStates) {
    const auto Begin = Entries.begin() + static_cast<std::ptrdiff_t>(I);
    const std::size_t Count = std::min(MaxTargetStates, Entries.size() - I);
    const target_state_message Message{Type, {Begin, Begin + static_cast<std::ptrdiff_t>(Count)}};
    StateSender.send(To, Message);
    Size += DatagramHeaderSize + writeTargetStateMessage(Message).size();
  }
  return Size;
}

instant dead_target_exchange::nextRoundAt(instant Now) {
  return Now + std::max(RoundInterval,
                        RoundTimePerContact * static_cast<int>(Suspicions.contacts(Now).size()));
}

void dead_target_exchange::sendToContacts(target_state_message::type Type, const entries &Entries,
                                          instant Now) {
  std::size_t Size = 0;
  for (const endpoint &Contact : Suspicions.contacts(Now))
    Size += send(Contact, Type, Entries);
  Budget.spend(Size, Now);
}

void dead_target_exchange::sweep(const endpoint *Reader, bool IsReader, instant Now) {
  const bool WasPaused = paused(Now);
  if (WasPaused) {
    DeadPool.restartDisputes();
    MessagesStaleUntil = Now + StalePeriod;
  }
  SweptAt = Now;
  if (!WasPaused)
    reportUnanswered(Reader, IsReader, Now);
  if (IsReader && Reader != nullptr && Now >= NextContactAt) {
    StateSender.send(*Reader, {target_state_message::type::Unanswered, {}});
    NextContactAt = Now + ContactInterval;
  }
  if (Now >= NextFailureReportAt) {
    NextFailureReportAt = Now + FailureInterval;
    reportFailures(Reader, IsReader, Now);
    updateQuickAnswerTimes(Now);
  }
  decide(Now);
  confirmAnswers(Now);
}

void dead_target_exchange::reportUnanswered(const endpoint *Reader, bool IsReader, instant Now) {
  entries Entries;
  // Observers in other data centres don't count: a partition looks the same to them.
  Targets.forEach([&](const target &Target) {
    if (Target.Local && Target.Health.unanswered(Now) && !Target.foundDead(Now) &&
        !Target.gone(Now))
      Entries.push_back({processOf(Target), static_cast<std::uint16_t>(std::min<std::size_t>(
                                                Target.Health.repeatingFlows(),
                                                dead_target_pool::MaxFlowsPerObserver))});
  });
  if (Reader == nullptr || IsReader)
    for (const target_state_message::entry &Entry : Entries)
      DeadPool.onUnanswered(Entry.Target, Entry.Value, observerId(Local), Now);
  // An answer after a report contradicts it, whether or not a notice arrives.
  for (const target_state_message::entry &Entry : Entries)
    ask(Entry.Target, Reader == nullptr ? Local : *Reader, dead_target_pool::NoticeLifetime, Now);
  if (Reader != nullptr)
    send(*Reader, target_state_message::type::Unanswered, Entries);
}

void dead_target_exchange::reportFailures(const endpoint *Reader, bool IsReader, instant Now) {
  entries Entries;
  Targets.forEach([&](target &Target) {
    if (Target.Failures > 0)
      Entries.push_back({processOf(Target), std::exchange(Target.Failures, 0)});
  });
  if (Reader == nullptr || IsReader)
    for (const target_state_message::entry &Entry : Entries)
      FailingPool.report(Entry.Target, Entry.Value, observerId(Local), Now);
  if (Reader != nullptr)
    send(*Reader, target_state_message::type::Failures, Entries);
}

void dead_target_exchange::updateQuickAnswerTimes(instant Now) {
  std::unordered_map<std::string, double> LowestMeans;
  Targets.forEach([&](const target &Target) {
    // A target that fails at once would lower the mean so far that its failures don't count.
    if (!Target.ResponseTime.valid(Now) || Target.failing(Now))
      return;
    const double Mean = Target.ResponseTime.meanSeconds();
    const auto [Entry, New] = LowestMeans.try_emplace(Target.Registration.Service, Mean);
    if (!New)
      Entry->second = std::min(Entry->second, Mean);
  });
  Targets.forEach([&](target &Target) {
    const auto Found = LowestMeans.find(Target.Registration.Service);
    const double Mean = Found == LowestMeans.end() ? 0 : Found->second;
    Target.QuickAnswerTime = Mean < MinMeanSeconds
                                 ? duration::zero()
                                 : std::chrono::duration_cast<duration>(
                                       std::chrono::duration<double>(Mean * QuickAnswerShare));
  });
}

dead_target_exchange::question &dead_target_exchange::ask(const target_process &Process,
                                                          const endpoint &Asker, duration Lifetime,
                                                          instant Now) {
  question &Question = Questions[Process];
  if (Now >= Question.Until) {
    Question = question();
    Question.AskedAt = Now;
  }
  Question.Asker = Asker;
  Question.Until = std::max(Question.Until, Now + Lifetime);
  return Question;
}

void dead_target_exchange::onNotice(const endpoint &From, const std::vector<std::uint64_t> &Numbers,
                                    instant Now) {
  for (const std::uint64_t Number : Numbers) {
    const target *Target = Targets.findByToken(makeFlowToken(Number));
    if (Target != nullptr && Target->Registration.Number == Number)
      ask(processOf(*Target), From, dead_target_pool::NoticeLifetime, Now);
  }
  confirmAnswers(Now);
}

void dead_target_exchange::confirmAnswers(instant Now) {
  if (Questions.empty())
    return;
  std::map<endpoint, entries> Answers;
  std::erase_if(Questions, [&](const auto &Entry) { return Now >= Entry.second.Until; });
  for (auto &[Process, Question] : Questions) {
    const target *Target = findProcess(Targets, Process);
    if (Target == nullptr || Now < Question.NextConfirmationAt)
      continue;
    // A recent answer is confirmed again, because a message may be lost.
    const instant At = Target->AnsweredAt;
    if (Now >= At + AnswerValidity &&
        (At <= Question.ConfirmedAt || At + AnswerValidity < Question.AskedAt))
      continue;
    Question.ConfirmedAt = At;
    Question.NextConfirmationAt = Now + ConfirmationInterval;
    if (Question.Asker == Local)
      DeadPool.onAnswered(Process, At, Now);
    else
      Answers[Question.Asker].push_back({Process, ageMs(At, Now)});
  }
  for (const auto &[Asker, Entries] : Answers)
    send(Asker, target_state_message::type::Answered, Entries);
}

void dead_target_exchange::receive(const endpoint &From, bool FromReader,
                                   const target_state_message &Message, instant Now) {
  switch (Message.Type) {
  case target_state_message::type::Unanswered:
    Suspicions.onContact(From, Now);
    for (const target_state_message::entry &Entry : Message.Entries)
      DeadPool.onUnanswered(Entry.Target, Entry.Value, observerId(From), Now);
    break;
  case target_state_message::type::Answered:
    for (const target_state_message::entry &Entry : Message.Entries)
      DeadPool.onAnswered(Entry.Target, Now - std::chrono::milliseconds(Entry.Value), Now);
    break;
  case target_state_message::type::Failures:
    for (const target_state_message::entry &Entry : Message.Entries)
      FailingPool.report(Entry.Target, Entry.Value, observerId(From), Now);
    break;
  case target_state_message::type::Dead:
    // A message that waited while this process was paused is older than it states.
    if (FromReader && !paused(Now) && Now >= MessagesStaleUntil)
      applyDead(From, Message.Entries, Now);
    break;
  case target_state_message::type::Failing:
    if (FromReader)
      applyFailing(Message.Entries, Now);
    break;
  }
}

void dead_target_exchange::applyDead(const endpoint &From, const entries &Entries, instant Now) {
  for (const target_state_message::entry &Entry : Entries) {
    target *Target = findProcess(Targets, Entry.Target);
    if (Target == nullptr)
      continue;
    question &Question = ask(Entry.Target, From, AnnouncementLifetime, Now);
    Question.DeadSince = std::min(Question.DeadSince, Now);
    if (Now < Target->AnsweredAt + AnswerValidity || Target->AnsweredAt > Question.DeadSince) {
      // The confirmation of the answer was lost.
      Question.ConfirmedAt = {};
      continue;
    }
    const bool EndedFlows = Target->foundDeadRecently(Now);
    Target->DeadUntil = Now + AnnouncementLifetime;
    Target->EndsFlowsUntil = Now - std::chrono::milliseconds(Entry.Value) + FlowEndTime;
    Found = Found || (!EndedFlows && Target->foundDeadRecently(Now));
  }
  confirmAnswers(Now);
}

void dead_target_exchange::applyFailing(const entries &Entries, instant Now) {
  for (const target_state_message::entry &Entry : Entries)
    if (target *Target = findProcess(Targets, Entry.Target))
      Target->FailingUntil = Now + AnnouncementLifetime;
}

void dead_target_exchange::decide(instant Now) {
  // After a pause, the next sweep restarts the disputes.
  if (paused(Now))
    return;
  sendNotices(Now);
  announceDead(Now);
  announceFailing(Now);
}

void dead_target_exchange::sendNotices(instant Now) {
  const std::vector<target_process> Due = DeadPool.dueNotices(Now);
  if (Due.empty() || Now < NextNoticeRoundAt || !Budget.available(Now))
    return;
  NextNoticeRoundAt = nextRoundAt(Now);
  std::vector<std::uint64_t> Numbers;
  for (const target_process &Process : Due) {
    Numbers.push_back(Process.Number);
    DeadPool.onNoticeSent(Process, Now);
  }
  Budget.spend(Suspicions.sendNotices(Numbers, Now), Now);
  onNotice(Local, Numbers, Now);
}

void dead_target_exchange::announceDead(instant Now) {
  if (Now < NextDeadRoundAt)
    return;
  const bool New = !DeadPool.findDead(Now).empty();
  // What was found now is announced at once; repeats wait for the budget.
  if (!New && (DeadPool.dueAnnouncements(Now, Now).empty() || !Budget.available(Now)))
    return;
  NextDeadRoundAt = nextRoundAt(Now);
  entries Entries;
  for (const target_process &Process : DeadPool.dueAnnouncements(Now + RoundSlack, Now)) {
    Entries.push_back({Process, ageMs(DeadPool.foundAt(Process), Now)});
    DeadPool.onAnnounced(Process, Now);
  }
  sendToContacts(target_state_message::type::Dead, Entries, Now);
  applyDead(Local, Entries, Now);
}

void dead_target_exchange::announceFailing(instant Now) {
  if (Now < NextFailingRoundAt || !Budget.available(Now))
    return;
  NextFailingRoundAt = Now + dead_target_pool::RepeatInterval;
  const entries Entries = toEntries(FailingPool.failing(Targets, Now));
  if (Entries.empty())
    return;
  sendToContacts(target_state_message::type::Failing, Entries, Now);
  applyFailing(Entries, Now);
}

} // namespace briarpoint
