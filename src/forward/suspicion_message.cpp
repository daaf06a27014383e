#include "forward/suspicion_message.h"

#include "base/byte_reader.h"
#include "base/byte_writer.h"
#include "store/revision_message.h"

namespace briarpoint {

namespace {

constexpr std::size_t NumberSize = 8;

} // namespace

std::string writeSuspicionMessage(const suspicion_message &Message) {
  byte_writer Writer;
  Writer.append(PeerProtocolIdentifier, PeerProtocolIdentifierSize);
  Writer.append(static_cast<std::uint64_t>(Message.Type), 1);
  for (const std::uint64_t Target : Message.Targets)
    Writer.append(Target, NumberSize);
  return Writer.bytes();
}

std::optional<suspicion_message> parseSuspicionMessage(std::string_view Bytes) {
  constexpr std::size_t HeaderSize = PeerProtocolIdentifierSize + 1;
  if (Bytes.size() <= HeaderSize || Bytes.size() > MaxSuspicionMessageSize ||
      (Bytes.size() - HeaderSize) % NumberSize != 0)
    return std::nullopt;
  byte_reader Reader(Bytes);
  if (Reader.read(PeerProtocolIdentifierSize) != PeerProtocolIdentifier)
    return std::nullopt;
  suspicion_message Message;
  Message.Type = static_cast<suspicion_message::type>(Reader.read(1));
  if (Message.Type != suspicion_message::type::Report &&
      Message.Type != suspicion_message::type::Notice)
    return std::nullopt;
  while (!Reader.rest().empty())
    Message.Targets.push_back(Reader.read(NumberSize));
  return Message;
}

} // namespace briarpoint
