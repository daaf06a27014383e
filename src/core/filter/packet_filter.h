#ifndef BRIARPOINT_CORE_FILTER_PACKET_FILTER_H
#define BRIARPOINT_CORE_FILTER_PACKET_FILTER_H

#include "core/filter/packet_context.h"

namespace briarpoint {

/// What a filter did with a packet.
enum class filter_result : std::uint8_t {
  /// The next filter goes on.
  Continue,
  /// The packet was sent or dropped.
  Done,
};

/// A step of the decision about a forward packet.
class packet_filter {
public:
  virtual ~packet_filter() = default;

  virtual filter_result apply(packet_context &Context) = 0;
};

} // namespace briarpoint

#endif // BRIARPOINT_CORE_FILTER_PACKET_FILTER_H
