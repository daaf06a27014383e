#ifndef BRIARPOINT_FORWARD_TARGET_H
#define BRIARPOINT_FORWARD_TARGET_H

#include "base/instant.h"
#include "forward/flow_token.h"
#include "forward/inferred_health.h"
#include "forward/response_time.h"
#include "forward/target_registration.h"

namespace briarpoint {

/// A target with its registration and what this balancer has observed of it. Owned by
/// target_registry.
struct target {
  target_registration Registration;
  flow_token Token = NoToken;
  /// Until then the target counts as draining, because the store came back from a copy that may be
  /// older than its announcement.
  instant DrainingUntil{};
  /// The target is in the balancer's own data centre.
  bool Local = false;
  /// A route names the target's service, or no route is known yet.
  bool ServiceNamed = true;
  /// False if another target has the same token and precedes this one: a flow assigned to this
  /// target could not be distinguished from a flow of the other one.
  bool OwnsToken = true;
  /// target_registry::releaseToken() gave the token to another target.
  bool TokenReleased = false;
  /// When the entry disappeared from the store; Never while the entry exists.
  instant RemovedAt = Never;
  /// Time from which a target whose entry disappeared counts as gone. Until then the entry may only
  /// have lapsed, which means that the target lives but couldn't renew it.
  instant GoneAt = Never;
  /// The entry disappeared together with most others, as happens when the store becomes available
  /// again after an outage. The target is probably alive.
  bool Lapsed = false;
  instant WarmUpEndsAt{};
  /// The data centre of the current entry is evacuated.
  bool Evacuated = false;
  /// Open flows that this balancer forwards.
  std::uint32_t OpenFlows = 0;
  inferred_health Health;
  /// When a caller of this balancer last received an answer.
  instant AnsweredAt{};
  /// Until then other balancers' observations count: several of them suspect the target.
  instant ReportedUntil{};
  /// Until then the target counts as dead: no balancer's caller gets an answer (message Dead).
  instant DeadUntil{};
  /// Until then this finding also ends flows, because what it goes by is recent.
  instant EndsFlowsUntil{};
  /// Until then the target counts as failing in part (message Failing).
  instant FailingUntil{};
  /// Failed requests since they were last reported.
  std::uint16_t Failures = 0;
  /// An answer sooner than this counts as a failed request; zero if answers can't tell.
  duration QuickAnswerTime = duration::zero();
  response_time ResponseTime;

  /// Other balancers suspect the target, and this one has seen no answer since.
  bool reported(instant Now) const { return Now < ReportedUntil; }
  /// A reader found the target dead, and this balancer has seen no answer since.
  bool foundDead(instant Now) const { return Now < DeadUntil; }
  /// The same, by observations so recent that they are also about flows whose callers send only
  /// now.
  bool foundDeadRecently(instant Now) const { return foundDead(Now) && Now < EndsFlowsUntil; }
  bool failing(instant Now) const { return Now < FailingUntil; }
  /// The target has announced its end.
  bool draining(instant Now) const { return Registration.Draining || Now < DrainingUntil; }
  /// Neither this balancer nor several others suspect the target. Only such targets count in the
  /// load: a request at a silent target isn't a sign of too little room, and its slots aren't room.
  bool working(instant Now) const { return !Health.suspected(Now) && !reported(Now); }
  bool removed() const { return RemovedAt != Never; }
  bool gone(instant Now) const { return Now >= GoneAt; }
  /// The target may be assigned new flows according to its entry and evacuations in the store.
  bool acceptsFlows(instant Now) const {
    return !draining(Now) && !Evacuated && OwnsToken && !gone(Now);
  }
};

} // namespace briarpoint

#endif // BRIARPOINT_FORWARD_TARGET_H
