#ifndef BRIARPOINT_FORWARD_LOAD_METER_H
#define BRIARPOINT_FORWARD_LOAD_METER_H

#include "base/instant.h"
#include "forward/load_message.h"
#include "forward/target.h"

#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace briarpoint {

/// Load that this balancer has observed itself, by service and data centre of the targets.
///
/// Rejections are inferred: a full target answers at once, so an answer much sooner than the
/// service's usual response time is one.
class load_meter {
public:
  /// An answer is a rejection if it took less than this share of the lowest mean response time. An
  /// easy request, or one of the easier kind of a service with two kinds, can take a quarter of it.
  static constexpr double RejectionShare = 0.125;
  /// Rejections are inferred only for services whose lowest mean response time is at least this.
  /// Answers of faster services are too close to each other.
  static constexpr double MinMeanSeconds = 0.030;
  /// Weight of a sample in the mean. With exponentially distributed work, the mean then differs by
  /// 13% (standard deviation), so that chance alone doesn't look like pressure.
  static constexpr double SampleWeight = 1.0 / 32;
  static constexpr std::uint32_t MinSamples = 32;
  /// A mean is valid for this long after the last sample.
  static constexpr duration MaxAge = std::chrono::seconds(5);
  /// The lowest mean grows by this share each second, so that it follows a lasting change of the
  /// work, but by less than a tenth in a burst of 8 s.
  static constexpr double LowestMeanGrowth = 0.01;
  /// A request that waits for longer than the longest time budget of callers isn't counted. Its
  /// caller has given up, or another balancer forwards its flow now.
  static constexpr duration MaxRequestAge = std::chrono::seconds(6);
  /// Time within which a caller repeats a packet that isn't answered: after 200 ms, with some
  /// tolerance for its way. It doubles with each repeat.
  static constexpr duration FirstRepeatTime = std::chrono::milliseconds(250);
  /// A request whose caller has repeated its packet this often isn't counted; callers repeat after
  /// 200 and 600 ms. It hangs or its target is silent, which isn't a sign of too little room.
  static constexpr std::uint32_t HangingRepeats = 2;
  /// Weight of a count in the mean of the requests in progress; counts are due every 250 ms.
  static constexpr double CountWeight = 1.0 / 8;

  struct load {
    /// Latest count of the requests that wait or run at working targets.
    std::uint32_t InProgress = 0;
    std::uint32_t OpenFlows = 0;
    /// Moving average of the counts of requests in progress.
    double MeanInProgress = 0;
    /// Since the last takeReport().
    std::uint32_t Answered = 0;
    std::uint32_t Rejected = 0;
  };
  /// Service and data centre.
  using key = std::pair<std::string, std::string>;

  /// A caller has received an answer \p ResponseTime after its request.
  void onAnswer(const target &Target, duration ResponseTime, instant Now);

  /// Counts all flows: call beginCount(), addFlow() for each flow with a target, and endCount().
  void beginCount();
  /// \p InProgress is set if a request of the flow waits or runs at a working target.
  void addFlow(const target &Target, bool InProgress);
  void endCount();

  const std::map<key, load> &loads() const { return Loads; }
  /// Returns the ratio of the mean response time to the lowest one; 1 if it isn't known.
  double slowdown(const std::string &Service, instant Now) const;

  /// Returns at most MaxLoadEntries entries, those with most open flows first, and begins a new
  /// interval.
  std::vector<load_report_entry> takeReport();

private:
  struct response {
    /// In seconds.
    double Mean = 0;
    double LowestMean = 0;
    std::uint32_t Samples = 0;
    instant LastAt{};
  };

  std::map<key, load> Loads;
  std::map<std::string, response, std::less<>> Responses;
};

} // namespace briarpoint

#endif // BRIARPOINT_FORWARD_LOAD_METER_H
