#include "tests/forward/forward_support.h"

#include <set>

namespace briarpoint {
namespace {

class target_registration_state : public forwarding {};

// Guards against an older revision of an entry that arrives late, for example in a stale list.
TEST_F(target_registration_state, ignoresOlderRevisions) {
  target_registration Old = registration("i-1", 1);
  target_registration New = registration("i-1", 1);
  New.Draining = true;
  Targets.put(New, Now);
  Targets.put(Old, Now);
  EXPECT_TRUE(Targets.find("i-1")->Registration.Draining);
  Targets.remove("i-1", {0, Old.Revision}, Now);
  EXPECT_FALSE(Targets.find("i-1")->removed());
}

// Guards against broken flows to a target whose entry lapsed during an outage of the store: the
// entry is back within two seconds, and only then does a target without an entry count as gone.
TEST_F(target_registration_state, treatsAMissingEntryAsLapsedForTwoSeconds) {
  const target &Target = add("i-1", 1);
  Targets.replaceAll({}, {0, ++Revision}, Now);
  EXPECT_TRUE(Target.acceptsFlows(Now + milliseconds(1999)));
  EXPECT_FALSE(Target.acceptsFlows(Now + milliseconds(2000)));
  Now += milliseconds(1500);
  add("i-1", 1);
  EXPECT_TRUE(Target.acceptsFlows(Now + seconds(100)));
}

// Guards against overload of the few targets that are back first after an outage of the store: most
// entries are missing in the first list (incident of Riga).
TEST_F(target_registration_state, usesLapsedTargetsLikeOthersIfMostAreMissing) {
  for (std::uint64_t Number = 1; Number <= 5; ++Number)
    add("i-" + std::to_string(Number), Number);
  const target_registration First = registration("i-1", 1);
  Targets.replaceAll({&First, 1}, {0, ++Revision}, Now);
  std::set<std::string> Used;
  for (std::uint16_t Port = 1; Port <= 50; ++Port)
    Used.insert(open(Port).Target->Registration.Name);
  EXPECT_EQ(Used.size(), 5U);
}

// Guards against new flows to a target that ended during a gap in the history of changes.
TEST_F(target_registration_state, avoidsATargetThatIsMissingAlone) {
  for (std::uint64_t Number = 1; Number <= 3; ++Number)
    add("i-" + std::to_string(Number), Number);
  const target_registration Listed[] = {registration("i-1", 1), registration("i-2", 2)};
  Targets.replaceAll(Listed, {0, ++Revision}, Now);
  for (std::uint16_t Port = 1; Port <= 50; ++Port)
    EXPECT_NE(open(Port).Target->Registration.Name, "i-3");
}

// Guards against new flows to a target that has announced its end.
TEST_F(target_registration_state, treatsADrainingTargetAsGoneOnceItsEntryIsRemoved) {
  target_registration Draining = registration("i-1", 1);
  Draining.Draining = true;
  Targets.put(Draining, Now);
  const target &Target = *Targets.find("i-1");
  EXPECT_FALSE(Target.acceptsFlows(Now));
  Targets.remove("i-1", {0, ++Revision}, Now);
  EXPECT_TRUE(Target.gone(Now));
}

// Guards against applying evidence about an earlier process to its successor.
TEST_F(target_registration_state, clearsTheHealthOfARestartedTarget) {
  target &Target = add("i-1", 1);
  Target.Health.onRepeat(0, Now);
  Target.Health.onRepeat(0, Now);
  EXPECT_TRUE(Target.Health.suspected(Now));
  target_registration Restarted = registration("i-1", 1);
  Restarted.StartedMs = 5;
  Targets.put(Restarted, Now);
  EXPECT_FALSE(Target.Health.suspected(Now));
  EXPECT_EQ(Targets.findByToken(makeFlowToken(1)), &Target);
}

// Guards against packets for an old target that reach the service that has taken over its address.
TEST_F(target_registration_state, distinguishesTargetsThatHadTheSameAddress) {
  target_registration First = registration("i-1", 1);
  Targets.put(First, Now);
  Targets.remove("i-1", {0, ++Revision}, Now);
  target_registration Second = registration("i-2", 2);
  Second.Service = "mail";
  Second.Address = First.Address;
  Targets.put(Second, Now);
  EXPECT_EQ(Targets.findByToken(makeFlowToken(1))->Registration.Number, 1U);
  EXPECT_EQ(Targets.findByToken(makeFlowToken(2))->Registration.Service, "mail");
}

// Guards against a registry that grows with each replaced target, and against erasing a removed
// target that still has flows.
TEST_F(target_registration_state, erasesARemovedTargetAfterTheFlowLifetime) {
  add("i-1", 1);
  Targets.remove("i-1", {0, ++Revision}, Now);
  Targets.expire(Now + seconds(59));
  EXPECT_EQ(Targets.size(), 1U);
  Targets.expire(Now + seconds(60));
  EXPECT_EQ(Targets.size(), 0U);
  EXPECT_EQ(Targets.findByToken(makeFlowToken(1)), nullptr);
}

// Guards against targets that get less load for ever because each list restarts their warm-up. The
// remaining time in an entry counts from the entry's revision.
TEST_F(target_registration_state, warmsUpOnceForEachRevision) {
  target_registration Registration = registration("i-1", 1);
  Registration.WarmUpMs = 2000;
  Targets.put(Registration, Now);
  const instant WarmUpEndsAt = Targets.find("i-1")->WarmUpEndsAt;
  Targets.put(Registration, Now + seconds(1));
  EXPECT_EQ(Targets.find("i-1")->WarmUpEndsAt, WarmUpEndsAt);
  Registration.Revision = ++Revision;
  Targets.put(Registration, Now + seconds(1));
  EXPECT_EQ(Targets.find("i-1")->WarmUpEndsAt, Now + seconds(3));
}

class targets_with_the_same_token : public forwarding {
protected:
  targets_with_the_same_token() {
    Early.StartedMs = 1000;
    Late.StartedMs = 2000;
  }

  std::pair<std::uint64_t, std::uint64_t> Numbers = collidingNumbers();
  const flow_token Token = makeFlowToken(Numbers.first);
  // The names sort the other way round than the starts.
  target_registration Early = registration("i-b-early", Numbers.first);
  target_registration Late = registration("i-a-late", Numbers.second);
};

// Guards against flows that reach the wrong one of two targets: the one whose process started first
// owns the token and the other one gets no flows, in whichever order a balancer receives them.
TEST_F(targets_with_the_same_token, tokenBelongsToTheProcessThatStartedFirst) {
  for (const bool EarlyFirst : {true, false}) {
    SCOPED_TRACE(EarlyFirst);
    target_registry Registry(makeSettings());
    Registry.put(EarlyFirst ? Early : Late, Now);
    Registry.put(EarlyFirst ? Late : Early, Now);
    EXPECT_EQ(Registry.findByToken(Token)->Registration.Name, "i-b-early");
    EXPECT_TRUE(Registry.find("i-b-early")->acceptsFlows(Now));
    EXPECT_FALSE(Registry.find("i-a-late")->acceptsFlows(Now));
    // The earlier one still owns the token for as long as its flows can last.
    Registry.remove("i-b-early", {0, 100}, Now);
    EXPECT_FALSE(Registry.find("i-a-late")->acceptsFlows(Now + seconds(59)));
    Registry.expire(Now + seconds(60));
    EXPECT_TRUE(Registry.find("i-a-late")->acceptsFlows(Now + seconds(60)));
  }
}

// Guards against open flows that reach the other target after an outage of the store, in which the
// entries lapsed: they are written again in another order (review, case 10).
TEST_F(targets_with_the_same_token, tokenStaysWithItsOwnerIfEntriesAreWrittenAgain) {
  Targets.put(Early, Now);
  Targets.put(Late, Now);
  for (const bool AsList : {true, false}) {
    SCOPED_TRACE(AsList);
    if (AsList)
      Targets.replaceAll({}, {0, ++Revision}, Now);
    else
      for (const char *Name : {"i-b-early", "i-a-late"})
        Targets.remove(Name, {0, ++Revision}, Now);
    Late.Revision = ++Revision;
    Early.Revision = ++Revision;
    Targets.put(Late, Now);
    EXPECT_EQ(Targets.findByToken(Token)->Registration.Name, "i-b-early");
    Targets.put(Early, Now);
    EXPECT_EQ(Targets.findByToken(Token)->Registration.Name, "i-b-early");
    EXPECT_FALSE(Targets.find("i-a-late")->acceptsFlows(Now));
  }
}

// Guards against balancers that send the flows of one token to different targets, because one of
// them started after the entries were written again, or while one was missing.
TEST_F(targets_with_the_same_token, tokenHasTheSameOwnerAtABalancerThatHasStartedSince) {
  Late.Revision = ++Revision;
  Early.Revision = ++Revision;
  const target_registration Listed[] = {Late, Early};
  target_registry Started(makeSettings());
  Started.replaceAll(Listed, {0, Revision}, Now);
  EXPECT_EQ(Started.findByToken(Token)->Registration.Name, "i-b-early");
  target_registry StartedBetween(makeSettings());
  StartedBetween.replaceAll({&Listed[0], 1}, {0, Late.Revision}, Now);
  StartedBetween.put(Early, Now);
  EXPECT_EQ(StartedBetween.findByToken(Token)->Registration.Name, "i-b-early");
}

// Guards against two owners of a token, or none, after the owner has restarted under its name,
// without the flows that it had: the other target is then the one that started first.
TEST_F(targets_with_the_same_token, tokenBelongsToTheOtherTargetOnceItsOwnerRestarts) {
  Targets.put(Early, Now);
  Targets.put(Late, Now);
  Early.StartedMs = Late.StartedMs + 1;
  Early.Revision = ++Revision;
  Targets.put(Early, Now);
  EXPECT_FALSE(Targets.find("i-b-early")->OwnsToken);
  EXPECT_TRUE(Targets.find("i-a-late")->OwnsToken);
  EXPECT_EQ(Targets.findByToken(Token), Targets.find("i-a-late"));
}

// Guards against an entry of another writer that takes over the token of a host, whose open flows
// are then sent to another address and reset (review, case 13).
TEST_F(targets_with_the_same_token, tokenStaysWithAServiceThatRoutesName) {
  Early.Service = "agent";
  for (const bool NamedFirst : {true, false}) {
    SCOPED_TRACE(NamedFirst);
    target_registry Registry(makeSettings());
    if (NamedFirst)
      Registry.setNamedServices({"web"});
    Registry.put(Late, Now);
    Registry.put(Early, Now);
    Registry.setNamedServices({"web"});
    EXPECT_EQ(Registry.findByToken(Token)->Registration.Name, "i-a-late");
    EXPECT_TRUE(Registry.find("i-a-late")->acceptsFlows(Now));
    Registry.setNamedServices({"web", "agent"});
    EXPECT_EQ(Registry.findByToken(Token)->Registration.Name, "i-b-early");
  }
}

// Guards against the same by an entry of a named service that states no start, as a host always
// does.
TEST_F(targets_with_the_same_token, tokenStaysWithAProcessThatStatesItsStart) {
  Late.StartedMs = 0;
  Targets.put(Early, Now);
  Targets.put(Late, Now);
  EXPECT_EQ(Targets.findByToken(Token)->Registration.Name, "i-b-early");
}

// Guards against a token that stays with a target that has left: balancers that started after that
// open flows at the later target.
TEST_F(targets_with_the_same_token, tokenIsReleasedByARemovedTarget) {
  Targets.put(Early, Now);
  Targets.put(Late, Now);
  target &Removed = *Targets.find("i-b-early");
  target &Other = *Targets.find("i-a-late");
  EXPECT_EQ(Targets.releaseToken(Removed), nullptr);
  Targets.remove("i-b-early", {0, ++Revision}, Now);
  EXPECT_EQ(Targets.releaseToken(Removed), &Other);
  EXPECT_EQ(Targets.findByToken(Token), &Other);
  EXPECT_TRUE(Other.acceptsFlows(Now));
  // Another target's end rebuilds the index.
  add("i-other", 7);
  Targets.remove("i-other", {0, ++Revision}, Now - seconds(61));
  Targets.expire(Now);
  EXPECT_EQ(Targets.findByToken(Token), &Other);
  EXPECT_EQ(Targets.releaseToken(Other), nullptr);
  // Balancers that never released the token, or have started since, order by the start.
  Early.Revision = ++Revision;
  Targets.put(Early, Now);
  EXPECT_EQ(Targets.findByToken(Token), &Removed);
  EXPECT_FALSE(Other.OwnsToken);
}

/// The store came back from an older copy, with era 1, while "i-1" was draining and "i-2" served.
class targets_after_a_return : public forwarding {
protected:
  targets_after_a_return() {
    target_registration Draining = registration("i-1", 1);
    Draining.Draining = true;
    Targets.put(Draining, Now);
    add("i-2", 2);
    Targets.beginRecovery(End);
  }
  /// Returns an entry of the copy, whose revision is below all others.
  target_registration copied(const std::string &Name, std::uint64_t Number) {
    target_registration Result = registration(Name, Number);
    Result.Revision = 0;
    Result.Era = 1;
    return Result;
  }
  instant End = Now + seconds(2);
};

// Guards against entries of the new era that are ignored because their revisions are lower.
TEST_F(targets_after_a_return, takeTheEntriesOfTheNewEra) {
  target_registration Moved = copied("i-2", 2);
  Moved.Slots = 9;
  Targets.put(Moved, Now);
  EXPECT_EQ(Targets.find("i-2")->Registration.Slots, 9U);
  Targets.put(registration("i-2", 2), Now);
  EXPECT_EQ(Targets.find("i-2")->Registration.Slots, 9U);
}

// Guards against new flows to a target that announced its end after the copy was made, for as long
// as it takes to write that again.
TEST_F(targets_after_a_return, stayDrainingDuringTheRecoveryTime) {
  Targets.put(copied("i-1", 1), Now);
  const target &Target = *Targets.find("i-1");
  EXPECT_FALSE(Target.acceptsFlows(End - milliseconds(1)));
  EXPECT_TRUE(Target.acceptsFlows(End));
}

// Guards against the same for a target that was removed meanwhile, which the copy brings back.
TEST_F(targets_after_a_return, stayDrainingIfTheyWereRemovedBefore) {
  Targets.remove("i-1", {0, ++Revision}, Now);
  Targets.put(copied("i-1", 1), Now);
  EXPECT_FALSE(Targets.find("i-1")->acceptsFlows(End - milliseconds(1)));
}

// Guards against a restarted target that gets no flows because its predecessor was draining.
TEST_F(targets_after_a_return, drainNoLongerOnceTheirProcessRestarts) {
  Targets.put(copied("i-1", 1), Now);
  target_registration Restarted = copied("i-1", 1);
  Restarted.StartedMs = 5;
  Targets.put(Restarted, Now);
  EXPECT_TRUE(Targets.find("i-1")->acceptsFlows(Now));
}

// Guards against flows that avoid a target, or are reset, because the copy lacks it.
TEST_F(targets_after_a_return, stayInUseIfTheCopyLacksThem) {
  add("i-3", 3);
  const target_registration Listed[] = {copied("i-1", 1), copied("i-3", 3)};
  Targets.replaceAll(Listed, {1, 1}, Now);
  EXPECT_TRUE(Targets.find("i-2")->acceptsFlows(End - milliseconds(1)));
  std::set<std::string> Used;
  for (std::uint16_t Port = 1; Port <= 50; ++Port)
    Used.insert(open(Port).Target->Registration.Name);
  EXPECT_TRUE(Used.contains("i-2"));
  EXPECT_FALSE(Targets.find("i-2")->acceptsFlows(End));
}

// Guards against a warm-up that begins again with an entry of the copy.
TEST_F(targets_after_a_return, keepTheEndOfTheirWarmUp) {
  target_registration Copied = copied("i-2", 2);
  Copied.WarmUpMs = 5000;
  Targets.put(Copied, Now);
  EXPECT_LE(Targets.find("i-2")->WarmUpEndsAt, Now);
}

// Guards against a restarted target that gets full load while it is cold: its entry of the new era
// may have the revision that the one before had.
TEST_F(targets_after_a_return, warmUpAgainIfTheirProcessRestarts) {
  target_registration Restarted = copied("i-2", 2);
  Restarted.Revision = Targets.find("i-2")->Registration.Revision;
  Restarted.StartedMs = 5;
  Restarted.WarmUpMs = 5000;
  Targets.put(Restarted, Now);
  EXPECT_EQ(Targets.find("i-2")->WarmUpEndsAt, Now + seconds(5));
}

// Guards against open flows that reach another target with the same token, because the two wrote
// their entries again in another order.
TEST_F(targets_after_a_return, keepTheOrderOfTokenOwnership) {
  const auto Numbers = collidingNumbers();
  target_registration Early = registration("i-b-early", Numbers.first);
  target_registration Late = registration("i-a-late", Numbers.second);
  Early.StartedMs = 1000;
  Late.StartedMs = 2000;
  Targets.put(Early, Now);
  Targets.put(Late, Now);
  target_registry Started(makeSettings());
  Late.Era = Early.Era = 1;
  Late.Revision = 5;
  Early.Revision = 6;
  for (target_registry *Registry : {&Targets, &Started}) {
    Registry->put(Late, Now);
    Registry->put(Early, Now);
    EXPECT_EQ(Registry->findByToken(makeFlowToken(Numbers.first)), Registry->find("i-b-early"));
    EXPECT_FALSE(Registry->find("i-a-late")->OwnsToken);
  }
}

} // namespace
} // namespace briarpoint
