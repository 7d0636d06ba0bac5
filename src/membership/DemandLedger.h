#ifndef APRICOTTRACK_MEMBERSHIP_DEMANDLEDGER_H
#define APRICOTTRACK_MEMBERSHIP_DEMANDLEDGER_H

#include "apricottrack/Time.h"
#include "limits/AccountLimiter.h"

#include <map>
#include <string>

namespace apricottrack {

/// Demand by account.
using Demands = std::map<std::string, Rates>;

/// Sums up nodes' reported demand for the accounts that this node owns.
/// Reports lapse, so that a lost node stops counting by itself.
class DemandLedger
{
public:
  explicit DemandLedger(Duration aLapse);

  void Report(const std::string& aNode, const Demands& aDemands, Instant aNow);

  /// Demand of all other nodes for one account.
  Rates OthersOf(const std::string& aNode,
                 const std::string& aAccount,
                 Instant aNow) const;

  /// Forgets reports that have lapsed.
  void Prune(Instant aNow);

private:
  struct Entry
  {
    Rates rates;
    Instant at;
  };

  Duration lapse;
  /// By account, then by node.
  std::map<std::string, std::map<std::string, Entry>> entries;
};

} // namespace apricottrack

#endif
