#ifndef BRIARPOINT_PEER_MESSAGE_LAYOUT_H
#define BRIARPOINT_PEER_MESSAGE_LAYOUT_H

#include <cstddef>
#include <cstdint>

namespace briarpoint::message_layout {

/// First element of each message.
inline constexpr std::uint64_t FormatNumber = 1;
/// Second element: the kind of message, in the order of peer_message.
enum class kind : std::uint64_t { Heartbeat, FullState, RecordBatch };

/// Largest encoded message in bytes. Senders keep datagrams below 1,200 bytes; the rest is a
/// margin.
inline constexpr std::size_t MaxMessageSize = 8192;
/// Largest string in bytes.
inline constexpr std::size_t MaxTextSize = 255;
/// Largest array, in elements, and deepest nesting of arrays.
inline constexpr std::size_t MaxElements = 64;
inline constexpr std::size_t MaxDepth = 4;

/// A list of fixed-width entries is encoded as one byte string. Sizes are in bytes; the summands
/// are the widths of an entry's fields, in order.
inline constexpr std::size_t IdWidth = 8;
/// target, reporter, sequence, health, slot use, connections.
inline constexpr std::size_t StatusSize = 8 + 8 + 8 + 1 + 1 + 4;
/// member, incarnation, accuser.
inline constexpr std::size_t SuspicionSize = 8 + 8 + 8;
/// flow id (two words), target, service, initial sequence, remaining seconds, revision, phase and
/// protocol.
inline constexpr std::size_t RecordSize = 8 + 8 + 8 + 3 + 4 + 4 + 2 + 1;
inline constexpr std::size_t ServiceWidth = 3;
/// Address and port.
inline constexpr std::size_t EndpointSizeV4 = 6;
inline constexpr std::size_t EndpointSizeV6 = 18;

/// Number of elements of each kind of array.
inline constexpr std::size_t MemberFields = 9;
inline constexpr std::size_t HeartbeatFields = 10;
inline constexpr std::size_t FullStateFields = 7;
inline constexpr std::size_t RecordBatchFields = 6;

} // namespace briarpoint::message_layout

#endif // BRIARPOINT_PEER_MESSAGE_LAYOUT_H
