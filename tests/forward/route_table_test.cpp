#include "forward/route_table.h"

#include "base/hash.h"

#include <gtest/gtest.h>

#include <map>

namespace briarpoint {
namespace {

constexpr ipv4_endpoint Address{1, 80};

routing_configuration version(std::uint64_t Number, std::vector<route_service> Services) {
  return {Number, {{"r", Address, 0, std::move(Services)}}, std::chrono::seconds(15)};
}

// Guards against an older version that arrives late and replaces the one in force.
TEST(route_table, neverGoesBackToAnOlderVersion) {
  route_table Routes;
  EXPECT_TRUE(Routes.apply(version(5, {{"new", 1}})));
  EXPECT_FALSE(Routes.apply(version(4, {{"old", 1}})));
  EXPECT_FALSE(Routes.apply(version(5, {{"other", 1}})));
  EXPECT_EQ(Routes.version(), 5U);
  EXPECT_EQ(Routes.find(Address)->Route.Services.front().Service, "new");
}

// Guards against a route that stays in use after a version without it.
TEST(route_table, removesARouteThatAVersionOmits) {
  route_table Routes;
  Routes.apply(version(1, {{"a", 1}}));
  Routes.apply({2, {}, std::chrono::seconds(15)});
  EXPECT_EQ(Routes.find(Address), nullptr);
}

// Guards against shares that don't match the weights, and against flows to services of weight 0.
TEST(route_table, choosesServicesByWeight) {
  route_table Routes;
  Routes.apply(version(1, {{"a", 90}, {"none", 0}, {"b", 10}}));
  std::map<std::string, int> Counts;
  constexpr int Flows = 10'000;
  for (std::uint64_t I = 0; I < Flows; ++I)
    ++Counts[*Routes.find(Address)->chooseService(mixHash(7, I))];
  EXPECT_EQ(Counts.count("none"), 0U);
  EXPECT_NEAR(Counts["a"], 0.9 * Flows, 0.01 * Flows);
}

// Guards against flows to a service of weight 0 when there is no other.
TEST(route_table, choosesNoServiceIfAllWeightsAreZero) {
  route_table Routes;
  Routes.apply(version(1, {{"a", 0}}));
  EXPECT_EQ(Routes.find(Address)->chooseService(~std::uint64_t{0}), nullptr);
  EXPECT_EQ(Routes.find(Address)->chooseService(0), nullptr);
}

// Guards against resets of flows that another balancer opened under a version that this one has
// missed, within the time that the next version may take to be in force there.
TEST(route_table, allowsFlowsThatABalancerOpensLaterUnderAMissedVersion) {
  using std::chrono::seconds;
  route_table Routes(seconds(60), seconds(3));
  const instant ListedAt{seconds(100)};
  Routes.onVersionsMissed(ListedAt);
  Routes.apply(version(2, {{"new", 1}}));
  const active_route &Route = *Routes.find(Address);
  EXPECT_TRUE(Routes.allowsFlow(Route, "missed", ListedAt + seconds(62)));
  EXPECT_FALSE(Routes.allowsFlow(Route, "missed", ListedAt + seconds(63)));
  EXPECT_TRUE(Routes.allowsFlow(Route, "new", ListedAt + seconds(63)));
}

} // namespace
} // namespace briarpoint
