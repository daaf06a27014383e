#ifndef BRIARPOINT_TESTS_FORWARD_FORWARD_SUPPORT_H
#define BRIARPOINT_TESTS_FORWARD_FORWARD_SUPPORT_H

#include "base/seeded_random.h"
#include "forward/packet_forwarder.h"

#include <gtest/gtest.h>

#include <string>
#include <unordered_map>
#include <vector>

namespace briarpoint {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Records all latencies.
struct recording_observer final : flow_observer {
  void onOpened(duration Latency) override { Opened.push_back(Latency); }
  void onAnswered(duration Latency) override { Answered.push_back(Latency); }
  std::vector<duration> Opened;
  std::vector<duration> Answered;
};

inline void expectDecision(const forward_decision &Decision, forward_action Action,
                           forward_reason Reason) {
  EXPECT_EQ(toString(Decision.Action), toString(Action));
  EXPECT_EQ(toString(Decision.Reason), toString(Reason));
}

/// A balancer in data centre "a" with one route to service "web" and no targets, and its clock.
class forwarding : public testing::Test {
protected:
  static constexpr ipv4_endpoint WebAddress{0xc6120001, 443};

  explicit forwarding(bool WatchesEvacuations = false)
      : Targets(makeSettings()), Forwarder({}, Routes, Targets, Random, Observer,
                                           {WatchesEvacuations ? &Evacuations : nullptr}) {
    Routes.apply({1, {{"web", WebAddress, 0, {{"web", 1}}}}, seconds(15)});
    Forwarder.setTargetsLoaded();
  }

  /// Returns an entry of a target. Each call returns a higher revision.
  target_registration registration(const std::string &Name, std::uint64_t Number) {
    target_registration Result;
    Result.Name = Name;
    Result.Number = Number;
    Result.Service = "web";
    Result.Address = {0x0a800000 + static_cast<std::uint32_t>(Number), 8080};
    Result.DataCentre = "a";
    Result.Slots = 2;
    Result.Revision = ++Revision;
    return Result;
  }
  /// Registers a target, or updates its entry.
  target &add(const std::string &Name, std::uint64_t Number) {
    Targets.put(registration(Name, Number), Now);
    return *Targets.find(Name);
  }

  /// Each port has a caller address of its own, except after useOneCallerAddress().
  flow_address flowFrom(std::uint16_t Port) const {
    return {{0x64400000U + (OneCallerAddress ? 0 : Port), Port}, WebAddress};
  }
  void useOneCallerAddress() { OneCallerAddress = true; }

  /// The caller opens a flow. \p Copies is the number of copies of the packet that it has sent
  /// before.
  forward_decision open(std::uint16_t Port, std::uint32_t Copies = 0) {
    caller_packet Packet;
    Packet.Flow = flowFrom(Port);
    Packet.Opens = true;
    Packet.Sequence = 1000U + Port;
    Packet.Acknowledged = Copies;
    return Forwarder.decide(Packet, Now);
  }

  /// The caller sends \p Size bytes of data on an open flow, after it has sent \p Sent and received
  /// \p Received bytes.
  forward_decision send(std::uint16_t Port, flow_token Token, std::uint32_t Received,
                        std::uint32_t Sent = 0, std::uint16_t Size = 100) {
    caller_packet Packet;
    Packet.Flow = flowFrom(Port);
    Packet.Sequence = 1001U + Port + Sent;
    Packet.Acknowledged = Received;
    Packet.Token = Token;
    Packet.DataSize = Size;
    return Forwarder.decide(Packet, Now);
  }

  /// Opens a flow whose target answers after 4 ms, and returns the target.
  target *openAnswered(std::uint16_t Port) {
    const forward_decision Opened = open(Port);
    Now += milliseconds(4);
    send(Port, Opened.Target->Token, 500, 0, 0);
    return Opened.Target;
  }

  /// Sweeps and returns the sorted ports of the flows that are reset. SweepReason is the reason of
  /// the last one.
  std::vector<std::uint16_t> sweep() {
    std::vector<std::uint16_t> Ports;
    Forwarder.sweep(Now,
                    [&](const flow_address &Flow, const tracked_flow &, forward_reason Reason) {
                      Ports.push_back(Flow.Caller.Port);
                      SweepReason = Reason;
                    });
    std::sort(Ports.begin(), Ports.end());
    return Ports;
  }

  static target_registry_settings makeSettings() {
    target_registry_settings Result;
    Result.DataCentre = "a";
    return Result;
  }

  forward_reason SweepReason = forward_reason::Placed;
  bool OneCallerAddress = false;
  instant Now{seconds(100)};
  std::uint64_t Revision = 0;
  seeded_random Random{20261204};
  recording_observer Observer;
  route_table Routes;
  target_registry Targets;
  evacuation_table Evacuations;
  packet_forwarder Forwarder;
};

/// Returns two target numbers with the same token.
inline std::pair<std::uint64_t, std::uint64_t> collidingNumbers() {
  std::unordered_map<std::uint32_t, std::uint64_t> Seen;
  for (std::uint64_t Number = 1;; ++Number) {
    const auto [Entry, New] =
        Seen.emplace(static_cast<std::uint32_t>(makeFlowToken(Number)), Number);
    if (!New)
      return {Entry->second, Number};
  }
}

class forwarding_to_one_target : public forwarding {
protected:
  target &First = add("i-1", 1);
};

} // namespace briarpoint

#endif // BRIARPOINT_TESTS_FORWARD_FORWARD_SUPPORT_H
