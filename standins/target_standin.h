#ifndef BRIARPOINT_STANDINS_TARGET_STANDIN_H
#define BRIARPOINT_STANDINS_TARGET_STANDIN_H

#include "standins/segment.h"
#include "standins/target_counters.h"
#include "standins/target_settings.h"

#include <map>

namespace briarpoint {

/// A simulated target: a minimal TCP-shaped and UDP responder without sockets or clock. Each
/// request payload gets "VNI target-name request" as its response.
class target_standin {
public:
  target_standin(target_settings Settings, instant Start);

  /// Handles a Geneve packet. Returns the IP packets of the replies.
  std::vector<std::vector<std::byte>> handlePacket(std::span<const std::byte> Payload, instant Now);

  /// Returns the JSON body of GET /health, or an empty string to answer with an error.
  std::string health(instant Now);

  /// Applies the body of POST /faults.
  /// \throws findings_error if \p Json is malformed.
  void setFaults(std::string_view Json, instant Now);

  const target_faults &faults() const { return Settings.Faults; }
  const target_counters &counters() const { return Counters; }
  /// Number of open TCP connections and UDP flows.
  std::size_t openFlows() const { return Connections.size(); }
  /// JSON object with the counters.
  std::string countersJson() const;

private:
  /// Caller endpoint and service endpoint of a TCP connection or UDP flow.
  using connection_key = std::pair<endpoint, endpoint>;
  struct connection {
    segment_kind Kind = segment_kind::Tcp;
    /// Initial sequence number of the caller.
    std::uint32_t CallerInitial = 0;
    /// Next sequence numbers expected from the caller and sent by this target.
    std::uint32_t NextExpected = 0;
    std::uint32_t NextSequence = 0;
    /// Last response and its sequence number, sent again for a repeated request.
    std::string LastResponse;
    std::uint32_t LastSequence = 0;
    bool Closed = false;
    bool Silent = false;
  };

  std::vector<segment> handleSegment(const segment &Segment, instant Now);
  std::vector<segment> handleSyn(const segment &Segment, instant Now);
  std::vector<segment> handleTcp(const segment &Segment, instant Now);
  std::vector<segment> handleUdp(const segment &Segment, instant Now);
  std::vector<segment> handleData(const segment &Segment, connection &Connection, instant Now);
  bool acceptsNewFlows(instant Now) const;
  std::string respondTo(const std::string &Request, instant Now);
  std::string currentHealth(instant Now);

  target_settings Settings;
  instant Start;
  target_counters Counters;
  std::map<connection_key, connection> Connections;
  /// For each request in progress, when it frees its slot.
  std::vector<instant> BusyUntil;
  /// Health response used with the fault LaggingHealth.
  std::string FrozenHealth;
};

} // namespace briarpoint

#endif // BRIARPOINT_STANDINS_TARGET_STANDIN_H
