#include "tests/data/fabric_model_support.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace briarpoint::testing {
namespace {

enum class event_kind : std::uint8_t {
  OpenTcp,
  OpenUdp,
  Send,
  Close,
  Wait,
  Kill,
  Leave,
  Join,
  Drain
};

struct event {
  event_kind Kind{};
  std::uint32_t Value = 0;
};

std::ostream &operator<<(std::ostream &Out, const event &Event) {
  return Out << static_cast<int>(Event.Kind) << ":" << Event.Value;
}

rc::Gen<std::vector<event>> schedules() {
  const auto Kind = rc::gen::weightedElement<event_kind>({{5, event_kind::OpenTcp},
                                                          {2, event_kind::OpenUdp},
                                                          {10, event_kind::Send},
                                                          {2, event_kind::Close},
                                                          {6, event_kind::Wait},
                                                          {3, event_kind::Kill},
                                                          {1, event_kind::Leave},
                                                          {4, event_kind::Join},
                                                          {1, event_kind::Drain}});
  const auto Event = rc::gen::apply(
      [](event_kind Kind, std::uint32_t Value) {
        return event{Kind, Value};
      },
      Kind, rc::gen::inRange<std::uint32_t>(0, 100));
  return rc::gen::container<std::vector<event>>(60, Event);
}

void runSchedule(fabric_model &Model, const std::vector<event> &Events, std::size_t MaxKills) {
  for (const event &Event : Events) {
    switch (Event.Kind) {
    case event_kind::OpenTcp:
      Model.openFlow(false);
      break;
    case event_kind::OpenUdp:
      Model.openFlow(true);
      break;
    case event_kind::Send:
      Model.sendOnFlow(Event.Value);
      break;
    case event_kind::Close:
      Model.closeFlow(Event.Value);
      break;
    case event_kind::Wait:
      Model.run(std::chrono::milliseconds(200) * Event.Value / 2);
      break;
    case event_kind::Kill:
      Model.killBalancers(1 + Event.Value % MaxKills);
      break;
    case event_kind::Leave:
      Model.leaveBalancer();
      break;
    case event_kind::Join:
      Model.joinBalancer();
      break;
    case event_kind::Drain:
      Model.drainTarget(Event.Value);
      break;
    }
    // After half of the membership changes the model waits until the next change is allowed, so
    // that schedules contain several of them.
    const bool IsChange = Event.Kind >= event_kind::Kill && Event.Kind <= event_kind::Join;
    Model.run(IsChange && Event.Value % 2 == 0 ? duration(std::chrono::seconds(65))
                                               : duration(std::chrono::milliseconds(200)));
  }
  Model.checkOpenFlows();
}

// Guards against flows that break or reach the wrong target when up to three balancers fail at once
// while others join and leave and the balancers have different views.
RC_GTEST_PROP(fabric_schedules, OpenFlowsSurviveMembershipChanges, ()) {
  const auto Seed = *rc::gen::arbitrary<std::uint64_t>();
  const std::vector<event> Events = *schedules();
  fabric_model Model(Seed, {});
  runSchedule(Model, Events, 3);
  RC_LOG() << Model.Violations;
  RC_ASSERT(Model.Violations.empty());
}

// Guards against the same failures when messages between balancers are lost, duplicated, delayed
// and reordered.
RC_GTEST_PROP(fabric_schedules, OpenFlowsSurviveMessageFaults, ()) {
  const auto Seed = *rc::gen::arbitrary<std::uint64_t>();
  const std::vector<event> Events = *schedules();
  fabric_model Model(Seed, {0.05, 0.05, 0.1});
  runSchedule(Model, Events, 1);
  RC_LOG() << Model.Violations;
  RC_ASSERT(Model.Violations.empty());
}

// Guards against a model whose flows never open, so that the properties above hold trivially.
TEST(fabric_schedules, ModelReportsNoViolationsWithoutFaults) {
  fabric_model Model(1, {});
  for (int I = 0; I < 20; ++I)
    Model.openFlow(I % 3 == 0);
  Model.checkOpenFlows();
  EXPECT_EQ(Model.Violations, "");
  EXPECT_EQ(Model.Established, 20U);
}

} // namespace
} // namespace briarpoint::testing
