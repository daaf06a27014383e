#ifndef BRIARPOINT_CORE_FILTER_ADMISSION_FILTER_H
#define BRIARPOINT_CORE_FILTER_ADMISSION_FILTER_H

#include "core/data/packet_output.h"
#include "core/filter/admission_table.h"
#include "core/filter/packet_filter.h"

namespace briarpoint {

/// Applies admission control to flow setups and sends the caller an error if one is rejected.
class admission_filter final : public packet_filter {
public:
  /// The references must outlive the object.
  admission_filter(admission_table &Admission, packet_output &Output)
      : Admission(Admission), Output(Output) {}

  filter_result apply(packet_context &Context) override;

private:
  admission_table &Admission;
  packet_output &Output;
};

} // namespace briarpoint

#endif // BRIARPOINT_CORE_FILTER_ADMISSION_FILTER_H
