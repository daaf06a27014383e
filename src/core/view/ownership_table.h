#ifndef BRIARPOINT_CORE_VIEW_OWNERSHIP_TABLE_H
#define BRIARPOINT_CORE_VIEW_OWNERSHIP_TABLE_H

#include "core/view/member_view.h"
#include "net/flow_id.h"

#include <array>
#include <vector>

namespace briarpoint {

/// Number of ownership slots. Enough that 270 balancers own about equal shares (15 slots each as
/// first owner), few enough that a rebuild takes milliseconds.
inline constexpr std::uint32_t OwnershipSlotCount = 4096;

/// Copies of each flow record. Four copies survive three simultaneous failures.
inline constexpr std::size_t OwnerCount = 4;

/// Which balancers the owners of a flow are picked from.
enum class ownership_scope : std::uint8_t {
  /// Balancers of this data centre, for a fabric that sprays packets within a data centre.
  DataCentre,
  /// All balancers, for a fabric that sprays packets over all data centres.
  All,
};

/// Owners of a slot, first owner first; unused entries hold NoMember.
using owner_list = std::array<member_id, OwnerCount>;

/// Assigns each ownership slot an ordered list of owners by rendezvous hashing. Two tables built
/// from the same members are equal, so balancers with the same view agree on the owners without
/// exchanging messages.
class ownership_table {
public:
  /// A table without owners.
  ownership_table();

  /// Builds the table from the members that are in state Ready, or Ready and Joining if \p
  /// IncludeJoining. With scope DataCentre only members of \p DataCentre count, and owners are
  /// spread over racks where racks are known. With scope All the list holds the best member of each
  /// data centre first, then the next best ones.
  static ownership_table build(const std::vector<member_view> &Members, ownership_scope Scope,
                               const std::string &DataCentre, bool IncludeJoining);

  static std::uint32_t slotOf(const flow_id &Id) {
    return static_cast<std::uint32_t>(Id.High % OwnershipSlotCount);
  }

  const owner_list &owners(std::uint32_t Slot) const { return Slots[Slot]; }

  bool operator==(const ownership_table &) const = default;

private:
  std::vector<owner_list> Slots;
};

bool contains(const owner_list &Owners, member_id Member);

} // namespace briarpoint

#endif // BRIARPOINT_CORE_VIEW_OWNERSHIP_TABLE_H
