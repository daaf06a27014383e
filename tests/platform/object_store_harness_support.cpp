#include "tests/platform/object_store_harness.h"

#include <gtest/gtest.h>

namespace briarpoint::test {

namespace {

/// Number of steps after which a call counts as unanswered.
constexpr int MaxSteps = 10'000;

} // namespace

void object_store_harness::await(const std::optional<object_result> &Result) {
  for (int I = 0; I < MaxSteps && !Result; ++I)
    step();
  ASSERT_TRUE(Result.has_value()) << "the call wasn't answered within " << MaxSteps << " steps";
}

object_result object_store_harness::get(const std::string &Key) {
  std::optional<object_result> Result;
  store().get(Key, [&](const object_result &Answer) { Result = Answer; });
  EXPECT_FALSE(Result.has_value()) << "answered from within the call";
  await(Result);
  return Result.value_or(object_result{});
}

object_result object_store_harness::put(const std::string &Key, object_version Expected,
                                        const std::string &Value) {
  std::optional<object_result> Result;
  store().put(Key, Expected, Value, [&](const object_result &Answer) { Result = Answer; });
  EXPECT_FALSE(Result.has_value()) << "answered from within the call";
  await(Result);
  return Result.value_or(object_result{});
}

std::pair<object_status, std::vector<instance_entry>> object_store_harness::listInstances() {
  std::optional<object_result> Result;
  std::vector<instance_entry> Entries;
  store().listInstances([&](object_status Status, const std::vector<instance_entry> &Answer) {
    Result = object_result{Status, 0, ""};
    Entries = Answer;
  });
  await(Result);
  return {Result.value_or(object_result{}).Status, Entries};
}

} // namespace briarpoint::test
