#ifndef BRIARPOINT_CORE_DATA_DATA_PLANE_COUNTERS_H
#define BRIARPOINT_CORE_DATA_DATA_PLANE_COUNTERS_H

#include "config/request_class.h"
#include "core/data/drop_reason.h"

#include <array>

namespace briarpoint {

/// Counters since the process started, and current numbers of records.
struct data_plane_counters {
  std::uint64_t ForwardPackets = 0;
  std::uint64_t ReplyPackets = 0;
  std::uint64_t Handovers = 0;
  std::uint64_t FlowsOpened = 0;
  /// Flows ended because the target was dead.
  std::uint64_t FlowsReset = 0;
  /// Flows ended because the target was silent.
  std::uint64_t FlowsSilent = 0;
  std::array<std::uint64_t, RequestClassCount> Admitted{};
  std::array<std::uint64_t, RequestClassCount> Rejected{};
  std::array<std::uint64_t, DropReasonCount> Dropped{};
  /// Records sent by background transfer.
  std::uint64_t RecordsTransferred = 0;
  /// Records in the flow table, and those of which this balancer is first owner.
  std::uint64_t Records = 0;
  std::uint64_t OwnedRecords = 0;

  auto operator<=>(const data_plane_counters &) const = default;
};

} // namespace briarpoint

#endif // BRIARPOINT_CORE_DATA_DATA_PLANE_COUNTERS_H
