#include "base/findings_error.h"
#include "config/configuration_parts.h"
#include "core/sync/object_store.h"
#include "tests/config/generators.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <iterator>
#include <set>
#include <stdexcept>

namespace briarpoint {
namespace {

/// Returns how many parts of \p After aren't among \p Before.
std::size_t countNew(const std::vector<std::string> &Before,
                     const std::vector<std::string> &After) {
  const std::set<std::string> Known(Before.begin(), Before.end());
  return std::count_if(After.begin(), After.end(),
                       [&](const std::string &Part) { return !Known.contains(Part); });
}

// Guards against targets that are lost at a cut, and against parts above the allowed size.
RC_GTEST_PROP(configuration_parts, SplitAndJoinRoundTrip, ()) {
  const configuration Configuration = *test::validConfiguration();
  const auto MaxPartSize = *rc::gen::inRange<std::size_t>(600, 4000);
  const std::vector<std::string> Parts = splitConfiguration(Configuration, MaxPartSize);
  for (const std::string &Part : Parts)
    RC_ASSERT(Part.size() <= MaxPartSize);
  RC_ASSERT(joinConfiguration(Configuration.Version, Parts) == Configuration);
}

// Guards against an empty configuration that can't be split or joined.
TEST(configuration_parts, EmptyConfigurationHasNoParts) {
  EXPECT_TRUE(splitConfiguration({}, 1000).empty());
  EXPECT_EQ(joinConfiguration(3, {}), (configuration{3, {}}));
}

// Guards against a part above the allowed size when one item alone exceeds it.
TEST(configuration_parts, AnItemAboveTheAllowedSizeIsRefused) {
  EXPECT_THROW(splitConfiguration(test::largeConfiguration(1), 100), std::length_error);
}

/// A configuration of 12,000 targets, the design size, in parts of at most 64 KB.
class parts_of_12000_targets : public testing::Test {
protected:
  static constexpr std::size_t MaxPartSize = 64'000;
  configuration Base = test::largeConfiguration(12'000);
  std::vector<std::string> Parts = splitConfiguration(Base, MaxPartSize);
  std::vector<target_config> &Targets = Base.Services[0].Targets;
};

// Guards against parts that depend on the position of targets. One change would then transfer the
// whole configuration to every balancer.
TEST_F(parts_of_12000_targets, OneChangedTargetChangesFewParts) {
  ASSERT_GE(Parts.size(), 60U);
  for (const std::size_t Index : {0U, 1U, 4711U, 6000U, 9999U, 11'999U}) {
    SCOPED_TRACE(Index);
    const target_config Saved = Targets[Index];

    Targets[Index].Intent = target_intent::Leaving;
    EXPECT_LE(countNew(Parts, splitConfiguration(Base, MaxPartSize)), 2U);
    Targets[Index] = Saved;

    Targets.erase(Targets.begin() + Index);
    EXPECT_LE(countNew(Parts, splitConfiguration(Base, MaxPartSize)), 4U);

    target_config Added = Saved;
    Added.Name = "added";
    Targets.insert(Targets.begin() + Index, {Saved, Added});
    EXPECT_LE(countNew(Parts, splitConfiguration(Base, MaxPartSize)), 4U);
    Targets.erase(Targets.begin() + Index + 1);
  }
}

// Guards against parts that the platform refuses because of their size.
TEST_F(parts_of_12000_targets, EveryPartIsBelowTheLimitOfThePlatform) {
  for (const std::string &Part : splitConfiguration(Base, MaxObjectSize))
    EXPECT_LE(Part.size(), MaxObjectSize);
}

// Guards against accepting parts from a peer that are damaged or in the wrong order.
TEST_F(parts_of_12000_targets, MalformedPartsAreReported) {
  struct row {
    const char *Name;
    std::vector<std::string> Parts;
    const char *Finding;
  };
  const auto From = [this](std::ptrdiff_t First) {
    return std::vector<std::string>(Parts.begin() + First, Parts.end());
  };
  std::vector<std::string> Twice = Parts;
  Twice.insert(Twice.begin() + 1, Parts[1]);
  std::vector<std::string> Cut = Parts;
  Cut[0].pop_back();
  const row Rows[] = {
      {"first part missing", From(1),
       "part[0].services[0].name: continues a service that the parts before don't end with"},
      {"truncated part", Cut, "JSON syntax error"},
      {"part twice", Twice, "is the same as"},
      {"empty text", {""}, "part[0]: JSON syntax error"},
      {"no object", {"[]"}, "part[0]: must be a table of fields"},
      {"no services", {"{}"}, "part[0].services: is missing"},
      {"unknown field", {R"({"services":[],"extra":1})"}, "part[0].extra: is not a known field"},
      {"services out of order",
       {R"({"services":[{"name":"b","id":1,"address":"192.0.2.1","ports":[{"port":1}]},
                        {"name":"a","id":2,"address":"192.0.2.1","ports":[{"port":2}]}]})"},
       "services: must be ordered by name"},
  };
  for (const row &Row : Rows) {
    SCOPED_TRACE(Row.Name);
    try {
      joinConfiguration(1, Row.Parts);
      ADD_FAILURE() << "no finding";
    } catch (const findings_error &Error) {
      EXPECT_NE(std::string(Error.what()).find(Row.Finding), std::string::npos) << Error.what();
    }
  }
}

} // namespace
} // namespace briarpoint
