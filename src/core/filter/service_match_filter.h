#ifndef BRIARPOINT_CORE_FILTER_SERVICE_MATCH_FILTER_H
#define BRIARPOINT_CORE_FILTER_SERVICE_MATCH_FILTER_H

#include "core/data/packet_output.h"
#include "core/data/service_matcher.h"
#include "core/filter/packet_filter.h"

namespace briarpoint {

/// Finds the service that listens on the packet's destination; drops the packet if there is none.
class service_match_filter final : public packet_filter {
public:
  /// The references must outlive the object.
  service_match_filter(service_matcher &Matcher, packet_output &Output)
      : Matcher(Matcher), Output(Output) {}

  filter_result apply(packet_context &Context) override;

private:
  service_matcher &Matcher;
  packet_output &Output;
};

} // namespace briarpoint

#endif // BRIARPOINT_CORE_FILTER_SERVICE_MATCH_FILTER_H
