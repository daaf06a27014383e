#include "allocation_count.h"

#include <malloc.h>

#include <algorithm>
#include <atomic>
#include <cstdlib>
#include <new>

namespace {

std::atomic<std::size_t> Allocated = 0;
std::atomic<std::size_t> Peak = 0;

void release(void *Block) noexcept {
  Allocated -= malloc_usable_size(Block);
  std::free(Block);
}

} // namespace

void *operator new(std::size_t Size) {
  void *Block = std::malloc(std::max<std::size_t>(Size, 1));
  if (Block == nullptr)
    throw std::bad_alloc();
  Allocated += malloc_usable_size(Block);
  Peak = std::max(Peak.load(), Allocated.load());
  return Block;
}
void operator delete(void *Block) noexcept { release(Block); }
void operator delete(void *Block, std::size_t) noexcept { release(Block); }

namespace briarpoint {

allocation_count::allocation_count() : Before(Allocated) { Peak = Before; }

std::size_t allocation_count::peak() const { return Peak - Before; }
std::size_t allocation_count::held() const { return Allocated > Before ? Allocated - Before : 0; }

} // namespace briarpoint
