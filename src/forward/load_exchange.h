#ifndef BRIARPOINT_FORWARD_LOAD_EXCHANGE_H
#define BRIARPOINT_FORWARD_LOAD_EXCHANGE_H

#include "base/random_source.h"
#include "forward/load_message.h"
#include "forward/load_meter.h"
#include "forward/pooled_load.h"
#include "forward/target_registry.h"
#include "net/endpoint.h"

#include <map>
#include <set>
#include <span>
#include <vector>

namespace briarpoint {

/// Sends load messages to other forwarders.
class load_sender {
public:
  virtual ~load_sender() = default;

  /// The message may be lost.
  virtual void send(const endpoint &To, const load_report &Message) = 0;
  virtual void send(const endpoint &To, const load_summary &Message) = 0;
};

/// Number of load messages since the start.
struct load_exchange_counters {
  std::uint64_t ReportsSent = 0;
  std::uint64_t ReportsReceived = 0;
  /// Summaries that this forwarder made itself.
  std::uint64_t SummariesMade = 0;
  std::uint64_t SummariesAccepted = 0;
  /// From a forwarder that is neither a reader nor known to pass on summaries.
  std::uint64_t SummariesRefused = 0;
  /// No newer than the last one.
  std::uint64_t SummariesOutdated = 0;
};

/// Shares load between forwarders while one of them sees pressure.
///
/// A forwarder that sees pressure reports its own load to the reader. The reader adds up the
/// reports and distributes the sums through a tree of forwarders; while the sums are distributed, a
/// sample of all forwarders reports. Without pressure, no message is sent and no random number is
/// drawn.
class load_exchange {
public:
  /// Requests in progress per slot from which there is pressure: pooled ones, or without a valid
  /// summary the own ones scaled to all forwarders. From here on, load_spill divides new flows.
  static constexpr double PressureLoad = load_spill::BeginsAt;
  /// Fewer requests in progress at this forwarder (moving average) are no basis for the estimate.
  static constexpr double MinRequestsForEstimate = 4;
  /// Weight of a summary in the mean of the pooled requests in progress, by which pressure is
  /// judged. A sample of forwarders gives the load with an error of about a fifth.
  static constexpr double PooledMeanWeight = 0.25;
  /// Ratio of the mean response time to the lowest one from which there is pressure, as in
  /// target_chooser.
  static constexpr double PressureSlowdown = 1.8;
  /// Share of rejections among the outcomes from which there is pressure, and the least number of
  /// them: a short answer to an easy request looks like a rejection.
  static constexpr double PressureRejections = 0.07;
  static constexpr std::uint32_t MinRejections = 3;
  /// Sharing goes on if this part of the forwarders reports pressure at the same time, and at least
  /// MinPressedForwarders, or all if they are fewer. One forwarder sees few requests, so chance
  /// alone looks like pressure to some of them.
  static constexpr double PressedPart = 0.05;
  static constexpr std::size_t MinPressedForwarders = 3;
  /// If fewer report pressure, load is shared for this long, at most once in QuietTime. The sums
  /// then tell all forwarders whether there is pressure.
  static constexpr duration TrialTime = std::chrono::milliseconds(1500);
  /// Time without pressure after which sharing ends.
  static constexpr duration QuietTime = std::chrono::seconds(5);
  /// Interval of reports and summaries.
  static constexpr duration MinInterval = std::chrono::milliseconds(500);
  /// The interval grows in proportion beyond this number of forwarders, so that the traffic of the
  /// reader stays below 17 kB/s with 1,900 forwarders.
  static constexpr std::size_t ForwardersAtMinInterval = 333;
  /// Shorter than pooled_load::Lifetime, so that load stays known between two summaries.
  static constexpr duration MaxInterval = std::chrono::milliseconds(1425);
  /// Mean number of reports in an interval.
  static constexpr std::size_t SampleSize = 48;
  /// Time from the first report under pressure to the first summary, if further reports arrive.
  /// Most of those that see the same pressure have reported by then.
  static constexpr duration CollectionTime = std::chrono::milliseconds(125);
  /// A reader makes sums only from reports of at least this part of SampleSize, or of all
  /// forwarders if they are fewer.
  static constexpr std::size_t MinSampleDivisor = 4;
  /// A report counts for at least this long, and for two intervals.
  static constexpr duration MinReportLifetime = std::chrono::milliseconds(1500);
  static constexpr std::size_t FanOut = 12;
  /// A forwarder that hasn't contacted this one for longer than this gets no summaries.
  static constexpr duration ContactLifetime = std::chrono::seconds(10);
  static constexpr std::size_t MaxContacts = 2048;

  /// \p Local is the own endpoint for messages; all forwarders use the same port. The references
  /// must outlive the object.
  load_exchange(const endpoint &Local, const target_registry &Targets, load_meter &Meter,
                pooled_load &Pooled, load_sender &Sender, random_source &Random)
      : Local(Local), Targets(Targets), Meter(Meter), Pooled(Pooled), Sender(Sender),
        Random(Random) {}

  /// Adds \p From to the forwarders that get summaries, until ContactLifetime has passed. Call it
  /// when a question of \p From is received.
  void onContact(const endpoint &From, instant Now);
  void receive(const endpoint &From, const load_report &Report, instant Now);
  /// \p FromReader is set if the sender is one of the readers.
  void receive(const endpoint &From, bool FromReader, const load_summary &Summary, instant Now);

  /// Reports to \p Reader, or distributes a summary, if it is time. \p Reader is nullptr if no
  /// other forwarder is to be reported to; \p IsReader is set if this forwarder is one of the
  /// readers, and then it pools its own load. Call it after each count of the meter.
  void update(const endpoint *Reader, bool IsReader, instant Now);

  /// Load is shared: the reader distributes summaries.
  bool active(instant Now) const { return Now < ActiveUntil; }
  const load_exchange_counters &counters() const { return Counters; }

  /// Returns the interval of reports and summaries for \p Forwarders forwarders.
  static duration intervalFor(std::size_t Forwarders);
  /// Divides the addresses among at most FanOut parts of a tree. The first address of a part is the
  /// receiver; the rest is its slice.
  static std::vector<std::span<const std::uint32_t>>
  parts(std::span<const std::uint32_t> Addresses);

private:
  struct received_report {
    load_report Report;
    instant ValidUntil{};
  };

  bool seesPressure(instant Now) const;
  load_report takeReport(bool Pressure, instant Now);
  bool sampled();
  void store(const endpoint &From, load_report Report, instant Now);
  void distribute(instant Now);
  std::size_t sharing() const { return Contacts.size() + (Contacts.contains(Local) ? 0 : 1); }
  /// Returns the sums of the reports, multiplied by \p Scale, at most \p MaxEntries of them.
  std::vector<load_summary_entry> sumReports(double Scale, std::size_t MaxEntries) const;
  bool hasSample() const;
  /// Returns whether enough forwarders report pressure.
  bool isPressed(instant Now) const;
  void drawTree();
  /// Sends \p Summary to the first address of each part of \p Addresses, with the rest of the part
  /// as its slice.
  void passOn(load_summary Summary, std::span<const std::uint32_t> Addresses);
  /// Returns false if the summary isn't newer than the last one.
  bool apply(const load_summary &Summary, instant Now);

  endpoint Local;
  const target_registry &Targets;
  load_meter &Meter;
  pooled_load &Pooled;
  load_sender &Sender;
  random_source &Random;
  load_exchange_counters Counters;
  instant ActiveUntil{};
  /// Number of forwarders according to the last summary; 1 before the first one.
  std::size_t Forwarders = 1;
  duration Interval = MinInterval;
  instant NextReportAt{};
  /// When the last interval of the own report began.
  instant IntervalBeganAt{};
  bool SawPressure = false;
  /// Means of the pooled requests in progress.
  std::map<load_key, double> PooledMeans;
  /// Tags of the forwarders that pass on the next summary.
  std::set<std::uint16_t> Relays;

  /// State of a reader.
  std::map<endpoint, received_report> Reports;
  std::map<endpoint, instant> Contacts;
  instant PressureBeganAt{};
  instant PressureUntil{};
  instant NextTrialAt{};
  instant SummaryMadeAt{};
  instant NextSummaryAt{};
  /// Addresses of the contacts in the order of the next tree.
  std::vector<std::uint32_t> NextTree;
};

} // namespace briarpoint

#endif // BRIARPOINT_FORWARD_LOAD_EXCHANGE_H
