#ifndef BRIARPOINT_CORE_DATA_HANDOVER_H
#define BRIARPOINT_CORE_DATA_HANDOVER_H

#include "core/flow/flow_record.h"
#include "core/view/ownership_table.h"

#include <optional>
#include <span>

namespace briarpoint {

/// Why a balancer passes a packet to another one. The values are the Geneve option types.
enum class handover_kind : std::uint8_t {
  /// A forward packet on its way from the ingress to the first owner.
  ToOwner = 1,
  /// A forward packet whose record is looked for at other owners.
  Lookup = 2,
  /// A looked-up packet that nobody had a record for, on its way back to the first owner.
  NotFound = 3,
  /// A packet that carries a new or refreshed record along the owners.
  Replicate = 4,
  /// A reply of a target on its way to the owner of its flow.
  TargetReply = 5,
};

/// Where a replicated packet goes after the last owner.
enum class packet_direction : std::uint8_t { ToTarget = 0, ToCaller = 1 };

/// Members that a packet still has to visit: three other owners and four earlier ones.
using hop_list = std::array<member_id, 7>;

/// Header of a packet that one balancer passes to another. Fixed layout in network byte order; see
/// writeHandover.
struct handover {
  handover_kind Kind = handover_kind::ToOwner;
  packet_direction Direction = packet_direction::ToTarget;
  /// Hand-overs so far; a packet with more than MaxHandovers is dropped.
  std::uint8_t Hops = 0;
  /// Answer: the target that sent the reply.
  target_id Target{};
  /// The balancer that NotFound returns to and that repairs go to.
  member_id Origin{};
  /// Replicate: the record.
  flow_record Record;
  /// Replicate, Lookup and Answer: members still to visit, in order; NoMember in unused places.
  hop_list RemainingHops{};

  auto operator<=>(const handover &) const = default;
};

/// Hand-overs after which a packet is dropped: ingress, four owners and four earlier owners.
inline constexpr std::uint8_t MaxHandovers = 12;

/// Largest encoded option body in bytes.
inline constexpr std::size_t MaxHandoverSize = 124;

/// Writes the option body and returns its size. \p Body must have MaxHandoverSize bytes.
std::size_t writeHandover(const handover &Handover, std::span<std::byte> Body);

/// Parses an option body; \p OptionType is the Geneve option type. Returns nothing if it is
/// malformed.
std::optional<handover> parseHandover(std::uint8_t OptionType, std::span<const std::byte> Body);

} // namespace briarpoint

#endif // BRIARPOINT_CORE_DATA_HANDOVER_H
