#ifndef BRIARPOINT_PEER_PEER_CODEC_H
#define BRIARPOINT_PEER_PEER_CODEC_H

#include "core/control/peer_message.h"

#include <string>
#include <string_view>

namespace briarpoint {

/// Encodes a message with msgpack. The first element is a format number that distinguishes later
/// versions.
std::string encodePeerMessage(const peer_message &Message);

/// \throws findings_error with what is malformed and where. Sizes are checked before memory is
/// allocated for them.
peer_message decodePeerMessage(std::string_view Bytes);

} // namespace briarpoint

#endif // BRIARPOINT_PEER_PEER_CODEC_H
