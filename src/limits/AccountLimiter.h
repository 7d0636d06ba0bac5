#ifndef APRICOTTRACK_LIMITS_ACCOUNTLIMITER_H
#define APRICOTTRACK_LIMITS_ACCOUNTLIMITER_H

#include "apricottrack/Time.h"

#include <map>
#include <optional>
#include <string>

namespace apricottrack {

struct ClientAccount;

/// Requests and tokens a second.
struct Rates
{
  double requests = 0;
  double tokens = 0;

  friend bool operator==(const Rates&, const Rates&) = default;
};

/// This node's part of an account's limit, given the demand seen here and by
/// all other nodes. Below the limit every node has its own demand and an equal
/// part of the rest, so that traffic can move between nodes; above it, a part
/// by demand and a small floor. The parts of nodes with the same view add up
/// to the limit.
double
LimitShare(double aLimit, double aOwnDemand, double aOtherDemand, int aNodes);

/// Token buckets per client account, in requests and in tokens.
/// Each node holds its share of every limit, moved by demand, not by writes.
class AccountLimiter
{
public:
  /// How long to wait before trying again, or nothing if admitted.
  std::optional<Duration> Admit(const ClientAccount& aAccount,
                                double aTokens,
                                Instant aNow);

  /// Corrects an admission's estimate once the true count is known.
  void Settle(const std::string& aAccount, double aEstimated, double aActual);

  /// Demand of the other nodes together, and how many nodes there are.
  void SetOtherDemand(std::map<std::string, Rates> aDemand, int aNodes);

  /// Demand seen by this node, smoothed; what other nodes are told.
  std::map<std::string, Rates> OwnDemand(Instant aNow) const;

private:
  struct Bucket
  {
    double requests = 0;
    double tokens = 0;
    Rates demand;
    Instant updated;
    bool fresh = true;
  };

  Rates ShareOf(const ClientAccount& aAccount, const Bucket& aBucket) const;

  std::map<std::string, Bucket> buckets;
  std::map<std::string, Rates> otherDemand;
  int nodes = 1;
};

} // namespace apricottrack

#endif
