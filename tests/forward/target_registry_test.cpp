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
  Targets.remove("i-1", Old.Revision, Now);
  EXPECT_FALSE(Targets.find("i-1")->removed());
}

// Guards against broken flows to a target whose entry lapsed during an outage of the store: the
// entry is back within two seconds, and only then does a target without an entry count as gone.
TEST_F(target_registration_state, treatsAMissingEntryAsLapsedForTwoSeconds) {
  const target &Target = add("i-1", 1);
  Targets.replaceAll({}, ++Revision, Now);
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
  Targets.replaceAll({&First, 1}, ++Revision, Now);
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
  Targets.replaceAll(Listed, ++Revision, Now);
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
  Targets.remove("i-1", ++Revision, Now);
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
  Targets.remove("i-1", ++Revision, Now);
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
  Targets.remove("i-1", ++Revision, Now);
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
  std::pair<std::uint64_t, std::uint64_t> Numbers = collidingNumbers();
};

// Guards against flows that reach the wrong one of two targets: the earlier entry owns the token
// and the later one gets no flows, in whichever order a balancer receives them.
TEST_F(targets_with_the_same_token, tokenBelongsToTheEntryThatTheStoreCreatedFirst) {
  target_registration Early = registration("i-early", Numbers.first);
  target_registration Late = registration("i-late", Numbers.second);
  Early.Created = 10;
  Late.Created = 20;
  for (const bool EarlyFirst : {true, false}) {
    SCOPED_TRACE(EarlyFirst);
    target_registry Registry(makeSettings());
    Registry.put(EarlyFirst ? Early : Late, Now);
    Registry.put(EarlyFirst ? Late : Early, Now);
    EXPECT_EQ(Registry.findByToken(makeFlowToken(Numbers.first))->Registration.Name, "i-early");
    EXPECT_TRUE(Registry.find("i-early")->acceptsFlows(Now));
    EXPECT_FALSE(Registry.find("i-late")->acceptsFlows(Now));
    // The earlier one still owns the token for as long as its flows can last.
    Registry.remove("i-early", 100, Now);
    EXPECT_FALSE(Registry.find("i-late")->acceptsFlows(Now + seconds(59)));
    Registry.expire(Now + seconds(60));
    EXPECT_TRUE(Registry.find("i-late")->acceptsFlows(Now + seconds(60)));
  }
}

// Guards against two owners of a token, or none, after an entry was recreated: the other entry is
// then the earlier one.
TEST_F(targets_with_the_same_token, tokenBelongsToTheOtherEntryOnceOneIsRecreated) {
  target &Early = add("i-early", Numbers.first);
  target &Late = add("i-late", Numbers.second);
  target_registration Recreated = registration("i-early", Numbers.first);
  Recreated.Created = Numbers.second + 1;
  Targets.put(Recreated, Now);
  EXPECT_FALSE(Early.OwnsToken);
  EXPECT_TRUE(Late.OwnsToken);
  EXPECT_EQ(Targets.findByToken(makeFlowToken(Numbers.first)), &Late);
}

// Guards against a token that stays with a target that has left: balancers that started after that
// open flows at the later target.
TEST_F(targets_with_the_same_token, tokenIsReleasedByARemovedTarget) {
  target &Early = add("i-early", Numbers.first);
  target &Late = add("i-late", Numbers.second);
  EXPECT_EQ(Targets.releaseToken(Early), nullptr);
  Targets.remove("i-early", ++Revision, Now);
  EXPECT_EQ(Targets.releaseToken(Early), &Late);
  EXPECT_EQ(Targets.findByToken(Late.Token), &Late);
  EXPECT_TRUE(Late.acceptsFlows(Now));
  // Another target's end rebuilds the index.
  add("i-other", 7);
  Targets.remove("i-other", ++Revision, Now - seconds(61));
  Targets.expire(Now);
  EXPECT_EQ(Targets.findByToken(Late.Token), &Late);
  EXPECT_EQ(Targets.releaseToken(Late), nullptr);
}

} // namespace
} // namespace briarpoint
