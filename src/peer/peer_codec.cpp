// The decoder. The encoder is in peer_encoder.cpp.
#include "peer/peer_codec.h"

#include "base/byte_reader.h"
#include "base/findings_error.h"
#include "peer/message_layout.h"

#include <msgpack.hpp>

#include <algorithm>

namespace briarpoint {

namespace {

using namespace message_layout;

/// Decodes the elements of an unpacked message and collects findings about malformed ones.
class message_decoder {
public:
  peer_message decode(const msgpack::object &Root);

  std::vector<finding> Findings;

private:
  void report(const std::string &Path, const std::string &Message) {
    Findings.push_back({"peer message", 0, 0, Path, Message});
  }
  const msgpack::object *array(const msgpack::object &Object, std::size_t Fields,
                               const std::string &Path);
  std::uint64_t unsignedNumber(const msgpack::object &Object, const std::string &Path,
                               std::uint64_t Max = ~std::uint64_t{0});
  std::uint64_t id(const msgpack::object &Object, const std::string &Path);
  bool flag(const msgpack::object &Object, const std::string &Path);
  std::string text(const msgpack::object &Object, const std::string &Path);
  std::string_view entries(const msgpack::object &Object, std::size_t Size,
                           const std::string &Path);
  endpoint endpointOf(const msgpack::object &Object, const std::string &Path);
  member_info member(const msgpack::object &Object, const std::string &Path);
  std::vector<member_info> members(const msgpack::object &Object, const std::string &Path);
  std::vector<target_status> statuses(const msgpack::object &Object, const std::string &Path);
  std::vector<member_suspicion> suspicions(const msgpack::object &Object, const std::string &Path);
  std::vector<flow_record> records(const msgpack::object &Object, const std::string &Path);
  std::uint64_t entryId(byte_reader &Reader, const std::string &Path, const char *Field);

  heartbeat heartbeatOf(const msgpack::object *Fields);
  full_state fullStateOf(const msgpack::object *Fields);
  record_batch recordBatchOf(const msgpack::object *Fields);
};

std::string indexed(const std::string &Path, std::size_t Index) {
  return Path + "[" + std::to_string(Index) + "]";
}

const msgpack::object *message_decoder::array(const msgpack::object &Object, std::size_t Fields,
                                              const std::string &Path) {
  if (Object.type == msgpack::type::ARRAY && Object.via.array.size == Fields)
    return Object.via.array.ptr;
  report(Path, "expected an array of " + std::to_string(Fields) + " elements");
  return nullptr;
}

std::uint64_t message_decoder::unsignedNumber(const msgpack::object &Object,
                                              const std::string &Path, std::uint64_t Max) {
  if (Object.type == msgpack::type::POSITIVE_INTEGER && Object.via.u64 <= Max)
    return Object.via.u64;
  report(Path, "expected a number from 0 to " + std::to_string(Max));
  return 0;
}

std::uint64_t message_decoder::id(const msgpack::object &Object, const std::string &Path) {
  const std::uint64_t Value = unsignedNumber(Object, Path);
  if (Value == 0 && Object.type == msgpack::type::POSITIVE_INTEGER)
    report(Path, "expected an id of at least 1, got 0");
  return Value;
}

bool message_decoder::flag(const msgpack::object &Object, const std::string &Path) {
  if (Object.type == msgpack::type::BOOLEAN)
    return Object.via.boolean;
  report(Path, "expected true or false");
  return false;
}

std::string message_decoder::text(const msgpack::object &Object, const std::string &Path) {
  if (Object.type == msgpack::type::STR)
    return {Object.via.str.ptr, Object.via.str.size};
  report(Path, "expected a string");
  return {};
}

std::string_view message_decoder::entries(const msgpack::object &Object, std::size_t Size,
                                          const std::string &Path) {
  if (Object.type == msgpack::type::BIN && Object.via.bin.size % Size == 0)
    return {Object.via.bin.ptr, Object.via.bin.size};
  report(Path, "expected a byte string of entries of " + std::to_string(Size) + " bytes");
  return {};
}

endpoint message_decoder::endpointOf(const msgpack::object &Object, const std::string &Path) {
  if (Object.type != msgpack::type::BIN ||
      (Object.via.bin.size != EndpointSizeV4 && Object.via.bin.size != EndpointSizeV6)) {
    report(Path, "expected a byte string of 6 or 18 bytes");
    return {};
  }
  byte_reader Reader({Object.via.bin.ptr, Object.via.bin.size});
  endpoint Endpoint;
  Endpoint.Address.IsV6 = Object.via.bin.size == EndpointSizeV6;
  for (std::size_t I = 0; I < Endpoint.Address.size(); ++I)
    Endpoint.Address.Bytes[I] = static_cast<std::uint8_t>(Reader.read(1));
  Endpoint.Port = static_cast<std::uint16_t>(Reader.read(2));
  return Endpoint;
}

member_info message_decoder::member(const msgpack::object &Object, const std::string &Path) {
  member_info Member;
  const msgpack::object *Fields = array(Object, MemberFields, Path);
  if (Fields == nullptr)
    return Member;
  Member.Id = member_id{id(Fields[0], Path + ".id")};
  Member.Name = text(Fields[1], Path + ".name");
  Member.DataCentre = text(Fields[2], Path + ".data_centre");
  Member.Rack = text(Fields[3], Path + ".rack");
  Member.Data = endpointOf(Fields[4], Path + ".data");
  Member.Control = endpointOf(Fields[5], Path + ".control");
  Member.Rpc = endpointOf(Fields[6], Path + ".rpc");
  Member.Incarnation = unsignedNumber(Fields[7], Path + ".incarnation");
  constexpr auto LastState = static_cast<std::uint64_t>(member_state::Dead);
  Member.State = static_cast<member_state>(unsignedNumber(Fields[8], Path + ".state", LastState));
  return Member;
}

std::vector<member_info> message_decoder::members(const msgpack::object &Object,
                                                  const std::string &Path) {
  std::vector<member_info> Members;
  if (Object.type != msgpack::type::ARRAY) {
    report(Path, "expected an array");
    return Members;
  }
  // The unpacker has already limited the number of elements.
  Members.reserve(Object.via.array.size);
  for (std::size_t I = 0; I < Object.via.array.size; ++I)
    Members.push_back(member(Object.via.array.ptr[I], indexed(Path, I)));
  return Members;
}

std::uint64_t message_decoder::entryId(byte_reader &Reader, const std::string &Path,
                                       const char *Field) {
  const std::uint64_t Value = Reader.read(IdWidth);
  if (Value == 0)
    report(Path + "." + Field, "expected an id of at least 1, got 0");
  return Value;
}

std::vector<target_status> message_decoder::statuses(const msgpack::object &Object,
                                                     const std::string &Path) {
  std::vector<target_status> Statuses;
  byte_reader Reader(entries(Object, StatusSize, Path));
  while (!Reader.rest().empty()) {
    const std::string EntryPath = indexed(Path, Statuses.size());
    target_status &Status = Statuses.emplace_back();
    Status.Target = target_id{entryId(Reader, EntryPath, "target")};
    Status.Reporter = member_id{entryId(Reader, EntryPath, "reporter")};
    Status.Sequence = Reader.read(8);
    const std::uint64_t Health = Reader.read(1);
    if (Health > static_cast<std::uint64_t>(target_health::Down))
      report(EntryPath + ".health", "unknown health " + std::to_string(Health));
    else
      Status.Health = static_cast<target_health>(Health);
    Status.SlotUse = static_cast<std::uint8_t>(Reader.read(1));
    Status.Connections = static_cast<std::uint32_t>(Reader.read(4));
  }
  return Statuses;
}

std::vector<member_suspicion> message_decoder::suspicions(const msgpack::object &Object,
                                                          const std::string &Path) {
  std::vector<member_suspicion> Suspicions;
  byte_reader Reader(entries(Object, SuspicionSize, Path));
  while (!Reader.rest().empty()) {
    const std::string EntryPath = indexed(Path, Suspicions.size());
    member_suspicion &Suspicion = Suspicions.emplace_back();
    Suspicion.Member = member_id{entryId(Reader, EntryPath, "member")};
    Suspicion.Incarnation = Reader.read(8);
    Suspicion.Accuser = member_id{entryId(Reader, EntryPath, "accuser")};
  }
  return Suspicions;
}

std::vector<flow_record> message_decoder::records(const msgpack::object &Object,
                                                  const std::string &Path) {
  std::vector<flow_record> Records;
  byte_reader Reader(entries(Object, RecordSize, Path));
  while (!Reader.rest().empty()) {
    const std::string EntryPath = indexed(Path, Records.size());
    flow_record &Record = Records.emplace_back();
    Record.Id.High = Reader.read(8);
    Record.Id.Low = Reader.read(8);
    Record.Target = target_id{entryId(Reader, EntryPath, "target")};
    Record.Service = service_id{static_cast<std::uint32_t>(Reader.read(ServiceWidth))};
    Record.InitialSequence = static_cast<std::uint32_t>(Reader.read(4));
    Record.RemainingSeconds = static_cast<std::uint32_t>(Reader.read(4));
    Record.Revision = static_cast<std::uint16_t>(Reader.read(2));
    const std::uint64_t Flags = Reader.read(1);
    const std::uint64_t Phase = Flags & 3U;
    if (Phase > static_cast<std::uint64_t>(flow_phase::Closed) || Flags > 7)
      report(EntryPath + ".phase", "unknown phase or protocol " + std::to_string(Flags));
    else
      Record.Phase = static_cast<flow_phase>(Phase);
    Record.Protocol = (Flags & 4U) != 0 ? transport::Udp : transport::Tcp;
  }
  return Records;
}

heartbeat message_decoder::heartbeatOf(const msgpack::object *Fields) {
  heartbeat Message;
  Message.Sender = member(Fields[2], "sender");
  Message.Version = unsignedNumber(Fields[3], "version");
  Message.WantsAnswer = flag(Fields[4], "wants_answer");
  Message.MemberDigest = unsignedNumber(Fields[5], "member_digest");
  Message.StatusDigest = unsignedNumber(Fields[6], "status_digest");
  Message.Members = members(Fields[7], "members");
  Message.Statuses = statuses(Fields[8], "statuses");
  Message.Suspects = suspicions(Fields[9], "suspects");
  return Message;
}

full_state message_decoder::fullStateOf(const msgpack::object *Fields) {
  full_state Message;
  Message.Sender = member_id{id(Fields[2], "sender")};
  Message.Version = unsignedNumber(Fields[3], "version");
  Message.WantsReply = flag(Fields[4], "wants_reply");
  Message.Members = members(Fields[5], "members");
  Message.Statuses = statuses(Fields[6], "statuses");
  return Message;
}

record_batch message_decoder::recordBatchOf(const msgpack::object *Fields) {
  record_batch Message;
  Message.Sender = member_id{id(Fields[2], "sender")};
  Message.Records = records(Fields[3], "records");
  Message.Last = flag(Fields[4], "last");
  Message.ReceiverIncarnation = unsignedNumber(Fields[5], "receiver_incarnation");
  return Message;
}

peer_message message_decoder::decode(const msgpack::object &Root) {
  if (Root.type != msgpack::type::ARRAY || Root.via.array.size < 2) {
    report("", "expected an array of format number, kind and content");
    return {};
  }
  const msgpack::object *Fields = Root.via.array.ptr;
  const std::uint64_t Format = unsignedNumber(Fields[0], "format");
  if (Findings.empty() && Format != FormatNumber)
    report("format", "unknown format " + std::to_string(Format));
  const std::uint64_t Kind =
      unsignedNumber(Fields[1], "kind", static_cast<std::uint64_t>(kind::RecordBatch));
  if (!Findings.empty())
    return {};
  constexpr std::size_t Sizes[] = {HeartbeatFields, FullStateFields, RecordBatchFields};
  if (array(Root, Sizes[Kind], "") == nullptr)
    return {};
  switch (static_cast<kind>(Kind)) {
  case kind::Heartbeat:
    return heartbeatOf(Fields);
  case kind::FullState:
    return fullStateOf(Fields);
  default:
    return recordBatchOf(Fields);
  }
}

[[noreturn]] void refuse(std::size_t Offset, const std::string &Message) {
  throw findings_error({{"peer message", 0, 0, "byte " + std::to_string(Offset), Message}});
}

} // namespace

peer_message decodePeerMessage(std::string_view Bytes) {
  if (Bytes.size() > MaxMessageSize)
    refuse(MaxMessageSize, "the message has " + std::to_string(Bytes.size()) +
                               " bytes, more than " + std::to_string(MaxMessageSize));
  const msgpack::unpack_limit Limit(MaxElements, 0, MaxTextSize, MaxMessageSize, 0, MaxDepth);
  std::size_t Offset = 0;
  msgpack::object_handle Handle;
  try {
    // Unpacked values may point into Bytes, because the decoder copies them.
    Handle = msgpack::unpack(
        Bytes.data(), Bytes.size(), Offset,
        [](msgpack::type::object_type, std::size_t, void *) { return true; }, nullptr, Limit);
  } catch (const msgpack::unpack_error &Error) {
    refuse(Offset, Error.what());
  }
  if (Offset != Bytes.size())
    refuse(Offset, std::to_string(Bytes.size() - Offset) + " bytes follow the message");
  message_decoder Decoder;
  peer_message Message = Decoder.decode(Handle.get());
  if (!Decoder.Findings.empty())
    throw findings_error(std::move(Decoder.Findings));
  return Message;
}

} // namespace briarpoint
