#ifndef BRIARPOINT_NET_FLOW_ID_H
#define BRIARPOINT_NET_FLOW_ID_H

#include "net/flow_key.h"

#include <functional>

namespace briarpoint {

/// Keyed 128-bit hash of a flow's 5-tuple. With 26 million open flows the chance that any two
/// collide is below 2^-78.
struct flow_id {
  std::uint64_t High = 0;
  std::uint64_t Low = 0;

  auto operator<=>(const flow_id &) const = default;
};

/// Returns the id of a flow. \p Seed is the same on all balancers of a fabric. It is secret: with
/// it, a caller could choose tuples whose ids collide or that all map to one owner.
flow_id makeFlowId(const flow_key &Key, std::uint64_t Seed);

/// Returns the id of the flow with these parts of a key.
flow_id makeFlowId(const endpoint &Caller, const endpoint &Service, transport Protocol,
                   std::uint64_t Seed);

} // namespace briarpoint

template <> struct std::hash<briarpoint::flow_id> {
  std::size_t operator()(const briarpoint::flow_id &Id) const noexcept { return Id.Low; }
};

#endif // BRIARPOINT_NET_FLOW_ID_H
