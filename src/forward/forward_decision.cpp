#include "forward/forward_decision.h"

#include <array>

namespace briarpoint {

std::string_view toString(forward_reason Reason) {
  static constexpr std::array<std::string_view, ForwardReasonCount> Names{"placed",
                                                                          "placed_again",
                                                                          "open",
                                                                          "not_ready",
                                                                          "no_route",
                                                                          "no_target",
                                                                          "unknown_token",
                                                                          "other_service",
                                                                          "target_gone",
                                                                          "target_silent",
                                                                          "meaningless",
                                                                          "stale",
                                                                          "route_unconfirmed",
                                                                          "evacuations_unconfirmed",
                                                                          "warm_up_limit",
                                                                          "overload",
                                                                          "target_dead"};
  return Names.at(static_cast<std::size_t>(Reason));
}

std::string_view toString(forward_action Action) {
  static constexpr std::array<std::string_view, ForwardActionCount> Names{"forward", "reset",
                                                                          "drop", "postpone"};
  return Names.at(static_cast<std::size_t>(Action));
}

} // namespace briarpoint
