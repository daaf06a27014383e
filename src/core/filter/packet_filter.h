#ifndef BRIARPOINT_CORE_FILTER_PACKET_FILTER_H
#define BRIARPOINT_CORE_FILTER_PACKET_FILTER_H

#include "core/filter/packet_context.h"

namespace briarpoint {

/// Result of a filter for a packet.
enum class filter_result : std::uint8_t {
  /// The next filter is applied.
  Continue,
  /// The packet was sent or dropped.
  Done,
};

/// A step of the filter chain that decides where a forward packet goes.
class packet_filter {
public:
  virtual ~packet_filter() = default;

  virtual filter_result apply(packet_context &Context) = 0;
};

} // namespace briarpoint

#endif // BRIARPOINT_CORE_FILTER_PACKET_FILTER_H
