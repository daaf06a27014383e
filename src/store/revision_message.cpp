#include "store/revision_message.h"

#include "base/byte_reader.h"
#include "base/byte_writer.h"

namespace briarpoint {

std::string writeRevisionMessage(const revision_message &Message) {
  byte_writer Writer;
  Writer.append(PeerProtocolIdentifier, PeerProtocolIdentifierSize);
  Writer.append(static_cast<std::uint64_t>(Message.Type), 1);
  Writer.append(Message.Number, sizeof(Message.Number));
  Writer.append(Message.Revision, sizeof(Message.Revision));
  if (Message.Era != 0) {
    Writer.append(Message.Era, sizeof(Message.Era));
    if (Message.SinceRiseMs)
      Writer.append(*Message.SinceRiseMs, sizeof(*Message.SinceRiseMs));
  }
  return Writer.bytes();
}

std::optional<revision_message> parseRevisionMessage(std::string_view Bytes) {
  const bool HasRise = Bytes.size() == RevisionMessageSizeWithRise;
  const bool HasEra = HasRise || Bytes.size() == RevisionMessageSizeWithEra;
  if (!HasEra && Bytes.size() != RevisionMessageSize)
    return std::nullopt;
  byte_reader Reader(Bytes);
  if (Reader.read(PeerProtocolIdentifierSize) != PeerProtocolIdentifier)
    return std::nullopt;
  const auto Type = static_cast<revision_message::type>(Reader.read(1));
  if (Type != revision_message::type::Question && Type != revision_message::type::Answer)
    return std::nullopt;
  revision_message Message{Type, Reader.read(sizeof(Message.Number)), 0};
  Message.Revision = Reader.read(sizeof(Message.Revision));
  if (HasEra)
    Message.Era = Reader.read(sizeof(Message.Era));
  if (HasRise)
    Message.SinceRiseMs = static_cast<std::uint32_t>(Reader.read(sizeof(std::uint32_t)));
  if (HasEra && Message.Era == 0)
    return std::nullopt;
  if (Type == revision_message::type::Question && (HasEra || Message.Revision != 0))
    return std::nullopt;
  return Message;
}

} // namespace briarpoint
