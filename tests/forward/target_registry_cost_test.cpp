#include "tests/forward/forward_support.h"

#include <cstdlib>
#include <new>

namespace {
std::size_t Allocations = 0;
} // namespace

void *operator new(std::size_t Size) {
  ++Allocations;
  if (void *Memory = std::malloc(Size))
    return Memory;
  throw std::bad_alloc();
}
void operator delete(void *Memory) noexcept { std::free(Memory); }
void operator delete(void *Memory, std::size_t) noexcept { std::free(Memory); }

namespace briarpoint {
namespace {

class target_registry_cost : public forwarding {
protected:
  /// Memory allocations that one further target costs a registry of \p Size targets.
  std::size_t allocationsOfOneMore(std::uint64_t Size) {
    target_registry Registry(makeSettings());
    for (std::uint64_t Number = 1; Number <= Size; ++Number)
      Registry.put(registration("i-" + std::to_string(Number), Number), Now);
    const target_registration More = registration("i-more", Size + 1);
    const std::size_t Before = Allocations;
    Registry.put(More, Now);
    return Allocations - Before;
  }
};

// Guards against balancers that have no processor time left for packets when thousands of targets
// register one after the other (sweep at 300 balancers): an index was made anew for each of them.
TEST_F(target_registry_cost, doesNotGrowWithTheNumberOfTargets) {
  EXPECT_LE(allocationsOfOneMore(3000), allocationsOfOneMore(30) + 4);
}

} // namespace
} // namespace briarpoint
