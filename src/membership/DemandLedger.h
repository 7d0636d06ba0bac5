#ifndef APRICOTTRACK_MEMBERSHIP_DEMANDLEDGER_H
#define APRICOTTRACK_MEMBERSHIP_DEMANDLEDGER_H

#include "apricottrack/Time.h"
#include "limits/AccountLimiter.h"

#include <map>
#include <string>

namespace apricottrack {

/// Demand by client account.
using Demands = std::map<std::string, Rates>;

/// Sums up the demand that nodes report for the accounts that this node owns.
/// Reports expire, so that a lost node's demand is not counted indefinitely.
class DemandLedger
{
public:
  /// Reports older than `aReportLifetime` are not counted.
  explicit DemandLedger(Duration aReportLifetime);

  /// Replaces the node's reported demand for each of the given accounts.
  void RecordReport(const std::string& aNode,
                    const Demands& aDemands,
                    Instant aNow);

  /// Returns the demand of all nodes but the given one for an account.
  Rates DemandOfOthers(const std::string& aNode,
                       const std::string& aAccount,
                       Instant aNow) const;

  /// Removes expired reports.
  void Prune(Instant aNow);

private:
  struct Entry
  {
    Rates rates;
    /// When the report was recorded.
    Instant at;
  };

  Duration reportLifetime;
  /// By account, then by node.
  std::map<std::string, std::map<std::string, Entry>> entries;
};

} // namespace apricottrack

#endif
