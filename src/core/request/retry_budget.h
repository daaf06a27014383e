#ifndef BRIARPOINT_CORE_REQUEST_RETRY_BUDGET_H
#define BRIARPOINT_CORE_REQUEST_RETRY_BUDGET_H

namespace briarpoint {

/// Limits retries to a share of the requests, so that retries can't multiply an overload.
class retry_budget {
public:
  /// \p Ratio is the allowed number of retries per request, \p Limit the number of unused retries
  /// that are kept for later.
  explicit retry_budget(double Ratio = 0.1, double Limit = 100.0) : Ratio(Ratio), Limit(Limit) {}

  /// Counts a first attempt.
  void recordRequest();

  /// Takes one retry from the budget; returns false if none is left.
  bool tryRetry();

private:
  double Ratio;
  double Limit;
  double Available = 0.0;
};

} // namespace briarpoint

#endif // BRIARPOINT_CORE_REQUEST_RETRY_BUDGET_H
