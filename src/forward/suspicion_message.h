#ifndef BRIARPOINT_FORWARD_SUSPICION_MESSAGE_H
#define BRIARPOINT_FORWARD_SUSPICION_MESSAGE_H

#include <compare>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace briarpoint {

/// A datagram between forwarders about targets that don't answer.
struct suspicion_message {
  enum class type : std::uint8_t {
    /// The sender suspects the targets from its own flows.
    Report = 3,
    /// Several forwarders suspect the targets.
    Notice = 4,
  };

  type Type = type::Report;
  /// Numbers of the targets (target_registration::Number).
  std::vector<std::uint64_t> Targets;

  auto operator<=>(const suspicion_message &) const = default;
};

/// Maximum number of targets in a message; it is then shorter than any MTU.
inline constexpr std::size_t MaxSuspectedTargets = 100;
inline constexpr std::size_t MaxSuspicionMessageSize = 4 + 8 * MaxSuspectedTargets;

/// Returns the message as bytes: protocol identifier (3 bytes), type (1) and numbers (8 each), in
/// network byte order.
std::string writeSuspicionMessage(const suspicion_message &Message);

/// Returns std::nullopt if the bytes are not a valid message.
std::optional<suspicion_message> parseSuspicionMessage(std::string_view Bytes);

} // namespace briarpoint

#endif // BRIARPOINT_FORWARD_SUSPICION_MESSAGE_H
