#include "peer/peer_codec.h"

#include "base/findings_error.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <iterator>

namespace briarpoint {
namespace {

endpoint arbitraryEndpoint() {
  endpoint Endpoint;
  Endpoint.Address.IsV6 = *rc::gen::arbitrary<bool>();
  for (std::size_t I = 0; I < Endpoint.Address.size(); ++I)
    Endpoint.Address.Bytes[I] = *rc::gen::arbitrary<std::uint8_t>();
  Endpoint.Port = *rc::gen::arbitrary<std::uint16_t>();
  return Endpoint;
}

std::uint64_t arbitraryId() { return *rc::gen::inRange<std::uint64_t>(1, ~std::uint64_t{0}); }

std::string arbitraryText() {
  return *rc::gen::container<std::string>(*rc::gen::inRange(0, 40), rc::gen::arbitrary<char>());
}

member_info arbitraryMember() {
  member_info Member;
  Member.Id = member_id{arbitraryId()};
  Member.Name = arbitraryText();
  Member.DataCentre = arbitraryText();
  Member.Rack = arbitraryText();
  Member.Data = arbitraryEndpoint();
  Member.Control = arbitraryEndpoint();
  Member.Rpc = arbitraryEndpoint();
  Member.Incarnation = *rc::gen::arbitrary<std::uint64_t>();
  Member.State = static_cast<member_state>(*rc::gen::inRange(0, 4));
  return Member;
}

target_status arbitraryStatus() {
  return {target_id{arbitraryId()},
          member_id{arbitraryId()},
          *rc::gen::arbitrary<std::uint64_t>(),
          static_cast<target_health>(*rc::gen::inRange(0, 4)),
          *rc::gen::arbitrary<std::uint8_t>(),
          *rc::gen::arbitrary<std::uint32_t>()};
}

flow_record arbitraryRecord() {
  flow_record Record;
  Record.Id = {*rc::gen::arbitrary<std::uint64_t>(), *rc::gen::arbitrary<std::uint64_t>()};
  Record.Target = target_id{arbitraryId()};
  Record.Service = service_id{*rc::gen::inRange<std::uint32_t>(1, 1U << 24U)};
  Record.InitialSequence = *rc::gen::arbitrary<std::uint32_t>();
  Record.RemainingSeconds = *rc::gen::arbitrary<std::uint32_t>();
  Record.Revision = *rc::gen::arbitrary<std::uint16_t>();
  Record.Phase = static_cast<flow_phase>(*rc::gen::inRange(0, 3));
  Record.Protocol = *rc::gen::arbitrary<bool>() ? transport::Udp : transport::Tcp;
  return Record;
}

template <typename Make> auto arbitraryList(Make Element) {
  std::vector<decltype(Element())> Elements;
  std::generate_n(std::back_inserter(Elements), *rc::gen::inRange(0, 6), Element);
  return Elements;
}

peer_message arbitraryMessage() {
  switch (*rc::gen::inRange(0, 3)) {
  case 0: {
    heartbeat Message;
    Message.Sender = arbitraryMember();
    Message.Version = *rc::gen::arbitrary<std::uint64_t>();
    Message.WantsAnswer = *rc::gen::arbitrary<bool>();
    Message.MemberDigest = *rc::gen::arbitrary<std::uint64_t>();
    Message.StatusDigest = *rc::gen::arbitrary<std::uint64_t>();
    Message.Members = arbitraryList(arbitraryMember);
    Message.Statuses = arbitraryList(arbitraryStatus);
    Message.Suspects = arbitraryList([] {
      return member_suspicion{member_id{arbitraryId()}, *rc::gen::arbitrary<std::uint64_t>(),
                              member_id{arbitraryId()}};
    });
    return Message;
  }
  case 1:
    return full_state{member_id{arbitraryId()}, *rc::gen::arbitrary<std::uint64_t>(),
                      *rc::gen::arbitrary<bool>(), arbitraryList(arbitraryMember),
                      arbitraryList(arbitraryStatus)};
  default:
    return record_batch{member_id{arbitraryId()}, arbitraryList(arbitraryRecord),
                        *rc::gen::arbitrary<bool>(), *rc::gen::arbitrary<std::uint64_t>()};
  }
}

/// Returns the field paths of the findings, or "accepted".
std::vector<std::string> refusalPaths(const std::string &Bytes) {
  try {
    decodePeerMessage(Bytes);
    return {"accepted"};
  } catch (const findings_error &Error) {
    std::vector<std::string> Paths;
    for (const finding &Finding : Error.findings())
      Paths.push_back(Finding.Path);
    return Paths;
  }
}

// Guards against losing, truncating or swapping fields when encoding and decoding.
RC_GTEST_PROP(peer_codec, EachMessageIsDecodedAsEncoded, ()) {
  const peer_message Message = arbitraryMessage();
  RC_ASSERT(decodePeerMessage(encodePeerMessage(Message)) == Message);
}

// Guards against a crash or an unexpected type of exception on a malformed message.
RC_GTEST_PROP(peer_codec, MalformedMessageIsDecodedOrRefusedWithFindings, ()) {
  std::string Bytes = encodePeerMessage(arbitraryMessage());
  const int Changes = *rc::gen::inRange(1, 5);
  for (int I = 0; I < Changes; ++I)
    Bytes[*rc::gen::inRange<std::size_t>(0, Bytes.size())] = *rc::gen::arbitrary<char>();
  Bytes.resize(*rc::gen::inRange<std::size_t>(0, Bytes.size() + 1));
  try {
    decodePeerMessage(Bytes);
  } catch (const findings_error &Error) {
    RC_ASSERT(!Error.findings().empty());
  }
}

// Guards against flow records that use more control traffic than the design allows for.
TEST(peer_codec, FlowRecordTakesAtMost40Bytes) {
  record_batch Batch;
  Batch.Sender = member_id{1};
  const std::size_t Empty = encodePeerMessage(Batch).size();
  Batch.Records.assign(28, flow_record{{~0U, ~0U}, target_id{9}, service_id{1}});
  const std::size_t Full = encodePeerMessage(Batch).size();
  EXPECT_LE(Full - Empty, 28U * 40U);
  EXPECT_LE(Full, 1200U);
}

// Guards against findings that don't name the malformed field, or that report only the first one.
TEST(peer_codec, FindingsNameEachFaultyField) {
  const std::string Number(1, '\x01');
  const auto Batch = [](const std::string &Sender, const std::string &Records,
                        const std::string &Last) {
    return "\x96\x01\x02" + Sender + Records + Last + "\x05";
  };
  const std::string NoRecords("\xc4\x00", 2);
  std::string BadRecord("\xc4\x26", 2);
  BadRecord.append(37, '\0').append(1, '\x0f');
  const struct {
    const char *Name;
    std::string Bytes;
    std::vector<std::string> Paths;
  } Cases[] = {
      {"valid", Batch(Number, NoRecords, "\xc2"), {"accepted"}},
      {"empty", "", {"byte 0"}},
      {"cut off", "\x96\x01", {"byte 2"}},
      {"not an array", "\x01", {""}},
      {"other format", "\x92\x02\x01", {"format"}},
      {"other kind", "\x92\x01\x07", {"kind"}},
      {"too few elements", "\x92\x01\x02", {""}},
      {"trailing byte", Batch(Number, NoRecords, "\xc2") + "x", {"byte 8"}},
      {"three faults", Batch("\xa1x", "\xc4\x01x", "\x01"), {"sender", "records", "last"}},
      {"faults in a record",
       Batch(Number, BadRecord, "\xc2"),
       {"records[0].target", "records[0].phase"}},
      {"id 0", Batch(std::string(1, '\0'), NoRecords, "\xc2"), {"sender"}},
      {"huge array", std::string("\xdd\xff\xff\xff\xff", 5), {"byte 0"}},
      {"huge byte string",
       Batch(Number, std::string("\xc6\xff\xff\xff\xff", 5), "\xc2"),
       {"byte 9"}},
      {"deep nesting", std::string(100, '\x91'), {"byte 0"}},
      {"map", "\x81\x01\x01", {"byte 0"}},
      {"too long", std::string(9000, '\x01'), {"byte 8192"}},
  };
  for (const auto &Case : Cases) {
    SCOPED_TRACE(Case.Name);
    EXPECT_EQ(refusalPaths(Case.Bytes), Case.Paths);
  }
}

} // namespace
} // namespace briarpoint
