#ifndef BRIARPOINT_MEASURE_FAKE_FLOW_H
#define BRIARPOINT_MEASURE_FAKE_FLOW_H

#include "base/instant.h"
#include "config/request_class.h"
#include "net/flow_key.h"

namespace briarpoint::measure {

/// State of a flow at its caller.
enum class flow_state : std::uint8_t { Free, Opening, Open, Closing };

/// A flow of a simulated caller. The caller's address contains the index of the flow.
struct fake_flow {
  flow_state State = flow_state::Free;
  transport Protocol = transport::Tcp;
  request_class Class = request_class::Normal;
  std::uint8_t Service = 0;
  /// Data centre whose balancers receive the packets of the flow, with scope data_centre.
  std::uint8_t HomeDataCentre = 0;
  bool IsLongLived = false;
  /// The caller waits for an answer of the target.
  bool WaitsForAnswer = false;
  /// The target has lost the connection and drops its packets.
  bool Silent = false;
  /// The target requested the caller to reconnect.
  bool ShouldClose = false;
  /// Plain hashing would have broken the flow.
  bool PlainBroken = false;
  /// Transmissions of the unanswered packet.
  std::uint8_t Sends = 0;
  /// Transmissions of the unanswered packet while a path to the target existed.
  std::uint8_t SendsWithPath = 0;
  std::uint16_t CallerPort = 0;
  /// Index of the target that accepted the flow, and of the one that plain hashing selects; -1 if
  /// none.
  std::int32_t AcceptingTarget = -1;
  std::int32_t PlainTarget = -1;
  std::uint32_t Sequence = 0;
  std::uint32_t Acknowledgement = 0;
  std::uint32_t RequestsLeft = 0;
  /// State at the target: the last request accepted, and whether its answer was sent.
  std::uint32_t ServedSequence = 0;
  bool IsAnswerSent = false;
  bool HasServedRequest = false;
  /// Whether the caller got at least one answer, and whether the flow counts in Offered and
  /// Delivered.
  bool HasAnswer = false;
  bool Counted = false;
  /// The flow counts in fake_target::PendingSetups.
  bool HoldsReservation = false;
  /// The target has seen the end of the flow.
  bool TargetClosed = false;
  /// Time of the current timer. Timers set before are ignored when they fire.
  instant TimerDueAt = Never;
  instant OpenedAt{};
  /// First transmission of the unanswered packet while a path to the target existed.
  instant StalledSince = Never;
  /// First transmission of the unanswered packet, and the time at which the silence criterion was
  /// met: at least 4 transmissions over at least 5 s.
  instant FirstSend{};
  instant SilenceCriterionAt = Never;
};

} // namespace briarpoint::measure

#endif // BRIARPOINT_MEASURE_FAKE_FLOW_H
