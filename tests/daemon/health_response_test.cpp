#include "daemon/health_response.h"

#include <gtest/gtest.h>

namespace briarpoint {
namespace {

constexpr target_id Target{9};

// Guards against states and numbers that are lost or changed.
TEST(health_response, readsStateAndLoad) {
  struct row {
    const char *State;
    bool Draining;
    bool Shedding;
  };
  const row Rows[] = {
      {"active", false, false}, {"draining", true, false}, {"shedding", false, true}};
  for (const row &Row : Rows) {
    SCOPED_TRACE(Row.State);
    const auto Result = parseHealthResponse(
        Target, std::string(R"({"state":")") + Row.State +
                    R"(","slots":3,"slots_in_use":2,"connections":4300,"more":[1]})");
    ASSERT_TRUE(Result);
    const probe_result Expected{Target, true, Row.Draining, Row.Shedding, 3, 2, 4300};
    EXPECT_EQ(*Result, Expected);
  }
}

// Guards against a malformed response that is accepted or ends the process.
TEST(health_response, refusesMalformedOnes) {
  const std::string Faults[] = {
      "",
      "ok",
      "[]",
      "{}",
      "null",
      "\xff\xfe",
      std::string(4000, '['),
      R"({"state":"active","slots":3,"slots_in_use":2})",
      R"({"state":"active","slots":-3,"slots_in_use":2,"connections":1})",
      R"({"state":"active","slots":3,"slots_in_use":2,"connections":4294967296})",
      R"({"state":"active","slots":"3","slots_in_use":2,"connections":1})",
      R"({"state":"active","slots":3.5,"slots_in_use":2,"connections":1})",
      R"({"state":7,"slots":3,"slots_in_use":2,"connections":1})",
      R"({"state":"idle","slots":3,"slots_in_use":2,"connections":1})",
      R"({"slots":3,"slots_in_use":2,"connections":1})",
  };
  for (const std::string &Fault : Faults) {
    SCOPED_TRACE(Fault.substr(0, 60));
    EXPECT_FALSE(parseHealthResponse(Target, Fault));
  }
}

} // namespace
} // namespace briarpoint
