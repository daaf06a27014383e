#ifndef BRIARPOINT_CONFIG_MSGPACK_READER_H
#define BRIARPOINT_CONFIG_MSGPACK_READER_H

#include "config/document_value.h"

#include <string_view>

namespace briarpoint {

/// Reads a MessagePack value written by other programs, with the same tolerance as
/// readLenientJson(). Binary and extension values, and fields whose name isn't a string, are read
/// as null. \throws findings_error if the bytes are not exactly one complete value.
document_value readLenientMsgpack(std::string_view Bytes, const std::string &Source);

} // namespace briarpoint

#endif // BRIARPOINT_CONFIG_MSGPACK_READER_H
