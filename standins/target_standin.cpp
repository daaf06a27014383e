#include "standins/target_standin.h"

#include "net/geneve.h"

#include <nlohmann/json.hpp>

#include <vector>

namespace briarpoint {

namespace {

/// Time for which a request counts as using a slot. Responses are sent immediately.
constexpr duration RequestDuration = std::chrono::milliseconds(50);

/// Returns an empty TCP segment that answers \p Segment.
segment replyTo(const segment &Segment, std::uint8_t Flags, std::uint32_t Sequence,
                std::uint32_t Acknowledgement) {
  segment Reply;
  Reply.Kind = Segment.Kind;
  Reply.Source = Segment.Destination;
  Reply.Destination = Segment.Source;
  Reply.Flags = Flags;
  Reply.Sequence = Sequence;
  Reply.Acknowledgement = Acknowledgement;
  return Reply;
}

std::uint32_t sequenceEnd(const segment &Segment) {
  const std::uint32_t Control = (Segment.has(TcpSyn) ? 1U : 0U) + (Segment.has(TcpFin) ? 1U : 0U);
  return Segment.Sequence + static_cast<std::uint32_t>(Segment.Payload.size()) + Control;
}

/// The RST that RFC 9293 section 3.10.7.1 prescribes for a segment of an unknown connection.
segment resetFor(const segment &Segment) {
  if (Segment.has(TcpAck))
    return replyTo(Segment, TcpRst, Segment.Acknowledgement, 0);
  return replyTo(Segment, TcpRst | TcpAck, 0, sequenceEnd(Segment));
}

} // namespace

target_standin::target_standin(target_settings AllSettings, instant Start)
    : Settings(std::move(AllSettings)), Start(Start) {
  FrozenHealth = currentHealth(Start);
}

std::vector<std::vector<std::byte>> target_standin::handlePacket(std::span<const std::byte> Payload,
                                                                 instant Now) {
  ++Counters.Packets;
  const std::optional<geneve_view> Outer = parseGeneve(Payload);
  if (!Outer) {
    ++Counters.Malformed;
    return {};
  }
  if (Outer->Vni != Settings.Vni) {
    ++Counters.WrongVni;
    return {};
  }
  const std::optional<segment> Segment = parseSegment(Outer->Inner);
  if (!Segment) {
    ++Counters.Malformed;
    return {};
  }
  std::vector<std::vector<std::byte>> Packets;
  for (const segment &Reply : handleSegment(*Segment, Now))
    Packets.push_back(encodeSegment(Reply));
  return Packets;
}

std::vector<segment> target_standin::handleSegment(const segment &Segment, instant Now) {
  switch (Segment.Kind) {
  case segment_kind::Udp:
    return handleUdp(Segment, Now);
  case segment_kind::Tcp:
    return Segment.has(TcpSyn) ? handleSyn(Segment, Now) : handleTcp(Segment, Now);
  case segment_kind::Icmp:
    break;
  }
  return {};
}

bool target_standin::acceptsNewFlows(instant Now) const {
  return !Settings.Faults.Shedding && Now >= Start + Settings.Faults.ColdStart;
}

std::vector<segment> target_standin::handleSyn(const segment &Segment, instant Now) {
  const connection_key Key{Segment.Source, Segment.Destination};
  const auto Found = Connections.find(Key);
  const bool Repeated = Found != Connections.end() && !Found->second.Closed &&
                        Found->second.CallerInitial == Segment.Sequence;
  if (!Repeated && !acceptsNewFlows(Now)) {
    ++Counters.FlowsRefused;
    return {resetFor(Segment)};
  }
  if (!Repeated) {
    ++Counters.FlowsOpened;
    connection New;
    New.CallerInitial = Segment.Sequence;
    New.NextExpected = Segment.Sequence + 1;
    // Any initial sequence number that differs from the caller's works.
    New.NextSequence = Segment.Sequence * 2654435761U + 1;
    Connections[Key] = New;
  }
  const connection &Connection = Connections[Key];
  const std::uint32_t Initial = Repeated ? Connection.NextSequence - 1 : Connection.NextSequence;
  if (!Repeated)
    ++Connections[Key].NextSequence;
  return {replyTo(Segment, TcpSyn | TcpAck, Initial, Connection.NextExpected)};
}

std::vector<segment> target_standin::handleTcp(const segment &Segment, instant Now) {
  const auto Found = Connections.find({Segment.Source, Segment.Destination});
  if (Found == Connections.end() || Found->second.Kind != segment_kind::Tcp) {
    ++Counters.UnknownFlow;
    return Segment.has(TcpRst) ? std::vector<segment>{} : std::vector{resetFor(Segment)};
  }
  connection &Connection = Found->second;
  if (Segment.has(TcpRst)) {
    Connections.erase(Found);
    return {};
  }
  if (Connection.Silent)
    return {};
  // The caller's last acknowledgement of a closed connection.
  if (Connection.Closed && Segment.Sequence == Connection.NextExpected) {
    Connections.erase(Found);
    return {};
  }
  return handleData(Segment, Connection, Now);
}

std::vector<segment> target_standin::handleData(const segment &Segment, connection &Connection,
                                                instant Now) {
  const std::uint32_t Length = static_cast<std::uint32_t>(Segment.Payload.size());
  std::vector<segment> Replies;
  if (Segment.Sequence != Connection.NextExpected) {
    // A repeated segment: acknowledge it again with the last response, which may have been lost.
    if (Length == 0 && !Segment.has(TcpFin))
      return {};
    segment Reply = replyTo(Segment, TcpAck, Connection.LastSequence, Connection.NextExpected);
    Reply.Payload = Connection.LastResponse;
    if (Connection.Closed)
      Reply =
          replyTo(Segment, TcpFin | TcpAck, Connection.NextSequence - 1, Connection.NextExpected);
    return {Reply};
  }
  if (Length > 0) {
    Connection.NextExpected += Length;
    Connection.LastResponse = respondTo(Segment.Payload, Now);
    Connection.LastSequence = Connection.NextSequence;
    segment Reply = replyTo(Segment, TcpAck, Connection.NextSequence, Connection.NextExpected);
    Reply.Payload = Connection.LastResponse;
    Connection.NextSequence += static_cast<std::uint32_t>(Reply.Payload.size());
    Replies.push_back(Reply);
  }
  if (Segment.has(TcpFin)) {
    ++Connection.NextExpected;
    Connection.Closed = true;
    Replies.push_back(
        replyTo(Segment, TcpFin | TcpAck, Connection.NextSequence, Connection.NextExpected));
    ++Connection.NextSequence;
  }
  return Replies;
}

std::vector<segment> target_standin::handleUdp(const segment &Segment, instant Now) {
  const connection_key Key{Segment.Source, Segment.Destination};
  const auto Found = Connections.find(Key);
  if (Found == Connections.end()) {
    if (!acceptsNewFlows(Now)) {
      ++Counters.FlowsRefused;
      return {};
    }
    ++Counters.FlowsOpened;
    Connections[Key].Kind = segment_kind::Udp;
  } else if (Found->second.Silent) {
    return {};
  }
  segment Reply = replyTo(Segment, 0, 0, 0);
  Reply.Payload = respondTo(Segment.Payload, Now);
  return {Reply};
}

std::string target_standin::respondTo(const std::string &Request, instant Now) {
  BusyUntil.push_back(Now + RequestDuration);
  ++Counters.Requests;
  return std::to_string(Settings.Vni) + " " + Settings.Name + " " + Request;
}

std::string target_standin::currentHealth(instant Now) {
  std::erase_if(BusyUntil, [Now](instant End) { return End <= Now; });
  const target_faults &Faults = Settings.Faults;
  const auto Open = static_cast<std::uint32_t>(Connections.size());
  nlohmann::json Health = {{"state", "active"},
                           {"slots", Settings.Slots},
                           {"slots_in_use", BusyUntil.size()},
                           {"connections", Open}};
  if (Faults.MisleadingHealth)
    Health["slots_in_use"] = Health["connections"] = 0;
  else if (Faults.Draining)
    Health["state"] = "draining";
  else if (!acceptsNewFlows(Now))
    Health["state"] = "shedding";
  return Health.dump();
}

std::string target_standin::health(instant Now) {
  if (Settings.Faults.NoHealth)
    return "";
  return Settings.Faults.LaggingHealth ? FrozenHealth : currentHealth(Now);
}

void target_standin::setFaults(std::string_view Json, instant Now) {
  const target_faults New = parseFaults(Json, Settings.Faults);
  if (New.LaggingHealth && !Settings.Faults.LaggingHealth)
    FrozenHealth = currentHealth(Now);
  Settings.Faults = New;
  if (New.SilentConnections)
    for (auto &[Key, Connection] : Connections)
      Connection.Silent = true;
}

std::string target_standin::countersJson() const {
  return nlohmann::json{{"name", Settings.Name},
                        {"packets", Counters.Packets},
                        {"malformed", Counters.Malformed},
                        {"wrong_vni", Counters.WrongVni},
                        {"flows_opened", Counters.FlowsOpened},
                        {"flows_refused", Counters.FlowsRefused},
                        {"unknown_flow", Counters.UnknownFlow},
                        {"requests", Counters.Requests},
                        {"open_flows", Connections.size()}}
      .dump();
}

} // namespace briarpoint
