#include "forward/load_exchange.h"

#include "net/ipv4_endpoint.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace briarpoint {

namespace {

constexpr std::uint32_t MaxSum = 0xffffff;

std::uint32_t sumAsCount(double Sum) {
  return static_cast<std::uint32_t>(std::min(Sum + 0.5, static_cast<double>(MaxSum)));
}

std::uint16_t milliseconds16(duration Time) {
  const auto Ms = std::chrono::duration_cast<std::chrono::milliseconds>(Time).count();
  return static_cast<std::uint16_t>(
      std::clamp<std::int64_t>(Ms, 0, std::numeric_limits<std::uint16_t>::max()));
}

double slotsIn(std::span<target *const> Targets, const std::string &DataCentre, instant Now) {
  double Slots = 0;
  for (const target *Target : Targets)
    if (Target->Registration.DataCentre == DataCentre && Target->acceptsFlows(Now) &&
        Target->working(Now))
      Slots += Target->Registration.Slots;
  return Slots;
}

/// Appends the tags of the addresses that pass on a summary.
void addRelays(std::span<const std::uint32_t> Addresses, std::vector<std::uint16_t> &Tags) {
  for (const std::span<const std::uint32_t> Part : load_exchange::parts(Addresses)) {
    if (Part.size() < 2 || Tags.size() >= MaxNextRelays)
      continue;
    Tags.push_back(relayTag(Part.front()));
    addRelays(Part.subspan(1), Tags);
  }
}

} // namespace

duration load_exchange::intervalFor(std::size_t Forwarders) {
  const auto Grown = MinInterval * static_cast<std::int64_t>(Forwarders) /
                     static_cast<std::int64_t>(ForwardersAtMinInterval);
  return std::clamp<duration>(Grown, MinInterval, MaxInterval);
}

std::vector<std::span<const std::uint32_t>>
load_exchange::parts(std::span<const std::uint32_t> Addresses) {
  // With few addresses, the sender reaches all of them itself. With more, as few parts as the
  // receivers' own fan-out permits keep the number of forwarders that pass messages on small.
  const std::size_t Size = Addresses.size();
  const std::size_t Count =
      Size <= FanOut ? Size : std::min(FanOut, (Size + FanOut) / (FanOut + 1));
  std::vector<std::span<const std::uint32_t>> Result;
  for (std::size_t I = 0; I < Count; ++I) {
    const std::size_t Begin = Size * I / Count;
    Result.push_back(Addresses.subspan(Begin, Size * (I + 1) / Count - Begin));
  }
  return Result;
}

void load_exchange::onContact(const endpoint &From, instant Now) {
  if (Contacts.size() < MaxContacts || Contacts.contains(From))
    Contacts[From] = Now + ContactLifetime;
}

bool load_exchange::seesPressure(instant Now) const {
  // Before the first summary, only a reader knows how many forwarders there are.
  const std::size_t All = std::max(Forwarders, Contacts.size() + 1);
  for (const auto &[Key, Load] : Meter.loads()) {
    const auto &[Service, DataCentre] = Key;
    const std::span<target *const> Members = Targets.findByService(Service);
    if (!Pooled.covers(Members, Now))
      continue;
    const bool Rejecting = Load.Rejected >= MinRejections &&
                           Load.Rejected > PressureRejections * (Load.Answered + Load.Rejected);
    if (Rejecting || Meter.slowdown(Service, Now) > PressureSlowdown)
      return true;
    // Without working targets there is nothing to share. The mean of the pooled requests would
    // approach 0 without reaching it, and sharing would not end.
    const double Slots = slotsIn(Members, DataCentre, Now);
    if (Slots <= 0)
      continue;
    const auto Mean = PooledMeans.find(loadKey(Service, DataCentre));
    if (Pooled.valid(Now) && Mean != PooledMeans.end()) {
      if (Mean->second > PressureLoad * Slots)
        return true;
      continue;
    }
    if (Load.MeanInProgress < MinRequestsForEstimate)
      continue;
    // Balancers use the targets of their own data centre first, so about as many balancers share
    // these targets as are in one data centre.
    std::set<std::string> DataCentres{DataCentre};
    for (const target *Target : Members)
      DataCentres.insert(Target->Registration.DataCentre);
    const double Sharing =
        std::max(1.0, static_cast<double>(All) / static_cast<double>(DataCentres.size()));
    if (Load.MeanInProgress * Sharing > PressureLoad * Slots)
      return true;
  }
  return false;
}

load_report load_exchange::takeReport(bool Pressure, instant Now) {
  load_report Report;
  Report.Pressure = Pressure;
  Report.IntervalMs = milliseconds16(Now - IntervalBeganAt);
  Report.Entries = Meter.takeReport();
  IntervalBeganAt = Now;
  return Report;
}

bool load_exchange::sampled() {
  return Forwarders <= SampleSize || Random.below(Forwarders) < SampleSize;
}

void load_exchange::update(const endpoint *Reader, bool IsReader, instant Now) {
  const bool Pressure = seesPressure(Now);
  const bool PressureBegan = Pressure && !SawPressure && !active(Now);
  SawPressure = Pressure;
  const bool Pools = Reader == nullptr && IsReader;
  if (Now >= NextReportAt || PressureBegan) {
    NextReportAt = Now + Interval;
    load_report Report = takeReport(Pressure, Now);
    if (Pools && (Pressure || active(Now))) {
      store(Local, std::move(Report), Now);
    } else if (Reader != nullptr && (active(Now) ? sampled() : Pressure)) {
      ++Counters.ReportsSent;
      Sender.send(*Reader, Report);
    }
  }
  if (Now < PressureUntil && Now >= NextSummaryAt)
    distribute(Now);
}

void load_exchange::receive(const endpoint &From, const load_report &Report, instant Now) {
  ++Counters.ReportsReceived;
  onContact(From, Now);
  if (!Contacts.contains(From))
    return;
  store(From, Report, Now);
  // Callers may be rejected by now, so the first sums don't wait for the next sweep.
  if (!Pooled.valid(Now) && Now < PressureUntil && Now >= PressureBeganAt + CollectionTime &&
      Now >= SummaryMadeAt + CollectionTime && hasSample())
    distribute(Now);
}

void load_exchange::store(const endpoint &From, load_report Report, instant Now) {
  const bool Pressure = Report.Pressure;
  Reports[From] = {std::move(Report), Now + std::max(MinReportLifetime, 2 * Interval)};
  const bool Pressed = Pressure && isPressed(Now);
  if (!Pressed && (!Pressure || Now < NextTrialAt))
    return;
  if (Now >= PressureUntil) {
    PressureBeganAt = Now;
    NextTree.clear();
  }
  NextTrialAt = Now + QuietTime;
  PressureUntil = std::max(PressureUntil, Now + (Pressed ? QuietTime : TrialTime));
}

bool load_exchange::isPressed(instant Now) const {
  const auto Pressed = static_cast<std::size_t>(
      std::count_if(Reports.begin(), Reports.end(), [Now](const auto &Entry) {
        return Entry.second.Report.Pressure && Now < Entry.second.ValidUntil;
      }));
  const std::size_t Sharing = sharing();
  return Pressed >= std::min(Sharing, MinPressedForwarders) &&
         static_cast<double>(Pressed) >= PressedPart * static_cast<double>(Sharing);
}

std::vector<load_summary_entry> load_exchange::sumReports(double Scale,
                                                          std::size_t MaxEntries) const {
  struct sums {
    double InProgress = 0;
    double OpenFlows = 0;
    double Answered = 0;
    double Rejected = 0;
  };
  std::map<load_key, sums> Sums;
  const double IntervalMs = std::chrono::duration<double, std::milli>(Interval).count();
  for (const auto &[From, Received] : Reports) {
    // Counts of reports that were made over another time are converted to the interval.
    const double Share = IntervalMs / std::max<double>(1, Received.Report.IntervalMs);
    for (const load_report_entry &Entry : Received.Report.Entries) {
      sums &Sum = Sums[Entry.Key];
      Sum.InProgress += Entry.InProgress;
      Sum.OpenFlows += Entry.OpenFlows;
      Sum.Answered += Entry.Answered * std::min(Share, 2.0);
      Sum.Rejected += Entry.Rejected * std::min(Share, 2.0);
    }
  }
  std::vector<load_summary_entry> Result;
  Result.reserve(Sums.size());
  for (const auto &[Key, Sum] : Sums)
    Result.push_back({Key, sumAsCount(Sum.InProgress * Scale), sumAsCount(Sum.OpenFlows * Scale),
                      sumAsCount(Sum.Answered * Scale), sumAsCount(Sum.Rejected * Scale)});
  std::stable_sort(Result.begin(), Result.end(),
                   [](const load_summary_entry &A, const load_summary_entry &B) {
                     return A.InProgress > B.InProgress;
                   });
  if (Result.size() > MaxEntries)
    Result.resize(MaxEntries);
  return Result;
}

bool load_exchange::hasSample() const {
  const std::size_t Sharing = sharing();
  return Reports.size() * MinSampleDivisor >= std::min(Sharing, SampleSize);
}

void load_exchange::drawTree() {
  NextTree.clear();
  for (const auto &[Contact, Until] : Contacts) {
    const std::optional<ipv4_endpoint> Address = toIpv4Endpoint(Contact);
    if (Address && Contact.Port == Local.Port && Contact != Local)
      NextTree.push_back(Address->Address);
  }
  for (std::size_t I = NextTree.size(); I > 1; --I)
    std::swap(NextTree[I - 1], NextTree[Random.below(I)]);
}

void load_exchange::distribute(instant Now) {
  std::erase_if(Contacts, [&](const auto &Contact) { return Now >= Contact.second; });
  std::erase_if(Reports, [&](const auto &Report) { return Now >= Report.second.ValidUntil; });
  const bool First = !active(Now);
  if (NextTree.empty())
    drawTree();
  const std::vector<std::uint32_t> Tree = std::move(NextTree);
  drawTree();

  const std::size_t Sharing = sharing();
  const duration SummaryInterval = intervalFor(Sharing);
  load_summary Summary;
  Summary.Round = Pooled.round() + 1;
  Summary.Active = Now + SummaryInterval < PressureUntil;
  Summary.IntervalMs = milliseconds16(SummaryInterval);
  Summary.Forwarders = static_cast<std::uint16_t>(Sharing);
  addRelays(NextTree, Summary.NextRelays);
  // The largest slice belongs to one of the first parts.
  const std::size_t Slice = (Tree.size() + FanOut - 1) / FanOut;
  const std::size_t Rest =
      MaxLoadMessageSize - LoadSummaryHeaderSize - 2 * Summary.NextRelays.size() - 4 * Slice;
  // Before the first summary, only those that see pressure have reported. They are no sample of the
  // others, so their sum isn't scaled.
  const double Scale =
      First ? 1 : std::max(1.0, static_cast<double>(Sharing) / static_cast<double>(Reports.size()));
  // A reader that is cut off from most others must not take its own load for that of all.
  if (hasSample())
    Summary.Entries = sumReports(Scale, std::min(MaxLoadEntries, Rest / LoadSummaryEntrySize));
  ++Counters.SummariesMade;
  apply(Summary, Now);
  SummaryMadeAt = Now;
  const bool Unknown = First || Summary.Entries.empty();
  NextSummaryAt = Now + (Unknown ? SummaryInterval / 2 : SummaryInterval);
  passOn(std::move(Summary), Tree);
}

void load_exchange::passOn(load_summary Summary, std::span<const std::uint32_t> Addresses) {
  for (const std::span<const std::uint32_t> Part : parts(Addresses)) {
    Summary.Slice.assign(Part.begin() + 1, Part.end());
    Sender.send(toEndpoint({Part.front(), Local.Port}), Summary);
  }
}

void load_exchange::receive(const endpoint &From, bool FromReader, const load_summary &Summary,
                            instant Now) {
  const std::optional<ipv4_endpoint> Address = toIpv4Endpoint(From);
  const bool Known = FromReader || (Address && From.Port == Local.Port &&
                                    Relays.contains(relayTag(Address->Address)));
  // Nobody has announced who passes on the first summary, so without a valid one it may come from
  // anyone. It isn't passed on then, so that a forged one doesn't multiply.
  if (!Known && Pooled.valid(Now)) {
    ++Counters.SummariesRefused;
    return;
  }
  if (!apply(Summary, Now)) {
    ++Counters.SummariesOutdated;
    return;
  }
  ++Counters.SummariesAccepted;
  if (Known)
    passOn(Summary, Summary.Slice);
}

bool load_exchange::apply(const load_summary &Summary, instant Now) {
  if (!Summary.Entries.empty() && !Pooled.apply(Summary, Now))
    return false;
  // The first reports after a quiet time don't wait for the end of the interval.
  if (!active(Now)) {
    PooledMeans.clear();
    NextReportAt = Now;
  }
  for (const load_summary_entry &Entry : Summary.Entries) {
    const auto [Mean, New] = PooledMeans.try_emplace(Entry.Key, Entry.InProgress);
    Mean->second += (Entry.InProgress - Mean->second) * PooledMeanWeight;
  }
  ActiveUntil = Summary.Active ? Now + pooled_load::Lifetime : Now;
  Forwarders = std::max<std::size_t>(1, Summary.Forwarders);
  Interval = intervalFor(Forwarders);
  Relays = {Summary.NextRelays.begin(), Summary.NextRelays.end()};
  return true;
}

} // namespace briarpoint
