#include "core/request/request_ledger.h"

#include "base/seeded_random.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <functional>
#include <set>

namespace briarpoint {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr request_id Id{7};
constexpr instant Start{seconds(1000)};

/// Records the actions of the ledger.
class recording_listener : public request_listener {
public:
  target_id chooseTarget(const request_record &) override { return Target; }
  void replicate(const request_record &Record) override { Replicated.push_back(Record); }
  void sendToTarget(const request_record &Record) override { Sent.push_back(Record); }
  void cancelAtTarget(const request_record &Record) override { Cancelled.push_back(Record); }
  void answerCaller(request_id, request_answer Answer) override { Answers.push_back(Answer); }

  target_id Target{1};
  std::vector<request_record> Replicated;
  std::vector<request_record> Sent;
  std::vector<request_record> Cancelled;
  std::vector<request_answer> Answers;
};

request_ledger_settings generousRetries() {
  request_ledger_settings Settings;
  Settings.RetryRatio = 10.0;
  return Settings;
}

/// A converged ledger. The test confirms replication and advances the time.
struct request_scenario {
  request_scenario() { Ledger.setConvergedAt(instant{}); }

  void submit(bool Idempotent, bool MayBeDuplicate = true) {
    Ledger.submit({Id, request_class::Critical, Idempotent, MayBeDuplicate, Start + seconds(10)},
                  Now);
  }
  void confirm() { Ledger.handleReplicated(Id, Listener.Replicated.back().Revision, Now); }
  void advance(duration Duration) {
    for (const instant End = Now + Duration; Now < End;) {
      Now += milliseconds(100);
      Ledger.tick(Now);
    }
  }

  recording_listener Listener;
  seeded_random Random{1};
  instant Now = Start;
  request_ledger Ledger{generousRetries(), Random, Listener};
};

struct request_ledger_state : testing::Test, request_scenario {};

// Guards against sending a request to a target before the other owners have stored the attempt:
// after a crash, the next owner would run it again.
TEST_F(request_ledger_state, NothingIsSentBeforeTheOtherOwnersConfirm) {
  submit(false);
  ASSERT_EQ(Listener.Replicated.size(), 1U);
  EXPECT_EQ(Listener.Replicated[0].Phase, request_phase::Dispatched);
  EXPECT_TRUE(Listener.Sent.empty());
  Ledger.handleReplicated(Id, Listener.Replicated[0].Revision + 1, Now);
  EXPECT_TRUE(Listener.Sent.empty()) << "another revision was confirmed";
  confirm();
  confirm();
  EXPECT_EQ(Listener.Sent.size(), 1U);
}

// Guards against running a request whose deadline passed before replication was confirmed, and
// against leaving its caller without an answer.
TEST_F(request_ledger_state, LateConfirmationDoesNotRunTheRequest) {
  submit(false);
  Now += seconds(11);
  confirm();
  EXPECT_TRUE(Listener.Sent.empty());
  confirm();
  EXPECT_EQ(Listener.Answers, std::vector{request_answer::NotRun});
}

// Guards against the answers "ran" and "not run" while they aren't certain, in each situation after
// dispatch.
TEST(dispatched_request, AnswersAreCertain) {
  struct row {
    const char *Name;
    bool Idempotent;
    bool HasTarget;
    std::function<void(request_scenario &)> Event;
    std::vector<request_answer> Answers;
    std::size_t Sent;
  };
  const auto Refuse = [](request_scenario &S) {
    S.Ledger.handleRefusal(Id, 1, S.Now);
    S.advance(milliseconds(200));
    S.confirm();
  };
  const row Rows[] = {
      {"answered",
       false,
       true,
       [](auto &S) { S.Ledger.handleAnswer(Id, S.Now); },
       {request_answer::Ran},
       1},
      {"answered twice",
       false,
       true,
       [](auto &S) {
         S.Ledger.handleAnswer(Id, S.Now);
         S.Ledger.handleAnswer(Id, S.Now);
       },
       {request_answer::Ran},
       1},
      {"refused, another target", false, true, Refuse, {}, 2},
      {"refused, no other target",
       false,
       false,
       [&](auto &S) {
         Refuse(S);
         S.advance(seconds(11));
         S.confirm();
       },
       {request_answer::NotRun},
       1},
      {"lost, not idempotent",
       false,
       true,
       [](auto &S) { S.advance(seconds(4)); },
       {request_answer::Unknown},
       1},
      {"lost, idempotent",
       true,
       true,
       [](auto &S) {
         S.advance(seconds(4));
         S.confirm();
       },
       {},
       2},
      {"lost, then answered",
       false,
       true,
       [](auto &S) {
         S.advance(seconds(4));
         S.Ledger.handleAnswer(Id, S.Now);
       },
       {request_answer::Unknown, request_answer::Ran},
       1},
      {"lost, idempotent, then nothing until the deadline",
       true,
       false,
       [](auto &S) { S.advance(seconds(12)); },
       {request_answer::Unknown},
       1},
      {"refusal of another attempt",
       false,
       true,
       [](auto &S) { S.Ledger.handleRefusal(Id, 2, S.Now); },
       {},
       1},
      {"cancelled, then refused",
       false,
       true,
       [](auto &S) {
         S.Ledger.cancel(Id, S.Now);
         S.Ledger.handleRefusal(Id, 1, S.Now);
         S.confirm();
       },
       {request_answer::NotRun},
       1},
      {"cancelled, then lost",
       true,
       true,
       [](auto &S) {
         S.Ledger.cancel(Id, S.Now);
         S.advance(seconds(4));
       },
       {request_answer::Unknown},
       1},
  };
  for (const row &Row : Rows) {
    SCOPED_TRACE(Row.Name);
    request_scenario State;
    State.submit(Row.Idempotent);
    State.confirm();
    if (!Row.HasTarget)
      State.Listener.Target = NoTarget;
    Row.Event(State);
    EXPECT_EQ(State.Listener.Answers, Row.Answers);
    EXPECT_EQ(State.Listener.Sent.size(), Row.Sent);
    // A duplicate gets the last answer again and isn't run.
    if (!Row.Answers.empty()) {
      State.submit(Row.Idempotent);
      EXPECT_EQ(State.Listener.Answers.back(), Row.Answers.back());
      EXPECT_EQ(State.Listener.Sent.size(), Row.Sent);
    }
  }
}

// An owner that takes over a request may lack its record. Guards against a second run of a request
// that the previous owner may have run, and against the answer "not run" for it.
TEST(taken_over_request, IsAnsweredFromTheRecord) {
  struct row {
    const char *Name;
    std::optional<request_phase> Phase;
    bool Idempotent;
    bool MayBeDuplicate;
    bool Converged;
    std::vector<request_answer> Answers;
    std::size_t Sent;
  };
  using enum request_phase;
  const row Rows[] = {
      {"accepted", Accepted, false, true, true, {request_answer::Unknown}, 0},
      {"dispatched", Dispatched, false, true, true, {request_answer::Unknown}, 0},
      {"dispatched, idempotent", Dispatched, true, true, true, {}, 1},
      {"answered", Answered, true, true, true, {request_answer::Ran}, 0},
      {"refused", Refused, true, true, true, {request_answer::NotRun}, 0},
      {"no record, converging", {}, false, true, false, {request_answer::Unknown}, 0},
      {"no record, converging, idempotent", {}, true, true, false, {}, 1},
      {"no record, converging, first copy", {}, false, false, false, {}, 1},
      {"no record, converged", {}, false, true, true, {}, 1},
  };
  for (const row &Row : Rows) {
    SCOPED_TRACE(Row.Name);
    request_scenario State;
    State.Ledger.setConvergedAt(Row.Converged ? instant{} : Start + seconds(30));
    if (Row.Phase) {
      const request_record Record{
          Id, request_class::Critical, Row.Idempotent, *Row.Phase, 1, 1, target_id{1}, seconds(10)};
      EXPECT_TRUE(State.Ledger.handleRecord(Record, State.Now));
    }
    State.submit(Row.Idempotent, Row.MayBeDuplicate);
    if (Row.Sent > 0)
      State.confirm();
    EXPECT_EQ(State.Listener.Answers, Row.Answers);
    EXPECT_EQ(State.Listener.Sent.size(), Row.Sent);
    // Convergence doesn't affect a request that has been answered.
    State.Ledger.setConvergedAt(instant{});
    State.submit(Row.Idempotent, Row.MayBeDuplicate);
    EXPECT_EQ(State.Listener.Sent.size(), Row.Sent);
  }
}

// Guards against the answer "not run" of one owner while another owner, whose view differs, runs
// the request.
TEST_F(request_ledger_state, TwoOwnersDoNotConfirmEachOther) {
  submit(false);
  request_record Other = Listener.Replicated[0];
  Other.Phase = request_phase::Refused;
  Other.Revision = 9;
  EXPECT_FALSE(Ledger.handleRecord(Other, Now));
  confirm();
  EXPECT_TRUE(Listener.Sent.empty());
  EXPECT_EQ(Listener.Answers, std::vector{request_answer::Unknown});
}

// Guards against a delayed older record that replaces a newer one.
TEST_F(request_ledger_state, LateRecordDoesNotReplaceANewerOne) {
  request_record Record{
      Id, request_class::Critical, false, request_phase::Answered, 1, 5, target_id{1}, seconds(10)};
  Ledger.handleRecord(Record, Now);
  Record.Phase = request_phase::Dispatched;
  Record.Revision = 4;
  Ledger.handleRecord(Record, Now);
  submit(false);
  EXPECT_EQ(Listener.Answers, std::vector{request_answer::Ran});
}

// Guards against a cancellation that isn't sent to the target, also if the owner that dispatched
// the request has died.
TEST_F(request_ledger_state, CancellationReachesTheTarget) {
  submit(false);
  confirm();
  Ledger.cancel(Id, Now);
  Ledger.cancel(Id, Now);
  ASSERT_EQ(Listener.Cancelled.size(), 1U);
  EXPECT_EQ(Listener.Cancelled[0].Target, Listener.Sent[0].Target);

  request_scenario Next;
  Next.Ledger.handleRecord(Listener.Replicated[0], Now);
  Next.Ledger.cancel(Id, Now);
  EXPECT_EQ(Next.Listener.Cancelled.size(), 1U);
}

// Guards against sending a cancelled request to a target after the confirmation.
TEST_F(request_ledger_state, CancellationBeforeDispatchPreventsTheRun) {
  submit(false);
  Ledger.cancel(Id, Now);
  confirm();
  confirm();
  EXPECT_TRUE(Listener.Sent.empty());
  EXPECT_EQ(Listener.Answers, std::vector{request_answer::NotRun});
}

// Guards against entries that are never removed, and against entries removed while copies of the
// request may still arrive in time.
TEST_F(request_ledger_state, EntriesExpireAfterTheRetention) {
  submit(false);
  confirm();
  advance(seconds(69));
  EXPECT_EQ(Ledger.size(), 1U);
  advance(seconds(2));
  EXPECT_EQ(Ledger.size(), 0U);
  Listener.Answers.clear();
  submit(false);
  EXPECT_EQ(Listener.Sent.size(), 1U) << "the deadline has passed";
  EXPECT_EQ(Listener.Answers, std::vector{request_answer::Unknown});
}

// Guards against retries that multiply an overload.
TEST_F(request_ledger_state, RetriesStayWithinTheBudget) {
  request_ledger Strict{request_ledger_settings{}, Random, Listener};
  Strict.setConvergedAt(instant{});
  for (std::uint64_t I = 1; I <= 1000; ++I) {
    Strict.submit({request_id{I}, request_class::Bulk, true, true, Start + seconds(10)}, Now);
    Strict.handleReplicated(request_id{I}, 1, Now);
    Strict.handleRefusal(request_id{I}, 1, Now);
  }
  for (int I = 0; I < 90; ++I)
    Strict.tick(Now += milliseconds(100));
  const auto Retries = std::count_if(Listener.Replicated.begin(), Listener.Replicated.end(),
                                     [](const request_record &R) { return R.Attempt > 1; });
  EXPECT_EQ(Retries, 100);
}

// Guards against a non-idempotent request that is sent again without a refusal, and against the
// answer "not run" while the last attempt isn't refused, for any order of events.
RC_GTEST_PROP(request_ledger_schedule, AnswersOnlyWhatIsCertain, (bool Idempotent)) {
  request_scenario State;
  const auto Events = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 8));
  std::set<std::uint16_t> Refused;
  for (const int Event : Events) {
    const auto &Sent = State.Listener.Sent;
    switch (Event) {
    case 0:
    case 1:
      State.submit(Idempotent);
      break;
    case 2:
    case 3:
      if (!State.Listener.Replicated.empty())
        State.confirm();
      break;
    case 4:
      if (!Sent.empty()) {
        Refused.insert(Sent.back().Attempt);
        State.Ledger.handleRefusal(Id, Sent.back().Attempt, State.Now);
      }
      break;
    case 5:
      if (!Sent.empty() && !Refused.contains(Sent.back().Attempt))
        State.Ledger.handleAnswer(Id, State.Now);
      break;
    case 6:
      State.Ledger.cancel(Id, State.Now);
      break;
    default:
      State.advance(seconds(1));
    }
    const bool LastRefused = Sent.empty() || Refused.contains(Sent.back().Attempt);
    const bool NotRun =
        !State.Listener.Answers.empty() && State.Listener.Answers.back() == request_answer::NotRun;
    RC_ASSERT(!NotRun || LastRefused);
    if (!Idempotent)
      for (std::size_t I = 0; I + 1 < Sent.size(); ++I)
        RC_ASSERT(Refused.contains(Sent[I].Attempt));
  }
}

} // namespace
} // namespace briarpoint
