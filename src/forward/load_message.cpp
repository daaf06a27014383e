#include "forward/load_message.h"

#include "base/byte_reader.h"
#include "base/byte_writer.h"
#include "base/hash.h"
#include "store/revision_message.h"

#include <algorithm>

namespace briarpoint {

namespace {

constexpr std::uint64_t ReportType = 7;
constexpr std::uint64_t SummaryType = 8;
constexpr std::size_t ReportHeaderSize = 8;
constexpr std::size_t ReportEntrySize = 12;
constexpr std::size_t CountWidth = 3;
constexpr std::uint32_t MaxCount = 0xffffff;

/// Reads the protocol identifier, the type and the flags. Returns std::nullopt if they aren't valid
/// for a message of \p Type; else, whether bit 0 of the flags is set.
std::optional<bool> readFlag(byte_reader &Reader, std::uint64_t Type) {
  if (Reader.read(PeerProtocolIdentifierSize) != PeerProtocolIdentifier || Reader.read(1) != Type)
    return std::nullopt;
  const std::uint64_t Flags = Reader.read(1);
  return Flags > 1 ? std::nullopt : std::optional(Flags == 1);
}

void appendCount(byte_writer &Writer, std::uint32_t Count) {
  Writer.append(std::min(Count, MaxCount), CountWidth);
}

} // namespace

load_key loadKey(std::string_view Service, std::string_view DataCentre) {
  return static_cast<load_key>(hashBytes(DataCentre, hashBytes(Service)));
}

std::uint16_t relayTag(std::uint32_t Address) {
  return static_cast<std::uint16_t>(mixHash(Address, SummaryType));
}

std::string writeLoadReport(const load_report &Report) {
  byte_writer Writer;
  Writer.append(PeerProtocolIdentifier, PeerProtocolIdentifierSize);
  Writer.append(ReportType, 1);
  Writer.append(Report.Pressure ? 1 : 0, 1);
  Writer.append(Report.IntervalMs, 2);
  Writer.append(Report.Entries.size(), 1);
  for (const load_report_entry &Entry : Report.Entries) {
    Writer.append(Entry.Key, 4);
    Writer.append(Entry.InProgress, 2);
    Writer.append(Entry.OpenFlows, 2);
    Writer.append(Entry.Answered, 2);
    Writer.append(Entry.Rejected, 2);
  }
  return Writer.bytes();
}

std::string writeLoadSummary(const load_summary &Summary) {
  byte_writer Writer;
  Writer.append(PeerProtocolIdentifier, PeerProtocolIdentifierSize);
  Writer.append(SummaryType, 1);
  Writer.append(Summary.Active ? 1 : 0, 1);
  Writer.append(Summary.Round, 4);
  Writer.append(Summary.IntervalMs, 2);
  Writer.append(Summary.Forwarders, 2);
  Writer.append(Summary.Entries.size(), 1);
  Writer.append(Summary.NextRelays.size(), 2);
  Writer.append(Summary.Slice.size(), 2);
  for (const load_summary_entry &Entry : Summary.Entries) {
    Writer.append(Entry.Key, 4);
    appendCount(Writer, Entry.InProgress);
    appendCount(Writer, Entry.OpenFlows);
    appendCount(Writer, Entry.Answered);
    appendCount(Writer, Entry.Rejected);
  }
  for (const std::uint16_t Tag : Summary.NextRelays)
    Writer.append(Tag, 2);
  for (const std::uint32_t Address : Summary.Slice)
    Writer.append(Address, 4);
  return Writer.bytes();
}

std::optional<load_report> parseLoadReport(std::string_view Bytes) {
  if (Bytes.size() < ReportHeaderSize || Bytes.size() > MaxLoadMessageSize)
    return std::nullopt;
  byte_reader Reader(Bytes);
  const std::optional<bool> Flag = readFlag(Reader, ReportType);
  if (!Flag)
    return std::nullopt;
  load_report Report;
  Report.Pressure = *Flag;
  Report.IntervalMs = static_cast<std::uint16_t>(Reader.read(2));
  const std::size_t Count = Reader.read(1);
  if (Count > MaxLoadEntries || Reader.rest().size() != Count * ReportEntrySize)
    return std::nullopt;
  for (std::size_t I = 0; I < Count; ++I) {
    load_report_entry &Entry = Report.Entries.emplace_back();
    Entry.Key = static_cast<load_key>(Reader.read(4));
    Entry.InProgress = static_cast<std::uint16_t>(Reader.read(2));
    Entry.OpenFlows = static_cast<std::uint16_t>(Reader.read(2));
    Entry.Answered = static_cast<std::uint16_t>(Reader.read(2));
    Entry.Rejected = static_cast<std::uint16_t>(Reader.read(2));
  }
  return Report;
}

std::optional<load_summary> parseLoadSummary(std::string_view Bytes) {
  if (Bytes.size() < LoadSummaryHeaderSize || Bytes.size() > MaxLoadMessageSize)
    return std::nullopt;
  byte_reader Reader(Bytes);
  const std::optional<bool> Flag = readFlag(Reader, SummaryType);
  if (!Flag)
    return std::nullopt;
  load_summary Summary;
  Summary.Active = *Flag;
  Summary.Round = static_cast<std::uint32_t>(Reader.read(4));
  Summary.IntervalMs = static_cast<std::uint16_t>(Reader.read(2));
  Summary.Forwarders = static_cast<std::uint16_t>(Reader.read(2));
  const std::size_t Entries = Reader.read(1);
  const std::size_t Relays = Reader.read(2);
  const std::size_t Addresses = Reader.read(2);
  if (Entries > MaxLoadEntries || Relays > MaxNextRelays ||
      Reader.rest().size() != Entries * LoadSummaryEntrySize + Relays * 2 + Addresses * 4)
    return std::nullopt;
  for (std::size_t I = 0; I < Entries; ++I) {
    load_summary_entry &Entry = Summary.Entries.emplace_back();
    Entry.Key = static_cast<load_key>(Reader.read(4));
    Entry.InProgress = static_cast<std::uint32_t>(Reader.read(CountWidth));
    Entry.OpenFlows = static_cast<std::uint32_t>(Reader.read(CountWidth));
    Entry.Answered = static_cast<std::uint32_t>(Reader.read(CountWidth));
    Entry.Rejected = static_cast<std::uint32_t>(Reader.read(CountWidth));
  }
  for (std::size_t I = 0; I < Relays; ++I)
    Summary.NextRelays.push_back(static_cast<std::uint16_t>(Reader.read(2)));
  for (std::size_t I = 0; I < Addresses; ++I)
    Summary.Slice.push_back(static_cast<std::uint32_t>(Reader.read(4)));
  return Summary;
}

} // namespace briarpoint
