#include "core/data/record_merge.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace briarpoint {
namespace {

constexpr auto Opening = flow_phase::Opening;
constexpr auto Established = flow_phase::Established;
constexpr auto Closed = flow_phase::Closed;

flow_record record(std::uint64_t Target, std::uint32_t Sequence, std::uint16_t Revision,
                   flow_phase Phase, std::uint32_t Remaining = 60) {
  return {{1, 2},    target_id{Target}, service_id{1}, Sequence,
          Remaining, Revision,          Phase,         transport::Tcp};
}

struct in_band_case {
  const char *Name;
  flow_record Held;
  flow_record Incoming;
  bool IsSetup;
  bool HeldTargetAccepts;
  merge_result Expected;
};

// Guards against two owners that send one flow to different targets.
TEST(record_merge, InBand) {
  const in_band_case Table[] = {
      {"same record again", record(1, 5, 1, Opening), record(1, 5, 1, Opening), true, true,
       merge_result::Replace},
      {"newer phase", record(1, 5, 1, Opening), record(1, 5, 2, Established), false, true,
       merge_result::Replace},
      {"late packet with an older phase", record(1, 5, 3, Closed), record(1, 5, 2, Established),
       false, true, merge_result::Keep},
      {"two owners chose different targets: the older wins", record(1, 5, 1, Opening),
       record(2, 5, 1, Opening), true, true, merge_result::Correct},
      {"the same, established meanwhile", record(1, 5, 2, Established), record(2, 5, 1, Opening),
       true, true, merge_result::Correct},
      {"the first owner changed the target", record(1, 5, 1, Opening), record(2, 5, 2, Opening),
       true, true, merge_result::Replace},
      {"revision wraps around", record(1, 5, 0xFFFF, Established), record(2, 5, 0, Opening), true,
       true, merge_result::Replace},
      {"new flow on the 5-tuple of a closed one", record(1, 5, 3, Closed), record(2, 6, 4, Opening),
       true, true, merge_result::Replace},
      {"new flow on the 5-tuple of one that never opened", record(1, 5, 1, Opening),
       record(2, 6, 2, Opening), true, true, merge_result::Replace},
      {"late duplicate SYN on an open flow", record(1, 5, 2, Established), record(2, 6, 1, Opening),
       true, true, merge_result::Correct},
      {"SYN on a flow whose target takes no new ones", record(1, 5, 2, Established),
       record(2, 6, 1, Opening), true, false, merge_result::Replace},
      {"late FIN of an earlier flow", record(1, 6, 1, Established), record(2, 5, 9, Closed), false,
       true, merge_result::Keep},
      {"refresh of a later flow", record(1, 5, 3, Closed), record(2, 6, 2, Established), false,
       true, merge_result::Replace},
  };
  for (const in_band_case &Case : Table) {
    SCOPED_TRACE(Case.Name);
    EXPECT_EQ(mergeInBand(Case.Held, Case.Incoming, Case.IsSetup, Case.HeldTargetAccepts),
              Case.Expected);
  }
}

rc::Gen<flow_record> arbitraryRecord() {
  return rc::gen::apply(
      [](std::uint64_t Target, std::uint32_t Sequence, std::uint16_t Revision, flow_phase Phase,
         std::uint32_t Remaining) { return record(Target, Sequence, Revision, Phase, Remaining); },
      rc::gen::inRange<std::uint64_t>(1, 4), rc::gen::inRange<std::uint32_t>(0, 3),
      rc::gen::inRange<std::uint16_t>(0, 3), rc::gen::element(Opening, Established, Closed),
      rc::gen::inRange<std::uint32_t>(1, 4));
}

flow_record merged(const flow_record &Held, const flow_record &Incoming) {
  return mergeRecord(Held, Incoming) == merge_result::Replace ? Incoming : Held;
}

// Guards against two balancers that still hold different records after exchanging them.
RC_GTEST_PROP(record_merge, OrderOfControlRecordsDoesNotMatter, ()) {
  const flow_record A = *arbitraryRecord();
  const flow_record B = *arbitraryRecord();
  RC_ASSERT(merged(A, B) == merged(B, A));
}

struct control_case {
  const char *Name;
  flow_record Held;
  flow_record Incoming;
  merge_result Expected;
};

// Guards against an old copy that overwrites a newer record.
TEST(record_merge, Control) {
  const control_case Table[] = {
      {"later revision", record(1, 5, 1, Opening), record(2, 5, 2, Opening), merge_result::Replace},
      {"earlier revision", record(1, 5, 2, Opening), record(2, 5, 1, Established),
       merge_result::Keep},
      {"open against closed of another flow", record(1, 5, 9, Closed, 50),
       record(2, 6, 1, Opening, 10), merge_result::Replace},
      {"closed against open of another flow", record(1, 6, 1, Established, 10),
       record(2, 5, 9, Closed, 50), merge_result::Keep},
      {"used later", record(1, 5, 1, Established, 10), record(2, 6, 1, Established, 11),
       merge_result::Replace},
      {"used earlier", record(1, 5, 1, Established, 11), record(2, 6, 1, Established, 10),
       merge_result::Keep},
  };
  for (const control_case &Case : Table) {
    SCOPED_TRACE(Case.Name);
    EXPECT_EQ(mergeRecord(Case.Held, Case.Incoming), Case.Expected);
  }
}

} // namespace
} // namespace briarpoint
