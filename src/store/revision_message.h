#ifndef BRIARPOINT_STORE_REVISION_MESSAGE_H
#define BRIARPOINT_STORE_REVISION_MESSAGE_H

#include "store/store_position.h"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace briarpoint {

/// First bytes of all datagrams between forwarders: "BR" and the version of the protocol.
inline constexpr std::uint64_t PeerProtocolIdentifier = 0x425201;
inline constexpr std::size_t PeerProtocolIdentifierSize = 3;

/// A datagram between forwarders: the question for the store's revision, or the answer to it.
struct revision_message {
  enum class type : std::uint8_t { Question = 1, Answer = 2 };

  type Type = type::Question;
  /// Random number of the question. The answer repeats it, so that neither an answer to an earlier
  /// question nor one of a third party is accepted.
  std::uint64_t Number = 0;
  /// In an answer, a revision that the store had after the question was received. 0 in a question,
  /// and if the sender couldn't read it.
  std::uint64_t Revision = 0;
  /// In an answer, the store's era. 0 in a question.
  std::uint64_t Era = 0;
  /// In an answer of an era above 0, the milliseconds since the sender saw that the store came
  /// back from an older copy; std::nullopt if that is long ago or the sender doesn't know of it.
  std::optional<std::uint32_t> SinceRiseMs = {};

  store_position position() const { return {Era, Revision}; }
  auto operator<=>(const revision_message &) const = default;
};

/// Size of a message in bytes, without the era, with it, and with the time since its rise, too.
inline constexpr std::size_t RevisionMessageSize = 20;
inline constexpr std::size_t RevisionMessageSizeWithEra = 28;
inline constexpr std::size_t RevisionMessageSizeWithRise = 32;

/// Returns the message as bytes: protocol identifier (3 bytes), type (1), number (8) and revision
/// (8), in network byte order, the era (8) unless it is 0, and the time since its rise (4) if there
/// is one. So processes that know no era understand the messages in era 0.
std::string writeRevisionMessage(const revision_message &Message);

/// Returns std::nullopt if the bytes are not a valid message.
std::optional<revision_message> parseRevisionMessage(std::string_view Bytes);

} // namespace briarpoint

#endif // BRIARPOINT_STORE_REVISION_MESSAGE_H
