#ifndef BRIARPOINT_CORE_DATA_DATA_PLANE_H
#define BRIARPOINT_CORE_DATA_DATA_PLANE_H

#include "base/random_source.h"
#include "core/data/data_plane_counters.h"
#include "core/data/data_plane_listener.h"
#include "core/data/data_plane_settings.h"
#include "core/filter/admission_factory.h"
#include "core/view/forwarding_view.h"

#include <memory>
#include <span>

namespace briarpoint {

/// Decides for each packet whether and where it is sent, and owns the flow records. Not
/// thread-safe; all calls come from one task.
class data_plane {
public:
  /// \p Random and \p Listener must outlive the object. Without \p Admission every flow setup is
  /// admitted.
  data_plane(member_id Self, const data_plane_settings &Settings, random_source &Random,
             data_plane_listener &Listener, admission_factory Admission = {});
  ~data_plane();
  data_plane(const data_plane &) = delete;
  data_plane &operator=(const data_plane &) = delete;

  /// Replaces the view. Packets before the first view are dropped.
  void applyView(std::shared_ptr<const forwarding_view> View, instant Now);

  /// Handles an IP packet that the fabric delivered.
  void handleForward(std::span<const std::byte> Inner, instant Now);

  /// Same for several packets, in order. Faster than single calls, because the loads of the records
  /// from memory overlap.
  void handleForwardBatch(std::span<const std::span<const std::byte>> Packets, instant Now);

  /// Handles an IP packet that came from a target's tunnel endpoint.
  void handleReply(const target_view &Target, std::span<const std::byte> Inner, instant Now);

  /// Handles a packet that another balancer handed over.
  void handleHandover(const handover &Handover, std::span<const std::byte> Inner, instant Now);

  /// Stores records that another balancer sent.
  void handleRecords(std::span<const flow_record> Records, instant Now);

  /// Runs periodic work: expiry, setup timeouts, background transfer, reports. Call it at least
  /// every 100 ms.
  void tick(instant Now);

  /// Removes all records. Used after the process was paused.
  void reset(instant Now);

  data_plane_counters counters() const;

  /// Returns a copy of all records, for the state dump.
  std::vector<flow_record> records() const;

private:
  struct state;
  std::unique_ptr<state> State;
};

} // namespace briarpoint

#endif // BRIARPOINT_CORE_DATA_DATA_PLANE_H
