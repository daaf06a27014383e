#ifndef BRIARPOINT_FORWARDER_FORWARDER_COUNTERS_H
#define BRIARPOINT_FORWARDER_FORWARDER_COUNTERS_H

#include "forward/forward_decision.h"
#include "store/revision_exchange_listener.h"

#include <array>
#include <cstdint>

namespace briarpoint {

/// Numbers of packets, refused objects and dropped log lines since the start.
struct forwarder_counters {
  std::uint64_t Received = 0;
  std::uint64_t Sent = 0;
  std::uint64_t Malformed = 0;
  /// Packets by forward_action and forward_reason.
  std::array<std::array<std::uint64_t, ForwardReasonCount>, ForwardActionCount> Decisions{};
  std::uint64_t RefusedRegistrations = 0;
  std::uint64_t RefusedConfigurations = 0;
  std::uint64_t RefusedRoutes = 0;
  std::uint64_t RefusedLimits = 0;
  std::uint64_t RefusedServices = 0;
  std::uint64_t RefusedSeeds = 0;
  std::uint64_t RefusedEvacuations = 0;
  /// Questions to readers of the store's revision, by revision_answer_outcome.
  std::array<std::uint64_t, RevisionAnswerOutcomeCount> Questions{};
  /// Questions of other forwarders.
  std::uint64_t AcceptedQuestions = 0;
  std::uint64_t DroppedQuestions = 0;
  std::uint64_t MalformedPeerMessages = 0;
  /// Log lines dropped because the reader of the standard output was too slow.
  std::uint64_t DroppedLogLines = 0;
};

} // namespace briarpoint

#endif // BRIARPOINT_FORWARDER_FORWARDER_COUNTERS_H
