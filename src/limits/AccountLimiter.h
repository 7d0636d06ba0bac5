#ifndef APRICOTTRACK_LIMITS_ACCOUNTLIMITER_H
#define APRICOTTRACK_LIMITS_ACCOUNTLIMITER_H

#include "apricottrack/Time.h"

#include <map>
#include <optional>
#include <string>

namespace apricottrack {

struct ClientAccount;

/// Requests and tokens per second.
struct Rates
{
  double requests = 0;
  double tokens = 0;

  friend bool operator==(const Rates&, const Rates&) = default;
};

/// Returns this node's share of an account's limit, per second, from the demand
/// at this node and at all other nodes together. If the total demand is below
/// the limit, a node gets its own demand and an equal part of the remainder, so
/// that traffic can move between nodes. Otherwise it gets a part proportional
/// to its demand and an equal part of a fifth of the limit. The shares of nodes
/// with the same view of the demand add up to the limit.
double
LimitShare(double aLimit,
           double aOwnDemand,
           double aOtherDemand,
           int aNodeCount);

/// Enforces the limits of client accounts at one node, with a token bucket for
/// requests and one for tokens per account. The rate of a bucket is this node's
/// share of the limit. Shares follow the demand that nodes report to each
/// other, so admitting a request needs no write to shared storage.
class AccountLimiter
{
public:
  /// Admits a request of an estimated `aTokens` tokens and charges the buckets.
  /// Returns nothing if admitted, else the time after which to retry, at most
  /// 60 s.
  std::optional<Duration> Admit(const ClientAccount& aAccount,
                                double aTokens,
                                Instant aNow);

  /// Replaces the estimated tokens of an admitted request by the actual number
  /// when the request has ended.
  void ReconcileTokens(const std::string& aAccount,
                       double aEstimated,
                       double aActual);

  /// Sets the total demand of all other nodes by account, and the number of
  /// nodes including this one.
  void SetOtherDemand(std::map<std::string, Rates> aDemand, int aNodeCount);

  /// Returns this node's smoothed demand per second by account, as reported to
  /// the other nodes.
  std::map<std::string, Rates> OwnDemand(Instant aNow) const;

private:
  /// The two token buckets of one account and its demand, as of `updatedAt`.
  struct AccountState
  {
    /// Contents of the buckets: requests and tokens that may be admitted.
    /// `tokens` can be negative after a request that used more than its
    /// estimate.
    double requests = 0;
    double tokens = 0;
    /// Smoothed rate per second of offered requests, including refused ones,
    /// and of their estimated tokens.
    Rates demand;
    Instant updatedAt;
    /// True until the first request fills the buckets.
    bool isNew = true;
  };

  /// This node's share of the account's two limits, per second.
  Rates ShareOfLimits(const ClientAccount& aAccount,
                      const AccountState& aState) const;

  /// By account name.
  std::map<std::string, AccountState> accountStates;
  /// Total demand of all other nodes, by account name.
  std::map<std::string, Rates> otherDemand;
  int nodeCount = 1;
};

} // namespace apricottrack

#endif
