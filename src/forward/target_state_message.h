#ifndef BRIARPOINT_FORWARD_TARGET_STATE_MESSAGE_H
#define BRIARPOINT_FORWARD_TARGET_STATE_MESSAGE_H

#include <compare>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace briarpoint {

/// A process of a target. A target that restarts under the same name keeps its number.
struct target_process {
  /// target_registration::Number.
  std::uint64_t Number = 0;
  /// target_registration::StartedMs.
  std::uint64_t StartedMs = 0;

  auto operator<=>(const target_process &) const = default;
};

/// A datagram between forwarders about dead and failing targets.
struct target_state_message {
  enum class type : std::uint8_t {
    /// Callers of the sender repeated packets to the targets and got no answer since. Value is the
    /// number of their flows. Without entries, the message only makes the sender a contact of the
    /// receiver.
    Unanswered = 5,
    /// Callers of the sender got answers from the targets. Value is the age of the last answer in
    /// milliseconds.
    Answered = 6,
    /// Requests at the targets failed. Value is their number since the previous message.
    Failures = 10,
    /// The targets fail in part.
    Failing = 11,
    /// The targets were found to answer nobody. Value is the time since then in milliseconds.
    /// (Type 9 was this without a time, and must not be used again.)
    Dead = 12,
  };
  struct entry {
    target_process Target;
    /// 0 unless the type gives it a meaning.
    std::uint16_t Value = 0;

    auto operator<=>(const entry &) const = default;
  };

  type Type = type::Unanswered;
  std::vector<entry> Entries;

  auto operator<=>(const target_state_message &) const = default;
};

/// Maximum number of entries in a message; it is then shorter than any MTU.
inline constexpr std::size_t MaxTargetStates = 64;
inline constexpr std::size_t MaxTargetStateMessageSize = 4 + 18 * MaxTargetStates;

/// Returns the message as bytes: protocol identifier (3 bytes), type (1) and entries of number (8),
/// process start (8) and, for the types that have one, value (2), in network byte order.
std::string writeTargetStateMessage(const target_state_message &Message);

/// Returns std::nullopt if the bytes are not a valid message.
std::optional<target_state_message> parseTargetStateMessage(std::string_view Bytes);

} // namespace briarpoint

#endif // BRIARPOINT_FORWARD_TARGET_STATE_MESSAGE_H
