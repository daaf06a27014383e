#ifndef BRIARPOINT_STANDINS_UDP_CALLER_FLOW_H
#define BRIARPOINT_STANDINS_UDP_CALLER_FLOW_H

#include "standins/caller_flow.h"

namespace briarpoint {

/// A UDP flow: requests and responses.
class udp_caller_flow final : public caller_flow {
public:
  explicit udp_caller_flow(const caller_settings &Settings) : caller_flow(Settings) {}

  void handle(const segment &Segment, instant Now) override;

private:
  void sendNext(instant Now) override;
  bool isRepeated(const std::string &Response) const;
};

} // namespace briarpoint

#endif // BRIARPOINT_STANDINS_UDP_CALLER_FLOW_H
