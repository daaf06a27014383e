#include "forward/dead_target_pool.h"

#include <algorithm>

namespace briarpoint {

void dead_target_pool::onUnanswered(const target_process &Target, std::size_t Flows,
                                    std::uint64_t Observer, instant Now) {
  if (Targets.size() >= MaxTargets && !Targets.contains(Target))
    return;
  std::map<std::uint64_t, observer> &Observers = Targets[Target].Observers;
  std::erase_if(Observers,
                [&](const auto &Entry) { return Now >= Entry.second.LastAt + ReportWindow; });
  if (Observers.size() >= MaxObservers && !Observers.contains(Observer))
    return;
  const auto [Entry, New] = Observers.try_emplace(Observer, observer{Now, Now});
  if (!New && Now > Entry->second.LastAt + MaxReportGap)
    Entry->second.Since = Now;
  Entry->second.LastAt = Now;
  Entry->second.Flows = std::clamp<std::size_t>(Flows, 1, MaxFlowsPerObserver);
}

void dead_target_pool::onAnswered(const target_process &Target, instant AnsweredAt, instant Now) {
  // Answers matter only for targets that someone reported.
  const auto Found = Targets.find(Target);
  if (Found == Targets.end())
    return;
  state &State = Found->second;
  State.AnsweredAt = std::max(State.AnsweredAt, AnsweredAt);
  State.AnnouncedUntil = std::min(State.AnnouncedUntil, Now);
}

std::size_t dead_target_pool::recentObservers(const state &State, instant Now) {
  return static_cast<std::size_t>(
      std::count_if(State.Observers.begin(), State.Observers.end(),
                    [&](const auto &Entry) { return Now < Entry.second.LastAt + ReportWindow; }));
}

std::vector<target_process> dead_target_pool::dueNotices(instant Now) {
  std::vector<target_process> Result;
  for (auto It = Targets.begin(); It != Targets.end();) {
    state &State = It->second;
    const std::size_t Observers = recentObservers(State, Now);
    if (Observers < MinObservers)
      State.DisputedAt = Never;
    else if (!State.announced(Now) && Now >= State.NoticeSentAt + RepeatInterval)
      Result.push_back(It->first);
    const instant ForgottenAt =
        std::max(State.AnsweredAt + AnswerValidity, State.AnnouncedUntil + State.AnnouncementTime);
    It = Observers == 0 && Now >= ForgottenAt ? Targets.erase(It) : std::next(It);
  }
  return Result;
}

void dead_target_pool::onNoticeSent(const target_process &Target, instant Now) {
  const auto Found = Targets.find(Target);
  if (Found == Targets.end())
    return;
  Found->second.DisputedAt = std::min(Found->second.DisputedAt, Now);
  Found->second.NoticeSentAt = Now;
}

bool dead_target_pool::isDead(const state &State, instant Now) {
  if (State.DisputedAt == Never || State.announced(Now) ||
      Now >= State.NoticeSentAt + NoticeLifetime || Now < State.AnsweredAt + AnswerValidity)
    return false;
  const auto IsCurrent = [&](const auto &Entry) {
    return Now < Entry.second.LastAt + MaxReportAge;
  };
  std::size_t Flows = 0;
  for (const auto &Entry : State.Observers)
    Flows += IsCurrent(Entry) ? Entry.second.Flows : 0;
  const duration Required = Flows < ManyFlows ? LongDisputeTime : DisputeTime;
  const auto Persistent = [&](const auto &Entry) {
    return IsCurrent(Entry) && Now >= std::max(Entry.second.Since, State.DisputedAt) + Required;
  };
  return static_cast<std::size_t>(std::count_if(State.Observers.begin(), State.Observers.end(),
                                                Persistent)) >= MinObservers;
}

std::vector<target_process> dead_target_pool::findDead(instant Now) {
  std::vector<target_process> Result;
  for (auto &[Target, State] : Targets) {
    if (!isDead(State, Now))
      continue;
    const bool Again = Now < State.AnnouncedUntil + State.AnnouncementTime;
    State.AnnouncementTime =
        Again ? std::min(2 * State.AnnouncementTime, MaxAnnouncementTime) : MinAnnouncementTime;
    State.FoundAt = Now;
    State.AnnouncedUntil = Now + State.AnnouncementTime;
    State.DisputedAt = Never;
    Result.push_back(Target);
  }
  return Result;
}

std::vector<target_process> dead_target_pool::dueAnnouncements(instant Time, instant Now) const {
  std::vector<target_process> Result;
  for (const auto &[Target, State] : Targets)
    if (State.announced(Now) && Time >= State.NextAnnouncementAt)
      Result.push_back(Target);
  return Result;
}

void dead_target_pool::onAnnounced(const target_process &Target, instant Now) {
  const auto Found = Targets.find(Target);
  if (Found != Targets.end())
    Found->second.NextAnnouncementAt = Now + RepeatInterval;
}

instant dead_target_pool::foundAt(const target_process &Target) const {
  const auto Found = Targets.find(Target);
  return Found == Targets.end() ? instant{} : Found->second.FoundAt;
}

void dead_target_pool::restartDisputes() {
  for (auto &[Target, State] : Targets) {
    State.DisputedAt = Never;
    State.NoticeSentAt = {};
    State.Observers.clear();
  }
}

} // namespace briarpoint
