#include "tests/forward/load_model.h"

#include <gtest/gtest.h>

namespace briarpoint::test {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// The shop network on a usual day: 300 callers, 14 targets, 15 balancers.
class usual_load : public testing::Test {
protected:
  load_model Model{load_settings()};
};

TEST_F(usual_load, isServedInTheGoal) {
  const load_result Result = Model.play(seconds(20));
  EXPECT_GT(Result.Asked, 6000U);
  EXPECT_EQ(Result.Served, Result.Asked);
  EXPECT_GT(Result.inGoal(), 0.99);
  EXPECT_LT(Result.Imbalance, 1.5);
}

// Guards against decisions that depend on anything but the seed: a failure must be repeatable.
TEST_F(usual_load, isRepeatable) {
  load_model Again{load_settings()};
  EXPECT_EQ(Model.play(seconds(5)).InGoal, Again.play(seconds(5)).InGoal);
}

// Guards against callers that feel a cut between data centres although their own one has targets.
TEST_F(usual_load, isServedWhileADataCentreIsCutOff) {
  Model.at(seconds(5), [&] { Model.cut("c"); });
  Model.at(seconds(11), [&] { Model.cut(""); });
  const load_result Result = Model.play(seconds(15), seconds(5), seconds(11));
  EXPECT_EQ(Result.Served, Result.Asked);
  EXPECT_GT(Result.inGoal(), 0.99);
}

// Guards against callers of a silent target that wait until their time is over. A request that is
// under way can't be in its goal; what counts is that nobody is left unserved.
TEST_F(usual_load, isServedWhenTargetsFallSilent) {
  Model.at(seconds(5), [&] {
    Model.setFault(0, load_model::fault::Silent);
    Model.setFault(5, load_model::fault::Silent);
  });
  const load_result First = Model.play(seconds(9), seconds(5), seconds(9));
  EXPECT_GT(First.served(), 0.995);
  EXPECT_GT(First.inGoal(), 0.9);
}

TEST_F(usual_load, isInTheGoalAgainSecondsLater) {
  Model.at(seconds(5), [&] { Model.setFault(0, load_model::fault::Silent); });
  EXPECT_GT(Model.play(seconds(14), seconds(8), seconds(14)).inGoal(), 0.98);
}

// Guards against a refusing target that draws all callers (Holmgren's trouble-3).
TEST_F(usual_load, isServedWhenATargetRefusesFlows) {
  Model.at(seconds(5), [&] { Model.setFault(0, load_model::fault::Refusing); });
  const load_result Result = Model.play(seconds(10), seconds(5), seconds(10));
  EXPECT_GT(Result.served(), 0.999);
  EXPECT_GT(Result.inGoal(), 0.98);
}

// Guards against requests lost in planned work: none is.
TEST_F(usual_load, losesNothingWhenTargetsDrain) {
  for (const int Target : {0, 5, 10})
    Model.at(seconds(5), [this, Target] { Model.drain(static_cast<std::size_t>(Target)); });
  const load_result Result = Model.play(seconds(12), seconds(5), seconds(12));
  EXPECT_EQ(Result.Served, Result.Asked);
  EXPECT_GT(Result.inGoal(), 0.98);
}

// Guards against a data centre that queues while others are idle: it lost most of its targets.
TEST_F(usual_load, isSharedWhenADataCentreLosesTargets) {
  const std::size_t First = Model.targetIn("c");
  for (std::size_t I = 0; I < 3; ++I)
    Model.at(seconds(5), [this, I, First] { Model.drain(First + I); });
  const load_result Result = Model.play(seconds(20), seconds(8), seconds(20));
  EXPECT_GT(Result.served(), 0.999);
  EXPECT_GT(Result.inGoal(), 0.95);
}

} // namespace
} // namespace briarpoint::test
