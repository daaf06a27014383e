#include "base/findings_error.h"
#include "config/patch.h"
#include "config/validate.h"
#include "tests/config/generators.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>

namespace briarpoint {
namespace {

// Guards against a patch that is applied in part, and against a result that is invalid or whose
// services aren't ordered by name.
RC_GTEST_PROP(patch_application, IsAllOrNothing, ()) {
  configuration Base = *test::validConfiguration();
  Base.Version %= 1000;
  const configuration Before = Base;
  const patch Patch{"p", Base.Version, *test::anyOperations()};
  try {
    const configuration After = applyPatch(Base, Patch);
    RC_TAG("accepted");
    RC_ASSERT(After.Version == Base.Version + 1);
    RC_ASSERT(validate(After).empty());
    RC_ASSERT(std::is_sorted(
        After.Services.begin(), After.Services.end(),
        [](const service_config &A, const service_config &B) { return A.Name < B.Name; }));
  } catch (const findings_error &Error) {
    RC_TAG("refused");
    RC_ASSERT(!Error.findings().empty());
  }
  RC_ASSERT(Base == Before);
}

/// A configuration with the service "inventory" of 3 targets, at version 7.
class patch_on_three_targets : public testing::Test {
protected:
  configuration Base = test::largeConfiguration(3);

  std::string findingsOf(const patch &Patch) const {
    try {
      applyPatch(Base, Patch);
    } catch (const findings_error &Error) {
      return Error.what();
    }
    return "";
  }
};

// Guards against an operation that changes other services or targets than it names.
TEST_F(patch_on_three_targets, EachOperationHasItsEffect) {
  target_config Replacement = Base.Services[0].Targets[1];
  Replacement.Slots = 9;
  target_config Added = Replacement;
  Added.Name = "added";
  Added.Tunnel.Port = 1;
  const configuration After =
      applyPatch(Base, {"p",
                        7,
                        {set_target_intent{"inventory", "target-0", target_intent::Leaving},
                         put_target{"inventory", Replacement}, put_target{"inventory", Added},
                         remove_target{"inventory", "target-2"}}});
  configuration Expected = Base;
  Expected.Version = 8;
  Expected.Services[0].Targets[0].Intent = target_intent::Leaving;
  Expected.Services[0].Targets[1] = Replacement;
  Expected.Services[0].Targets[2] = Added;
  EXPECT_EQ(After, Expected);
  EXPECT_TRUE(applyPatch(Base, {"p", 7, {remove_service{"inventory"}}}).Services.empty());
}

// Guards against an invalid patch that is applied, or refused without all of its findings.
TEST_F(patch_on_three_targets, RefusedPatchesAreReportedWithEveryFinding) {
  struct row {
    const char *Name;
    patch Patch;
    const char *Findings;
  };
  target_config SharedTunnel = Base.Services[0].Targets[0];
  SharedTunnel.Name = "other";
  const row Rows[] = {
      {"older version",
       {"p", 6, {}},
       "patch: base: the patch is against version 6, the current version is 7"},
      {"id that isn't a name",
       {"", 7, {}},
       "patch: id: must be a name of 1 to 64 characters of A-Z, a-z, 0-9, '.', '_' and '-'"},
      {"names that don't exist",
       {"p",
        7,
        {remove_service{"catalogue"}, remove_target{"inventory", "x"},
         set_target_intent{"inventory", "y", target_intent::Leaving},
         remove_target{"inventory", "target-0"}}},
       "patch: operations[0].service: no service is named \"catalogue\"\n"
       "patch: operations[1].target: service \"inventory\" has no target named \"x\"\n"
       "patch: operations[2].target: service \"inventory\" has no target named \"y\""},
      {"operations run in order",
       {"p", 7, {remove_service{"inventory"}, remove_target{"inventory", "target-0"}}},
       "patch: operations[1].service: no service is named \"inventory\""},
      {"result with a shared tunnel endpoint",
       {"p", 7, {put_target{"inventory", SharedTunnel}}},
       "configuration: services[0].targets[3].tunnel: is the same as "
       "services[0].targets[0].tunnel"},
  };
  for (const row &Row : Rows) {
    SCOPED_TRACE(Row.Name);
    EXPECT_EQ(findingsOf(Row.Patch), Row.Findings);
  }
}

} // namespace
} // namespace briarpoint
