#include "core/flow/flow_table.h"

#include <gtest/gtest.h>
#include <map>
#include <rapidcheck/gtest.h>

namespace briarpoint {
namespace {

/// Returns an id that starts at the same bucket as all ids with the same \p Tag.
flow_id idWithTag(std::uint64_t Number, std::uint32_t Tag) {
  return {Number, (Number << 32U) | Tag};
}

// Guards against entries that are lost or found twice after others of their probe sequence are
// erased. The table is compared with an ordered map. Few tags, at both ends of the buckets, give
// long probe sequences that wrap around.
RC_GTEST_PROP(flow_table, BehavesLikeAMap, ()) {
  flow_table Table(200);
  std::map<std::pair<std::uint64_t, std::uint64_t>, std::uint32_t> Model;
  const auto Steps =
      *rc::gen::container<std::vector<std::tuple<int, std::uint64_t, std::uint32_t>>>(
          rc::gen::tuple(rc::gen::inRange(0, 3), rc::gen::inRange<std::uint64_t>(0, 40),
                         rc::gen::element<std::uint32_t>(0, 1, 2, 1022, 1023)));
  std::uint32_t Sequence = 0;
  for (const auto &[Action, Number, Tag] : Steps) {
    const flow_id Id = idWithTag(Number, Tag);
    const std::pair ModelKey{Id.High, Id.Low};
    flow_entry *Entry = Table.find(Id);
    const auto Expected = Model.find(ModelKey);
    RC_ASSERT((Entry == nullptr) == (Expected == Model.end()));
    if (Entry != nullptr)
      RC_ASSERT(Entry->InitialSequence == Expected->second);
    if (Action == 0 && Entry != nullptr) {
      Table.erase(*Entry);
      Model.erase(Expected);
    } else if (Action != 0 && Entry == nullptr) {
      flow_entry *Added = Table.insert(Id);
      RC_ASSERT((Added == nullptr) == (Model.size() == 200));
      if (Added != nullptr) {
        Added->InitialSequence = ++Sequence;
        Model[ModelKey] = Sequence;
      }
    }
    RC_ASSERT(Table.size() == Model.size());
  }
  // Iteration by index visits each entry once.
  std::size_t Walked = 0;
  for (std::uint32_t I = 0; I < Table.indexEnd(); ++I) {
    if (const flow_entry *Entry = Table.at(I)) {
      ++Walked;
      RC_ASSERT(Model.contains({Entry->Id.High, Entry->Id.Low}));
    }
  }
  RC_ASSERT(Walked == Model.size());
}

// Guards against growth that loses entries or invalidates pointers to them.
TEST(flow_table, EntriesDoNotMoveWhenTheTableGrows) {
  constexpr std::uint64_t Count = 20000;
  flow_table Table(Count);
  std::vector<flow_entry *> Entries;
  for (std::uint64_t I = 0; I < Count; ++I)
    Entries.push_back(Table.insert({I, I * 0x9E3779B97F4A7C15U}));
  for (std::uint64_t I = 0; I < Count; ++I)
    ASSERT_EQ(Table.find({I, I * 0x9E3779B97F4A7C15U}), Entries[I]);
}

// Guards against a table that exceeds its configured size, and one that stays full after an entry
// is erased.
TEST(flow_table, FullTableRefusesUntilAnEntryIsErased) {
  flow_table Table(3);
  for (std::uint64_t I = 0; I < 3; ++I)
    ASSERT_NE(Table.insert({I, I}), nullptr);
  EXPECT_EQ(Table.insert({3, 3}), nullptr);
  Table.erase(*Table.find({1, 1}));
  EXPECT_NE(Table.insert({3, 3}), nullptr);
  EXPECT_EQ(Table.find({1, 1}), nullptr);
  EXPECT_EQ(Table.indexEnd(), 3U);
  Table.clear();
  EXPECT_EQ(Table.size(), 0U);
  EXPECT_EQ(Table.find({0, 0}), nullptr);
  EXPECT_NE(Table.insert({0, 0}), nullptr);
}

// Guards against a coarse deadline that is due early, late by more than its unit, or wrong where
// the value wraps around (2^52 ns after the epoch).
TEST(coarse_instant, DeadlinesHoldAcrossTheWrapAround) {
  constexpr duration Unit(1 << 20);
  for (const std::int64_t Base : {std::int64_t{0}, (std::int64_t{1} << 52) - 1'000'000'000}) {
    for (const duration Wait :
         {duration(std::chrono::milliseconds(5)), duration(std::chrono::seconds(60)),
          duration(std::chrono::hours(24))}) {
      const instant Now{duration(Base)};
      const coarse_instant Deadline(Now + Wait);
      EXPECT_FALSE(Deadline.isDue(Now));
      EXPECT_FALSE(Deadline.isDue(Now + Wait - 2 * Unit));
      EXPECT_TRUE(Deadline.isDue(Now + Wait));
      EXPECT_TRUE(Deadline.isDue(Now + Wait + std::chrono::hours(24)));
      EXPECT_LE(Deadline.durationFrom(Now), Wait + Unit);
      EXPECT_GE(Deadline.durationFrom(Now), Wait - Unit);
    }
  }
}

} // namespace
} // namespace briarpoint
