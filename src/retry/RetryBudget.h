#ifndef APRICOTTRACK_RETRY_RETRYBUDGET_H
#define APRICOTTRACK_RETRY_RETRYBUDGET_H

namespace apricottrack {

/// Limits retries to a fraction of first attempts, so that retries do not
/// overload a failing service. A reserve permits retries of isolated failures
/// without delay. Each node has one per service.
class RetryBudget
{
public:
  struct Options
  {
    /// Retries earned per first attempt.
    double ratio = 0.2;
    /// Maximum number of unused retries, and the initial number.
    double reserve = 20;
    /// The reserve is a lower bound until SetReserve is called; the retries
    /// that are missing from the initial number are added then.
    bool isProvisional = false;
  };

  explicit RetryBudget(Options aOptions);

  /// Adds `Options::ratio` retries, up to the reserve.
  void OnFirstAttempt();

  /// Changes the reserve of this node, which is a part of the service's reserve
  /// and depends on the number of nodes.
  void SetReserve(double aReserve);

  /// True if a retry is available; consumes none.
  bool HasRetry() const { return this->availableRetries >= 1; }

  /// Consumes one retry; returns false if none is available.
  bool TryConsume();

private:
  Options options;
  /// A fraction, because a first attempt adds less than one retry.
  double availableRetries;
};

} // namespace apricottrack

#endif
