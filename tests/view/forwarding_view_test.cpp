#include "core/view/forwarding_view.h"

#include <gtest/gtest.h>

namespace briarpoint {
namespace {

// Guards against replies that are dropped because a kernel's Geneve interface chose the source
// port, and against replies that are attributed to a target that didn't send them.
TEST(reply_sources, AreFoundByAddressAndService) {
  const ip_address First = *parseIpAddress("10.0.0.1");
  const ip_address Shared = *parseIpAddress("10.0.0.2");
  forwarding_view_parts Parts;
  Parts.Targets = {{target_id{1}, service_id{7}, {First, 6081}, 1.0, true, false},
                   {target_id{2}, service_id{8}, {First, 6082}, 1.0, true, false},
                   {target_id{3}, service_id{7}, {Shared, 6081}, 1.0, true, false},
                   {target_id{4}, service_id{7}, {Shared, 6082}, 1.0, true, false}};
  const forwarding_view View(Parts);
  struct expectation {
    const char *Name;
    ip_address Address;
    std::uint32_t Service;
    std::uint64_t Target;
  };
  const expectation Table[] = {{"first service of a host", First, 7, 1},
                               {"second service of a host", First, 8, 2},
                               {"service that the host doesn't have", First, 9, 0},
                               {"two targets at one address", Shared, 7, 0},
                               {"unknown host", *parseIpAddress("10.0.0.3"), 7, 0}};
  for (const expectation &Expected : Table) {
    SCOPED_TRACE(Expected.Name);
    const target_view *Found =
        View.findTargetByAddress(Expected.Address, service_id{Expected.Service});
    EXPECT_EQ(Found == nullptr ? NoTarget : Found->Id, target_id{Expected.Target});
  }
}

} // namespace
} // namespace briarpoint
