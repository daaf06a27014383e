#ifndef BRIARPOINT_CORE_FLOW_FLOW_PHASE_H
#define BRIARPOINT_CORE_FLOW_FLOW_PHASE_H

#include <cstdint>

namespace briarpoint {

/// Phase of a flow as recorded by its owners.
enum class flow_phase : std::uint8_t {
  /// The first packet was sent to the target; no reply has arrived.
  Opening,
  /// The target replied.
  Established,
  /// The caller sent FIN and may still receive: a long response can follow a half-closed request.
  CallerFinished,
  /// The target sent FIN and may still receive.
  TargetFinished,
  /// Both sides sent FIN, or one sent RST. The record is kept for ClosedFlowRetention, so that a
  /// new flow on the same 5-tuple keeps the target.
  Closed,
};

/// The side of a flow that sent a packet.
enum class flow_side : std::uint8_t { Caller, Target };

/// Returns the phase of a flow in phase \p Before after \p Side sent FIN.
constexpr flow_phase phaseAfterFin(flow_phase Before, flow_side Side) {
  const flow_phase Own =
      Side == flow_side::Caller ? flow_phase::CallerFinished : flow_phase::TargetFinished;
  const flow_phase Other =
      Side == flow_side::Caller ? flow_phase::TargetFinished : flow_phase::CallerFinished;
  return Before == Other || Before == flow_phase::Closed ? flow_phase::Closed : Own;
}

} // namespace briarpoint

#endif // BRIARPOINT_CORE_FLOW_FLOW_PHASE_H
