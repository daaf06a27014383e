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
  /// Returns the number of memory allocations when one target is added to \p Size targets.
  std::size_t allocationsOfOneMore(std::uint64_t Size) {
    target_registry Registry(makeSettings());
    fill(Registry, Size);
    return allocationsOf(Registry, registration("i-more", Size + 1));
  }

  /// Returns the number of memory allocations when one entry of \p Size targets is written again,
  /// by a process that started at \p StartedMs. That of the others is 0.
  std::size_t allocationsOfOneReturn(std::uint64_t Size, std::uint64_t StartedMs) {
    target_registry Registry(makeSettings());
    fill(Registry, Size);
    target_registration Returned = registration("i-1", 1);
    Returned.StartedMs = StartedMs;
    return allocationsOf(Registry, Returned);
  }

private:
  void fill(target_registry &Registry, std::uint64_t Size) {
    for (std::uint64_t Number = 1; Number <= Size; ++Number)
      Registry.put(registration("i-" + std::to_string(Number), Number), Now);
  }
  std::size_t allocationsOf(target_registry &Registry, const target_registration &Registration) {
    const std::size_t Before = Allocations;
    Registry.put(Registration, Now);
    return Allocations - Before;
  }
};

// Guards against balancers without processor time for packets while thousands of targets register
// one after the other: the index was rebuilt for each of them (seen with 300 balancers).
TEST_F(target_registry_cost, doesNotGrowWithTheNumberOfTargets) {
  EXPECT_LE(allocationsOfOneMore(3000), allocationsOfOneMore(30) + 4);
}

// Guards against the same after an outage of the store, in which entries lapsed, and when targets
// restart, which changes their places in the order that determines the owners of tokens.
TEST_F(target_registry_cost, doesNotGrowWhenEntriesReturn) {
  for (const std::uint64_t StartedMs : {0U, 1U})
    EXPECT_LE(allocationsOfOneReturn(3000, StartedMs), allocationsOfOneReturn(30, StartedMs) + 4);
}

} // namespace
} // namespace briarpoint
