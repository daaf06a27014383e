#ifndef BRIARPOINT_MEASURE_IMBALANCE_H
#define BRIARPOINT_MEASURE_IMBALANCE_H

#include <algorithm>
#include <array>
#include <cstddef>
#include <span>

namespace briarpoint::measure {

/// Ratio of the largest value to the mean, averaged over samples, per service.
struct imbalance {
  std::array<double, 2> Sum{};
  std::array<double, 2> Largest{};
  std::array<std::size_t, 2> Samples{};

  /// Adds a sample: one value for each target of a service. A sample whose sum is 0 is skipped.
  void add(std::size_t Service, std::span<const double> Values) {
    double Total = 0.0;
    double Max = 0.0;
    for (const double Value : Values) {
      Total += Value;
      Max = std::max(Max, Value);
    }
    if (Total <= 0.0)
      return;
    const double Ratio = Max * static_cast<double>(Values.size()) / Total;
    Sum[Service] += Ratio;
    Largest[Service] = std::max(Largest[Service], Ratio);
    ++Samples[Service];
  }

  double mean(std::size_t Service) const {
    return Samples[Service] == 0 ? 0.0 : Sum[Service] / static_cast<double>(Samples[Service]);
  }
};

} // namespace briarpoint::measure

#endif // BRIARPOINT_MEASURE_IMBALANCE_H
