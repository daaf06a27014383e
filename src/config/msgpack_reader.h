#ifndef BRIARPOINT_CONFIG_MSGPACK_READER_H
#define BRIARPOINT_CONFIG_MSGPACK_READER_H

#include "config/document_parts.h"

#include <string_view>

namespace briarpoint {

/// Reads the parts of a MessagePack value that another program wrote, as readJsonParts() does.
/// Binary and extension values are read as null; fields whose name isn't a string are skipped.
/// \throws findings_error if the bytes are not exactly one complete value.
document_value readMsgpackParts(std::string_view Bytes, const std::string &Source,
                                const document_parts &Parts, element_receiver *Receiver = nullptr);

} // namespace briarpoint

#endif // BRIARPOINT_CONFIG_MSGPACK_READER_H
