#include "tests/forward/forward_support.h"

#include <map>

namespace briarpoint {
namespace {

class choosing_a_target : public forwarding {
protected:
  target &addIn(const std::string &Name, std::uint64_t Number, const std::string &DataCentre) {
    target_registration Registration = registration(Name, Number);
    Registration.DataCentre = DataCentre;
    Targets.put(Registration, Now);
    return *Targets.find(Name);
  }
  target *choose(const target *Avoided = nullptr) {
    return Chooser.choose(Targets.findByService("web"), Avoided, Now);
  }
  target_chooser Chooser{Random};
};

// Guards against flows across data centres, which a partition would break.
TEST_F(choosing_a_target, prefersTheLocalDataCentre) {
  addIn("i-far", 1, "b");
  target &Near = addIn("i-near", 2, "a");
  Near.OpenFlows = 50;
  EXPECT_EQ(choose(), &Near);
}

// Guards against callers that are reset although another data centre could serve them.
TEST_F(choosing_a_target, usesAnotherDataCentreIfTheLocalOneHasNoUsableTarget) {
  target &Far = addIn("i-far", 1, "b");
  target_registration Near = registration("i-near", 2);
  Near.Draining = true;
  Targets.put(Near, Now);
  EXPECT_EQ(choose(), &Far);
}

// Guards against callers that get no target although a suspected one may still answer.
TEST_F(choosing_a_target, usesASuspectedTargetIfThereIsNoOther) {
  target &Only = add("i-1", 1);
  Only.Health.onRepeat(0, Now);
  Only.Health.onRepeat(0, Now);
  EXPECT_EQ(choose(), &Only);
  target &Far = addIn("i-far", 2, "b");
  EXPECT_EQ(choose(), &Far);
}

// Guards against uneven load: each target must get flows in proportion to its slots.
TEST_F(choosing_a_target, spreadsFlowsByOpenFlowsPerSlot) {
  for (std::uint64_t Number = 1; Number <= 4; ++Number)
    add("i-" + std::to_string(Number), Number).Registration.Slots = Number == 4 ? 6 : 2;
  for (int I = 0; I < 120; ++I)
    ++choose()->OpenFlows;
  EXPECT_NEAR(Targets.find("i-1")->OpenFlows, 20, 1);
  EXPECT_NEAR(Targets.find("i-4")->OpenFlows, 60, 1);
}

// Guards against a target that gets as many flows during its warm-up as the others.
TEST_F(choosing_a_target, givesAWarmingTargetFewerFlows) {
  add("i-1", 1);
  target &Warming = add("i-2", 2);
  Warming.WarmUpEndsAt = Now + seconds(2);
  for (int I = 0; I < 130; ++I)
    ++choose()->OpenFlows;
  EXPECT_NEAR(Warming.OpenFlows, 50, 2);
}

// Guards against a slow target that gets as many flows as the others although each takes longer.
TEST_F(choosing_a_target, givesASlowTargetFewerFlows) {
  target &Fast = add("i-1", 1);
  target &Slow = add("i-2", 2);
  for (int I = 0; I < 100; ++I) {
    Fast.ResponseTime.add(milliseconds(40 + I % 20), Now);
    Slow.ResponseTime.add(milliseconds(4 * (40 + I % 20)), Now);
  }
  for (int I = 0; I < 100; ++I)
    ++choose()->OpenFlows;
  EXPECT_NEAR(Slow.OpenFlows, 20, 2);
  // Its average expires, so that it is tried again.
  Now += seconds(6);
  EXPECT_EQ(choose(), &Slow);
}

// Guards against targets of equal speed that are treated differently because their samples differ.
TEST_F(choosing_a_target, treatsTargetsOfSimilarSpeedAlike) {
  target &First = add("i-1", 1);
  target &Second = add("i-2", 2);
  for (int I = 0; I < 100; ++I) {
    First.ResponseTime.add(milliseconds(40), Now);
    Second.ResponseTime.add(milliseconds(58), Now);
  }
  for (int I = 0; I < 100; ++I)
    ++choose()->OpenFlows;
  EXPECT_EQ(First.OpenFlows, Second.OpenFlows);
}

// Guards against queues in a data centre that has lost targets while others are idle (scale-in on
// Riga: 57 of 2,758 requests of one data centre late).
TEST_F(choosing_a_target, sharesLoadWithOtherDataCentresOnlyWhileTheLocalOneIsOverloaded) {
  target &Near = addIn("i-near", 1, "a");
  target &Far = addIn("i-far", 2, "b");
  for (int I = 0; I < 100; ++I)
    Near.ResponseTime.add(milliseconds(40), Now);
  EXPECT_EQ(choose(), &Near);
  for (int I = 0; I < 60; ++I)
    Near.ResponseTime.add(milliseconds(90), Now);
  Near.OpenFlows = 30;
  for (int I = 0; I < 30; ++I)
    ++choose()->OpenFlows;
  EXPECT_NEAR(Far.OpenFlows, 20, 1);
  for (int I = 0; I < 60; ++I)
    Near.ResponseTime.add(milliseconds(40), Now);
  EXPECT_EQ(choose(), &Near);
}

// Guards against balancers that all choose the same target when they start at the same time.
TEST_F(choosing_a_target, breaksTiesAtRandom) {
  for (std::uint64_t Number = 1; Number <= 4; ++Number)
    add("i-" + std::to_string(Number), Number);
  std::map<std::string, int> Counts;
  for (int I = 0; I < 4000; ++I)
    ++Counts[choose()->Registration.Name];
  ASSERT_EQ(Counts.size(), 4U);
  for (const auto &[Name, Count] : Counts)
    EXPECT_NEAR(Count, 1000, 120) << Name;
}

} // namespace
} // namespace briarpoint
