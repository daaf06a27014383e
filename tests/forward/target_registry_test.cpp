#include "tests/forward/forward_support.h"

#include <set>

namespace briarpoint {
namespace {

class target_registration_state : public forwarding {};

// Guards against an older revision that arrives late, for example from a stale list.
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

// Guards against flows of a target whose entry lapsed while the store was away: it is back within
// two seconds, and only a target that stays away is gone.
TEST_F(target_registration_state, takesAMissingEntryAsLapsedForTwoSeconds) {
  const target &Target = add("i-1", 1);
  Targets.replaceAll({}, ++Revision, Now);
  EXPECT_TRUE(Target.acceptsFlows(Now + milliseconds(1999)));
  EXPECT_FALSE(Target.acceptsFlows(Now + milliseconds(2000)));
  Now += milliseconds(1500);
  add("i-1", 1);
  EXPECT_TRUE(Target.acceptsFlows(Now + seconds(100)));
}

// Guards against the few targets that are back first after an outage of the store and get all new
// flows (incident of Riga): most entries are missing in the first list.
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

// Guards against new flows on the one target that ended in a gap of the history.
TEST_F(target_registration_state, avoidsATargetThatIsMissingAlone) {
  for (std::uint64_t Number = 1; Number <= 3; ++Number)
    add("i-" + std::to_string(Number), Number);
  const target_registration Listed[] = {registration("i-1", 1), registration("i-2", 2)};
  Targets.replaceAll(Listed, ++Revision, Now);
  for (std::uint16_t Port = 1; Port <= 50; ++Port)
    EXPECT_NE(open(Port).Target->Registration.Name, "i-3");
}

// Guards against new flows on a target that has announced its end.
TEST_F(target_registration_state, takesADrainingTargetAsGoneWhenItsEntryIs) {
  target_registration Draining = registration("i-1", 1);
  Draining.Draining = true;
  Targets.put(Draining, Now);
  const target &Target = *Targets.find("i-1");
  EXPECT_FALSE(Target.acceptsFlows(Now));
  Targets.remove("i-1", ++Revision, Now);
  EXPECT_TRUE(Target.gone(Now));
}

// Guards against evidence about an earlier process that speaks against its successor.
TEST_F(target_registration_state, forgetsTheHealthOfATargetThatStartedAgain) {
  target &Target = add("i-1", 1);
  Target.Health.onRepeat(0, Now);
  Target.Health.onRepeat(0, Now);
  EXPECT_TRUE(Target.Health.suspected(Now));
  target_registration Again = registration("i-1", 1);
  Again.StartedMs = 5;
  Targets.put(Again, Now);
  EXPECT_FALSE(Target.Health.suspected(Now));
  EXPECT_EQ(Targets.findByToken(makeFlowToken(1)), &Target);
}

// Guards against packets of an old target at the service that took over its address.
TEST_F(target_registration_state, tellsTargetsApartThatHadTheSameAddress) {
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

// Guards against a registry that grows with each replaced target, and against a removed target that
// is forgotten while its flows live.
TEST_F(target_registration_state, forgetsARemovedTargetAfterTheLifeOfAFlow) {
  add("i-1", 1);
  Targets.remove("i-1", ++Revision, Now);
  Targets.expire(Now + seconds(59));
  EXPECT_EQ(Targets.size(), 1U);
  Targets.expire(Now + seconds(60));
  EXPECT_EQ(Targets.size(), 0U);
  EXPECT_EQ(Targets.findByToken(makeFlowToken(1)), nullptr);
}

/// Two numbers with the same token, found by search.
std::pair<std::uint64_t, std::uint64_t> collidingNumbers() {
  std::unordered_map<std::uint32_t, std::uint64_t> Seen;
  for (std::uint64_t Number = 1;; ++Number) {
    const auto [Entry, New] =
        Seen.emplace(static_cast<std::uint32_t>(makeFlowToken(Number)), Number);
    if (!New)
      return {Entry->second, Number};
  }
}

class targets_with_the_same_token : public forwarding {
protected:
  std::pair<std::uint64_t, std::uint64_t> Numbers = collidingNumbers();
};

// Guards against flows that reach the wrong one of two targets: the earlier entry owns the token,
// in whichever order a balancer learns of them, and the later one gets no flows.
TEST_F(targets_with_the_same_token, belongsToTheOneThatTheStoreCreatedFirst) {
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
    // The token stays with the earlier one while its flows may live.
    Registry.remove("i-early", 100, Now);
    EXPECT_FALSE(Registry.find("i-late")->acceptsFlows(Now + seconds(59)));
    Registry.expire(Now + seconds(60));
    EXPECT_TRUE(Registry.find("i-late")->acceptsFlows(Now + seconds(60)));
  }
}

// Guards against two targets that both own a token, or none, after the entry of one was created
// anew: the other one is the earlier one then.
TEST_F(targets_with_the_same_token, belongsToTheOtherOneOnceAnEntryIsCreatedAnew) {
  target &Early = add("i-early", Numbers.first);
  target &Late = add("i-late", Numbers.second);
  target_registration Anew = registration("i-early", Numbers.first);
  Anew.Created = Numbers.second + 1;
  Targets.put(Anew, Now);
  EXPECT_FALSE(Early.OwnsToken);
  EXPECT_TRUE(Late.OwnsToken);
  EXPECT_EQ(Targets.findByToken(makeFlowToken(Numbers.first)), &Late);
}

} // namespace
} // namespace briarpoint
