#ifndef BRIARPOINT_STANDINS_CALLER_FLOW_H
#define BRIARPOINT_STANDINS_CALLER_FLOW_H

#include "standins/caller_settings.h"
#include "standins/flow_outcome.h"
#include "standins/segment.h"

#include <optional>
#include <utility>

namespace briarpoint {

/// One flow of a simulated caller, without sockets or clock. Sends requests one after the other,
/// retransmits unanswered segments, and checks that each response matches its request.
class caller_flow {
public:
  virtual ~caller_flow() = default;

  /// Handles a packet for this flow.
  virtual void handle(const segment &Segment, instant Now) = 0;

  /// Sends the first packet, the next request or a retransmission if it is due.
  void tick(instant Now);

  /// Returns the segments to send and clears the queue.
  std::vector<segment> takeOutgoing() { return std::exchange(Outgoing, {}); }

  flow_outcome outcome() const { return Outcome; }
  /// Target that served the flow; empty before the first response.
  const std::string &target() const { return Target; }

protected:
  explicit caller_flow(caller_settings Settings) : Settings(std::move(Settings)) {}

  /// Sends the first packet, or the next one after the pause.
  virtual void sendNext(instant Now) = 0;

  /// Sends a segment and retransmits it until stopRetransmission() is called. Without that, the
  /// flow ends as Unanswered after ResponseTimeout.
  void sendReliably(const segment &Segment, instant Now);
  /// Stops retransmission after an answer; sendNext() is due at \p Next.
  void stopRetransmission(instant Next);
  /// Sets the outcome unless the flow has already ended.
  void finish(flow_outcome Result);

  std::string request() const { return Settings.Token + "/" + std::to_string(AnsweredRequests); }
  /// Checks a response against the current request and ends the flow if it doesn't match.
  void checkResponse(const std::string &Response);

  const caller_settings Settings;
  std::vector<segment> Outgoing;
  std::uint32_t AnsweredRequests = 0;

private:
  flow_outcome Outcome = flow_outcome::Running;
  std::string Target;
  /// Segment to retransmit.
  std::optional<segment> UnansweredSegment;
  instant NextSendAt{};
  instant ResponseDeadline = Never;
};

} // namespace briarpoint

#endif // BRIARPOINT_STANDINS_CALLER_FLOW_H
