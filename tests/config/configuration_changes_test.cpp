#include "config/configuration_changes.h"
#include "tests/config/generators.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace briarpoint {
namespace {

// Guards against a change that is missing from the description shown to an operator.
RC_GTEST_PROP(configuration_changes, DifferentServicesGiveLines, ()) {
  const configuration Before = *test::validConfiguration();
  const configuration After = *test::validConfiguration();
  RC_ASSERT(describeChanges(Before, Before).empty());
  RC_ASSERT(describeChanges(Before, After).empty() == (Before.Services == After.Services));
}

// Guards against a line that names the wrong service, target, field or value.
TEST(configuration_changes, EachKindIsNamed) {
  const configuration Before = test::largeConfiguration(2);
  configuration After = Before;
  After.Services[0].Ports[0].Port = 444;
  After.Services[0].Targets[0].Slots = 4;
  After.Services[0].Targets[1].Name = "renamed";
  EXPECT_EQ(describeChanges(Before, After),
            (std::vector<std::string>{
                R"(service inventory: ports [{"class":"normal","port":443,"protocol":"tcp"}] -> )"
                R"([{"class":"normal","port":444,"protocol":"tcp"}])",
                "target inventory/target-0: slots 3 -> 4", "target inventory/target-1: removed",
                "target inventory/renamed: added, 10.0.0.2:6081"}));
  EXPECT_EQ(describeChanges({}, test::largeConfiguration(0)),
            std::vector<std::string>{"service inventory: added"});
  EXPECT_EQ(describeChanges(test::largeConfiguration(0), {}),
            std::vector<std::string>{"service inventory: removed"});
}

} // namespace
} // namespace briarpoint
