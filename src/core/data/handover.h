#ifndef BRIARPOINT_CORE_DATA_HANDOVER_H
#define BRIARPOINT_CORE_DATA_HANDOVER_H

#include "core/flow/flow_record.h"
#include "core/view/ownership_table.h"

#include <optional>
#include <span>

namespace briarpoint {

/// Reason for which a balancer hands a packet over to another one. The values are the Geneve option
/// types.
enum class handover_kind : std::uint8_t {
  /// A forward packet on its way from the ingress to the first owner.
  ToOwner = 1,
  /// A forward packet whose record is looked up at other owners.
  Lookup = 2,
  /// A packet whose lookup found no record, on its way back to the balancer that started the
  /// lookup.
  NotFound = 3,
  /// A packet that carries a new or refreshed record from owner to owner.
  Replicate = 4,
  /// A reply of a target on its way to the owner of its flow.
  TargetReply = 5,
};

/// Destination of a replicated packet after the last owner.
enum class packet_direction : std::uint8_t { ToTarget = 0, ToCaller = 1 };

/// Members that a packet still has to visit: at most three other owners and four former ones.
using hop_list = std::array<member_id, 7>;

/// Header of a packet that one balancer hands over to another, encoded by writeHandover.
struct handover {
  handover_kind Kind = handover_kind::ToOwner;
  packet_direction Direction = packet_direction::ToTarget;
  /// Hand-overs so far; a packet with more than MaxHandovers is dropped.
  std::uint8_t Hops = 0;
  /// TargetReply: the target that sent the reply.
  target_id Target{};
  /// The balancer that NotFound returns to, and that corrected records are sent to.
  member_id Origin{};
  /// Replicate: the record.
  flow_record Record;
  /// Replicate, Lookup and TargetReply: members still to visit, in order; unused elements are
  /// NoMember.
  hop_list RemainingHops{};

  auto operator<=>(const handover &) const = default;
};

/// Maximum number of hand-overs of a packet; further ones drop it. Sufficient for a path over the
/// ingress, four owners and four former owners.
inline constexpr std::uint8_t MaxHandovers = 12;

/// Largest encoded option body in bytes.
inline constexpr std::size_t MaxHandoverSize = 124;

/// Writes the option body in network byte order and returns its size in bytes. \p Body must have
/// MaxHandoverSize bytes.
std::size_t writeHandover(const handover &Handover, std::span<std::byte> Body);

/// Parses an option body; \p OptionType is the Geneve option type. Returns nullopt if the body is
/// malformed.
std::optional<handover> parseHandover(std::uint8_t OptionType, std::span<const std::byte> Body);

} // namespace briarpoint

#endif // BRIARPOINT_CORE_DATA_HANDOVER_H
