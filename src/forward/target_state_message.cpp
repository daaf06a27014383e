#include "forward/target_state_message.h"

#include "base/byte_reader.h"
#include "base/byte_writer.h"
#include "store/revision_message.h"

namespace briarpoint {

namespace {

constexpr std::size_t HeaderSize = PeerProtocolIdentifierSize + 1;
constexpr std::size_t NumberSize = 8;
constexpr std::size_t ValueSize = 2;

bool hasValue(target_state_message::type Type) {
  return Type == target_state_message::type::Unanswered ||
         Type == target_state_message::type::Answered ||
         Type == target_state_message::type::Failures || Type == target_state_message::type::Dead;
}

bool isKnown(target_state_message::type Type) {
  switch (Type) {
  case target_state_message::type::Unanswered:
  case target_state_message::type::Answered:
  case target_state_message::type::Dead:
  case target_state_message::type::Failures:
  case target_state_message::type::Failing:
    return true;
  }
  return false;
}

std::size_t entrySize(target_state_message::type Type) {
  return 2 * NumberSize + (hasValue(Type) ? ValueSize : 0);
}

} // namespace

std::string writeTargetStateMessage(const target_state_message &Message) {
  byte_writer Writer;
  Writer.append(PeerProtocolIdentifier, PeerProtocolIdentifierSize);
  Writer.append(static_cast<std::uint64_t>(Message.Type), 1);
  for (const target_state_message::entry &Entry : Message.Entries) {
    Writer.append(Entry.Target.Number, NumberSize);
    Writer.append(Entry.Target.StartedMs, NumberSize);
    if (hasValue(Message.Type))
      Writer.append(Entry.Value, ValueSize);
  }
  return Writer.bytes();
}

std::optional<target_state_message> parseTargetStateMessage(std::string_view Bytes) {
  if (Bytes.size() < HeaderSize)
    return std::nullopt;
  byte_reader Reader(Bytes);
  if (Reader.read(PeerProtocolIdentifierSize) != PeerProtocolIdentifier)
    return std::nullopt;
  target_state_message Message;
  Message.Type = static_cast<target_state_message::type>(Reader.read(1));
  if (!isKnown(Message.Type))
    return std::nullopt;
  const std::size_t Size = entrySize(Message.Type);
  const std::size_t Count = Reader.rest().size() / Size;
  if (Reader.rest().size() % Size != 0 || Count > MaxTargetStates ||
      (Count == 0 && Message.Type != target_state_message::type::Unanswered))
    return std::nullopt;
  while (!Reader.rest().empty()) {
    target_state_message::entry Entry;
    Entry.Target.Number = Reader.read(NumberSize);
    Entry.Target.StartedMs = Reader.read(NumberSize);
    if (hasValue(Message.Type))
      Entry.Value = static_cast<std::uint16_t>(Reader.read(ValueSize));
    Message.Entries.push_back(Entry);
  }
  return Message;
}

} // namespace briarpoint
