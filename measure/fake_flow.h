#ifndef BRIARPOINT_MEASURE_FAKE_FLOW_H
#define BRIARPOINT_MEASURE_FAKE_FLOW_H

#include "base/instant.h"
#include "config/request_class.h"
#include "net/flow_key.h"

namespace briarpoint::measure {

/// State of a flow at its caller.
enum class flow_state : std::uint8_t { Free, Opening, Open, Closing };

/// A flow of a fake caller. The index of the flow is part of the caller's address.
struct fake_flow {
  flow_state State = flow_state::Free;
  transport Protocol = transport::Tcp;
  request_class Class = request_class::Normal;
  std::uint8_t Service = 0;
  /// Data centre whose fabric the caller's packets enter, with scope data_centre.
  std::uint8_t HomeDataCentre = 0;
  bool IsLongLived = false;
  /// Waits for an answer of the target.
  bool WaitsForAnswer = false;
  /// The target lost the connection and drops its packets.
  bool Silent = false;
  /// The present target asked to reconnect.
  bool ShouldClose = false;
  /// Plain hashing would have broken it.
  bool PlainBroken = false;
  std::uint8_t Sends = 0;
  /// Sends of the unanswered packet whose path to the target existed.
  std::uint8_t SendsWithPath = 0;
  std::uint16_t CallerPort = 0;
  /// Index of the target that accepted the flow, or of the one plain hashing picks; -1 if none.
  std::int32_t AcceptingTarget = -1;
  std::int32_t PlainTarget = -1;
  std::uint32_t Sequence = 0;
  std::uint32_t Acknowledgement = 0;
  std::uint32_t RequestsLeft = 0;
  /// Target side: the request that was taken last, and whether it was answered.
  std::uint32_t ServedSequence = 0;
  bool IsAnswerSent = false;
  bool HasServedRequest = false;
  /// The caller got at least one answer; the flow counts in Offered and Delivered.
  bool HasAnswer = false;
  bool Counted = false;
  /// Occupies a place of its target's queue.
  bool HoldsReservation = false;
  /// The target has seen the end of the flow.
  bool TargetClosed = false;
  /// When the timer fires that counts; earlier ones are void.
  instant TimerDueAt = Never;
  instant OpenedAt{};
  /// First send with a path of the packet that isn't answered yet.
  instant StalledSince = Never;
  /// First send of the unanswered packet, and when the criterion of silence was met.
  instant FirstSend{};
  instant SilenceCriterionAt = Never;
};

} // namespace briarpoint::measure

#endif // BRIARPOINT_MEASURE_FAKE_FLOW_H
