#ifndef BRIARPOINT_STANDINS_TCP_CALLER_FLOW_H
#define BRIARPOINT_STANDINS_TCP_CALLER_FLOW_H

#include "standins/caller_flow.h"

namespace briarpoint {

/// A TCP-shaped flow: SYN, requests and responses, FIN.
class tcp_caller_flow final : public caller_flow {
public:
  tcp_caller_flow(const caller_settings &Settings, std::uint32_t InitialSequence);

  void handle(const segment &Segment, instant Now) override;

private:
  enum class phase : std::uint8_t { Opening, Idle, Waiting, Closing };

  void sendNext(instant Now) override;
  void handleSynAck(const segment &Segment, instant Now);
  void handleResponse(const segment &Segment, instant Now);
  segment makeSegment(std::uint8_t Flags) const;

  phase Phase = phase::Opening;
  /// Next sequence numbers sent by the caller and expected from the target.
  std::uint32_t NextSequence;
  std::uint32_t NextExpected = 0;
};

} // namespace briarpoint

#endif // BRIARPOINT_STANDINS_TCP_CALLER_FLOW_H
