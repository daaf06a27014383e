#ifndef BRIARPOINT_TESTS_STORE_WATCHER_SUPPORT_H
#define BRIARPOINT_TESTS_STORE_WATCHER_SUPPORT_H

#include "base/seeded_random.h"
#include "store/object_watcher.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <deque>

namespace briarpoint {

/// A list or watch of the watcher without an answer so far.
struct pending_call {
  /// Callback of a list; empty for a watch.
  std::function<void(list_answer)> List;
  /// Callback of a watch; empty for a list.
  std::function<void(watch_answer)> Watch;
  std::string After;
  read_consistency Consistency = read_consistency::Linearizable;
  std::uint64_t Revision = 0;
  duration Wait{};
};

class fake_api final : public object_api {
public:
  void list(const std::string &, const std::string &After, read_consistency Consistency,
            std::function<void(list_answer)> Done) override {
    Calls.push_back({std::move(Done), nullptr, After, Consistency, 0, {}});
  }
  void watch(const std::string &, std::uint64_t Revision, duration Wait,
             read_consistency Consistency, std::function<void(watch_answer)> Done) override {
    Calls.push_back({nullptr, std::move(Done), "", Consistency, Revision, Wait});
  }
  void check(const std::string &, std::uint64_t Revision,
             std::function<void(watch_answer)> Done) override {
    CheckedRevision = Revision;
    Check = std::move(Done);
  }
  std::size_t receivedBytes() const override { return Received; }
  void cancel() override {
    Calls.clear();
    Check = nullptr;
    Received = 0;
    ++Cancelled;
  }
  pending_call take() {
    pending_call Result = std::move(Calls.front());
    Calls.pop_front();
    return Result;
  }
  std::deque<pending_call> Calls;
  std::function<void(watch_answer)> Check;
  std::uint64_t CheckedRevision = 0;
  /// Bytes of the answer to the first call that have arrived.
  std::size_t Received = 0;
  int Cancelled = 0;
};

class fake_scheduler final : public scheduler {
public:
  instant now() override { return Now; }
  void runAt(instant Time, std::function<void()> NewAction) override {
    DueAt = Time;
    Action = std::move(NewAction);
  }
  /// Advances the time until the action is due and runs the action. Returns the time advanced.
  duration runNext() {
    const instant Before = Now;
    Now = std::max(Now, DueAt);
    std::exchange(Action, nullptr)();
    return Now - Before;
  }
  instant Now{std::chrono::seconds(5)};
  instant DueAt{};
  std::function<void()> Action;
};

/// Keeps the reads that were requested.
class fake_revision_reader final : public revision_reader {
public:
  void read(callback Done) override { Reads.push_back(std::move(Done)); }
  void answer(std::optional<std::uint64_t> Revision, std::uint64_t Era = 0) {
    const callback Done = std::move(Reads.front());
    Reads.pop_front();
    Done(Revision ? std::optional(store_position{Era, *Revision}) : std::nullopt);
  }
  std::deque<callback> Reads;
};

class object_recorder final : public object_listener {
public:
  void onList(const std::vector<stored_object> &Objects, const store_position &Position) override {
    Events.push_back("list " + std::to_string(Objects.size()) + " at " + text(Position));
  }
  void onChanges(const std::vector<object_change> &Changes,
                 const store_position &Position) override {
    Events.push_back("changes " + std::to_string(Changes.size()) + " at " + text(Position));
  }
  void onContactChanged(bool InContact, call_outcome) override {
    Events.push_back(InContact ? "regained" : "lost");
  }
  void onEraRose(instant RecoveryEndsAt) override {
    Events.push_back("era rose");
    RecoveryEnd = RecoveryEndsAt;
  }
  static std::string text(const store_position &Position) {
    return std::to_string(Position.Revision) +
           (Position.Era == 0 ? "" : " of era " + std::to_string(Position.Era));
  }
  instant RecoveryEnd{};
  std::vector<std::string> Events;
};

/// Records the calls sent and their outcomes.
class call_recorder final : public call_listener {
public:
  void onCallSent(const store_call &Call) override {
    Lines.push_back("sent " + std::string(toString(Call.Type)) + " from " +
                    std::to_string(Call.Revision));
  }
  void onCallEnded(const store_call &Call, call_outcome Outcome, std::uint64_t Revision,
                   std::size_t Objects) override {
    Lines.push_back(std::string(toString(Outcome)) + " after " + std::to_string(Call.Revision) +
                    ": " + std::to_string(Objects) + " at " + std::to_string(Revision));
  }
  void onCallDropped(const store_call &Call) override {
    Lines.push_back("dropped " + std::to_string(Call.Revision));
  }
  void onCheckEnded(const store_position &CheckedFrom, const watch_answer &Answer) override {
    Checks.push_back(
        std::string(toString(Answer.Outcome)) + " from " + std::to_string(CheckedFrom.Revision) +
        ": " + std::to_string(Answer.Changes.size()) + " at " + std::to_string(Answer.Revision));
  }
  std::vector<std::string> Lines;
  std::vector<std::string> Checks;
};

inline stored_object object(const std::string &Name) { return {Name, 1, 1, {}}; }

class watching_objects : public testing::Test {
protected:
  watching_objects() { Watcher.start(); }

  void answerList(std::vector<stored_object> Objects, std::uint64_t Revision, bool HasMore = false,
                  std::uint64_t Era = 0) {
    const std::string LastName = Objects.empty() ? "" : Objects.back().Name;
    Api.take().List({call_outcome::Done, std::move(Objects), HasMore, Revision, Era, LastName});
  }
  void answerWatch(std::size_t Changes, std::uint64_t Revision, std::uint64_t Era = 0) {
    Api.take().Watch({call_outcome::Done, std::vector<object_change>(Changes), Revision, Era});
  }
  void failWatch(call_outcome Outcome) { Api.take().Watch({Outcome, {}, 0}); }

  fake_api Api;
  fake_scheduler Scheduler;
  object_recorder Listener;
  call_recorder Calls;
  fake_scheduler GroupScheduler;
  fake_revision_reader Revisions;
  seeded_random Random{20261204};
  store_era Era;
  watch_group Group{std::chrono::seconds(2), Revisions, Era, GroupScheduler, Random};
  object_watcher Watcher{"things", {}, Api, Listener, Calls, Group, Scheduler, Random};
};

/// A list was read, the position after it is confirmed, and a long watch waits.
class watching_listed_objects : public watching_objects {
protected:
  watching_listed_objects() {
    answerList({object("a")}, 10);
    Scheduler.runNext();
    Revisions.answer(10);
    Scheduler.runNext();
    Api.Check({call_outcome::Done, {}, 10});
    Listener.Events.clear();
  }
};

} // namespace briarpoint

#endif // BRIARPOINT_TESTS_STORE_WATCHER_SUPPORT_H
