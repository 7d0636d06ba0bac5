#ifndef APRICOTTRACK_RETRY_RETRYBUDGET_H
#define APRICOTTRACK_RETRY_RETRYBUDGET_H

namespace apricottrack {

/// Bounds retries to a share of first attempts, so that a failing service
/// is not flooded. A small reserve lets single failures be retried at once.
class RetryBudget
{
public:
  struct Options
  {
    /// Retries allowed per first attempt.
    double ratio = 0.2;
    /// Retries that may be saved up.
    double reserve = 20;
  };

  explicit RetryBudget(Options aOptions);

  void OnFirstAttempt();

  /// The reserve changes with the number of nodes that share one.
  void SetReserve(double aReserve);

  bool HasAny() const { return this->saved >= 1; }

  /// Takes one retry from the budget; false if none is left.
  bool TryTake();

private:
  Options options;
  double saved;
};

} // namespace apricottrack

#endif
