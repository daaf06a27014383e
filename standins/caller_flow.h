#ifndef BRIARPOINT_STANDINS_CALLER_FLOW_H
#define BRIARPOINT_STANDINS_CALLER_FLOW_H

#include "standins/caller_settings.h"
#include "standins/flow_outcome.h"
#include "standins/segment.h"

#include <optional>
#include <utility>

namespace briarpoint {

/// One flow of a simulated caller, without sockets or clock: sends requests one after the other,
/// retransmits, and checks that each response belongs to its own request.
class caller_flow {
public:
  virtual ~caller_flow() = default;

  /// Handles a packet for this flow.
  virtual void handle(const segment &Segment, instant Now) = 0;

  /// Sends what is due: the first packet, the next request, a retransmission.
  void tick(instant Now);

  /// Takes the segments to send.
  std::vector<segment> takeOutgoing() { return std::exchange(Outgoing, {}); }

  flow_outcome outcome() const { return Outcome; }
  /// Target that served the flow; empty before the first response.
  const std::string &target() const { return Target; }

protected:
  explicit caller_flow(caller_settings Settings) : Settings(std::move(Settings)) {}

  /// Sends the first packet, or the next one after a pause.
  virtual void sendNext(instant Now) = 0;

  /// Sends a segment now and again until settle().
  void sendReliably(const segment &Segment, instant Now);
  /// The segment of sendReliably() was answered; the next one is due at \p Next.
  void settle(instant Next);
  void finish(flow_outcome Result);

  std::string request() const { return Settings.Token + "/" + std::to_string(Answered); }
  /// Compares a response with the request and ends the flow if it is wrong.
  void checkResponse(const std::string &Response);

  const caller_settings Settings;
  std::vector<segment> Outgoing;
  std::uint32_t Answered = 0;

private:
  flow_outcome Outcome = flow_outcome::Running;
  std::string Target;
  std::optional<segment> Unanswered;
  instant NextSend{};
  instant GiveUp = Never;
};

} // namespace briarpoint

#endif // BRIARPOINT_STANDINS_CALLER_FLOW_H
