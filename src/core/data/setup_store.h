#ifndef BRIARPOINT_CORE_DATA_SETUP_STORE_H
#define BRIARPOINT_CORE_DATA_SETUP_STORE_H

#include "core/flow/flow_entry.h"

#include <algorithm>
#include <array>
#include <deque>
#include <span>
#include <vector>

namespace briarpoint {

/// First packet of a flow, kept until the target replies so that it can be sent to another target.
struct pending_setup {
  /// Maximum number of targets that a setup is sent to.
  static constexpr std::size_t MaxTargets = 4;
  /// In bytes. A SYN has at most 100 bytes (IPv6, 40 bytes of TCP options).
  static constexpr std::size_t MaxPacketSize = 128;

  flow_id Id;
  /// Unique for each deadline that is set; 0 while the element is free.
  std::uint64_t Generation = 0;
  std::array<std::uint32_t, MaxTargets> Targets{};
  std::uint8_t TargetCount = 0;
  /// Bytes used in Packet.
  std::uint16_t Size = 0;
  std::array<std::byte, MaxPacketSize> Packet{};

  /// Targets that the setup was sent to.
  std::span<const std::uint32_t> tried() const { return {Targets.data(), TargetCount}; }
  /// Empty if the packet was too large to keep.
  std::span<const std::byte> packet() const { return {Packet.data(), Size}; }
};

/// Bounded store of setups until the target's first reply or the setup timeout.
class setup_store {
public:
  setup_store(std::size_t MaxSetups, duration Timeout)
      : MaxSetups(std::min<std::size_t>(MaxSetups, NoSetup)), Timeout(Timeout) {}

  /// Returns the index of the new setup, or NoSetup if the store is full.
  std::uint16_t add(const flow_id &Id, std::uint32_t Target, std::span<const std::byte> Packet,
                    instant Now);

  pending_setup &operator[](std::uint16_t Index) { return Setups[Index]; }

  /// Records that the setup is sent to another target, and restarts its timeout. Returns false if
  /// it was sent to MaxTargets targets already.
  bool addTarget(std::uint16_t Index, std::uint32_t Target, instant Now);

  void release(std::uint16_t Index);

  /// Removes a setup whose deadline has passed and returns its index, or NoSetup if there is none.
  /// The setup's content is valid until the next add.
  std::uint16_t removeExpired(instant Now);

  void clear();

private:
  struct deadline {
    instant At{};
    std::uint16_t Index = 0;
    std::uint64_t Generation = 0;
  };

  std::size_t MaxSetups;
  duration Timeout;
  std::uint64_t NextGeneration = 1;
  std::vector<pending_setup> Setups;
  std::vector<std::uint16_t> FreeIndices;
  std::deque<deadline> Deadlines;
};

} // namespace briarpoint

#endif // BRIARPOINT_CORE_DATA_SETUP_STORE_H
