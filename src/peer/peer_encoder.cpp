#include "base/byte_writer.h"
#include "peer/message_layout.h"
#include "peer/peer_codec.h"

#include <msgpack.hpp>

namespace briarpoint {

namespace {

using namespace message_layout;
using packer = msgpack::packer<msgpack::sbuffer>;

template <typename Id> std::uint64_t number(Id Value) { return static_cast<std::uint64_t>(Value); }

void packText(packer &Packer, const std::string &Text) {
  Packer.pack_str(static_cast<std::uint32_t>(Text.size()));
  Packer.pack_str_body(Text.data(), static_cast<std::uint32_t>(Text.size()));
}

void packBytes(packer &Packer, const std::string &Bytes) {
  Packer.pack_bin(static_cast<std::uint32_t>(Bytes.size()));
  Packer.pack_bin_body(Bytes.data(), static_cast<std::uint32_t>(Bytes.size()));
}

void packEndpoint(packer &Packer, const endpoint &Endpoint) {
  byte_writer Writer;
  for (std::size_t I = 0; I < Endpoint.Address.size(); ++I)
    Writer.append(Endpoint.Address.Bytes[I], 1);
  Writer.append(Endpoint.Port, 2);
  packBytes(Packer, Writer.bytes());
}

void packMember(packer &Packer, const member_info &Member) {
  Packer.pack_array(MemberFields);
  Packer.pack_fix_uint64(number(Member.Id));
  packText(Packer, Member.Name);
  packText(Packer, Member.DataCentre);
  packText(Packer, Member.Rack);
  packEndpoint(Packer, Member.Data);
  packEndpoint(Packer, Member.Control);
  packEndpoint(Packer, Member.Rpc);
  Packer.pack(Member.Incarnation);
  Packer.pack(number(Member.State));
}

void packMembers(packer &Packer, const std::vector<member_info> &Members) {
  Packer.pack_array(static_cast<std::uint32_t>(Members.size()));
  for (const member_info &Member : Members)
    packMember(Packer, Member);
}

void packStatuses(packer &Packer, const std::vector<target_status> &Statuses) {
  byte_writer Writer;
  for (const target_status &Status : Statuses) {
    Writer.append(number(Status.Target), IdWidth);
    Writer.append(number(Status.Reporter), IdWidth);
    Writer.append(Status.Sequence, 8);
    Writer.append(number(Status.Health), 1);
    Writer.append(Status.SlotUse, 1);
    Writer.append(Status.Connections, 4);
  }
  packBytes(Packer, Writer.bytes());
}

void packSuspicions(packer &Packer, const std::vector<member_suspicion> &Suspicions) {
  byte_writer Writer;
  for (const member_suspicion &Suspicion : Suspicions) {
    Writer.append(number(Suspicion.Member), IdWidth);
    Writer.append(Suspicion.Incarnation, 8);
    Writer.append(number(Suspicion.Accuser), IdWidth);
  }
  packBytes(Packer, Writer.bytes());
}

void packRecords(packer &Packer, const std::vector<flow_record> &Records) {
  byte_writer Writer;
  for (const flow_record &Record : Records) {
    Writer.append(Record.Id.High, 8);
    Writer.append(Record.Id.Low, 8);
    Writer.append(number(Record.Target), IdWidth);
    Writer.append(number(Record.Service), ServiceWidth);
    Writer.append(Record.InitialSequence, 4);
    Writer.append(Record.RemainingSeconds, 4);
    Writer.append(Record.Revision, 2);
    // The phase takes 2 bits, the protocol one.
    const std::uint64_t IsUdp = Record.Protocol == transport::Udp ? 1 : 0;
    Writer.append(number(Record.Phase) | IsUdp << 2U, 1);
  }
  packBytes(Packer, Writer.bytes());
}

struct message_encoder {
  packer &Packer;

  void begin(std::size_t Fields, kind Kind) const {
    Packer.pack_array(static_cast<std::uint32_t>(Fields));
    Packer.pack(FormatNumber);
    Packer.pack(number(Kind));
  }
  void operator()(const heartbeat &Message) const {
    begin(HeartbeatFields, kind::Heartbeat);
    packMember(Packer, Message.Sender);
    Packer.pack(Message.Version);
    Packer.pack(Message.WantsAnswer);
    Packer.pack_fix_uint64(Message.MemberDigest);
    Packer.pack_fix_uint64(Message.StatusDigest);
    packMembers(Packer, Message.Members);
    packStatuses(Packer, Message.Statuses);
    packSuspicions(Packer, Message.Suspects);
  }
  void operator()(const full_state &Message) const {
    begin(FullStateFields, kind::FullState);
    Packer.pack_fix_uint64(number(Message.Sender));
    Packer.pack(Message.Version);
    Packer.pack(Message.WantsReply);
    packMembers(Packer, Message.Members);
    packStatuses(Packer, Message.Statuses);
  }
  void operator()(const record_batch &Message) const {
    begin(RecordBatchFields, kind::RecordBatch);
    Packer.pack_fix_uint64(number(Message.Sender));
    packRecords(Packer, Message.Records);
    Packer.pack(Message.Last);
    Packer.pack(Message.ReceiverIncarnation);
  }
};

} // namespace

std::string encodePeerMessage(const peer_message &Message) {
  msgpack::sbuffer Buffer;
  packer Packer(Buffer);
  std::visit(message_encoder{Packer}, Message);
  return {Buffer.data(), Buffer.size()};
}

} // namespace briarpoint
