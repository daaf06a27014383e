#ifndef BRIARPOINT_TESTS_PLATFORM_ADAPTER_ALLOCATION_COUNT_H
#define BRIARPOINT_TESTS_PLATFORM_ADAPTER_ALLOCATION_COUNT_H

#include <cstddef>

namespace briarpoint {

/// Counts what this test program allocates by operator new. Use one object at a time.
class allocation_count {
public:
  allocation_count();

  /// Highest and present number of bytes allocated since the construction, less those that were
  /// allocated before.
  std::size_t peak() const;
  std::size_t held() const;

private:
  std::size_t Before;
};

} // namespace briarpoint

#endif // BRIARPOINT_TESTS_PLATFORM_ADAPTER_ALLOCATION_COUNT_H
