#ifndef BRIARPOINT_CORE_REQUEST_RETRY_BUDGET_H
#define BRIARPOINT_CORE_REQUEST_RETRY_BUDGET_H

namespace briarpoint {

/// Limits retries to a share of the requests. Unlimited retries would multiply an overload.
class retry_budget {
public:
  /// \p Ratio is the allowed number of retries per request, \p MaxUnused the number of unused
  /// retries that are kept for later.
  explicit retry_budget(double Ratio = 0.1, double MaxUnused = 100.0)
      : Ratio(Ratio), MaxUnused(MaxUnused) {}

  /// Counts a first attempt.
  void recordRequest();

  /// Consumes one retry from the budget. Returns false if none is left.
  bool tryRetry();

private:
  double Ratio;
  double MaxUnused;
  double Available = 0.0;
};

} // namespace briarpoint

#endif // BRIARPOINT_CORE_REQUEST_RETRY_BUDGET_H
