#ifndef BRIARPOINT_FORWARDER_STORE_CALL_LOG_H
#define BRIARPOINT_FORWARDER_STORE_CALL_LOG_H

#include "io/time_source.h"
#include "log/event_log.h"
#include "store/call_listener.h"

#include <string>
#include <string_view>

namespace briarpoint {

/// Logs the calls that the forwarder makes to the store for one kind of objects, and their
/// outcomes.
class store_call_log final : public call_listener {
public:
  /// \p Log and \p Clock must outlive the object.
  store_call_log(std::string Kind, event_log &Log, time_source &Clock)
      : Kind(std::move(Kind)), Log(Log), Clock(Clock) {}

  void onCallSent(const store_call &Call) override;
  void onCallEnded(const store_call &Call, call_outcome Outcome, std::uint64_t Revision,
                   std::size_t Objects) override;
  void onCallDropped(const store_call &Call) override;
  void onCheckEnded(const store_position &CheckedFrom, const watch_answer &Answer) override;

private:
  void logEnd(const store_call &Call, std::string_view Outcome, std::uint64_t Revision,
              std::size_t Objects);

  std::string Kind;
  event_log &Log;
  time_source &Clock;
};

} // namespace briarpoint

#endif // BRIARPOINT_FORWARDER_STORE_CALL_LOG_H
