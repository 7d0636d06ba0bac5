#ifndef APRICOTTRACK_REPORT_BURNLEDGER_H
#define APRICOTTRACK_REPORT_BURNLEDGER_H

#include "apricottrack/Time.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <tuple>

namespace apricottrack {

/// Requests that met their service's objective, out of all requests counted.
struct BurnCount
{
  std::int64_t good = 0;
  std::int64_t total = 0;

  friend bool operator==(const BurnCount&, const BurnCount&) = default;
};

/// Time of the target fleet by use, in VM-seconds.
struct FleetTime
{
  /// Configured members of replica groups that did not serve.
  double downtime = 0;
  /// Healthy VMs that belonged to no serving group.
  double stranded = 0;
  /// All VMs with a role that replica groups use.
  double total = 0;

  friend bool operator==(const FleetTime&, const FleetTime&) = default;
};

/// Request counts and fleet time in five-minute slots, kept for 24 h. Each
/// node owns one; the operators' command merges the ledgers of all nodes to
/// report the use of error budgets.
class BurnLedger
{
public:
  static constexpr UnixMillis kSlotMillis = 300'000;
  static constexpr UnixMillis kRetentionMillis = 86'400'000;

  /// Start of the slot, service name, account name.
  using Key = std::tuple<UnixMillis, std::string, std::string>;

  /// Counts one request in the slot that contains the given time; aGood says
  /// whether it met its service's objective.
  void RecordRequest(std::string_view aService,
                     std::string_view aAccount,
                     bool aGood,
                     UnixMillis aNow);

  /// Adds to the counts of one slot, service and account.
  void AddCount(Key aKey, const BurnCount& aCount);

  /// Adds fleet time to the slot that contains the given time.
  void AddFleetTime(const FleetTime& aTime, UnixMillis aNow);

  /// Removes slots that began more than kRetentionMillis ago.
  void Prune(UnixMillis aNow);

  /// Adds another node's request counts. Fleet time is not added up, because
  /// all nodes observe the same VMs: each slot keeps the larger total.
  void Merge(const BurnLedger& aOther);

  /// Sums the slots that began at or after aFrom. An empty service or account
  /// name matches all.
  BurnCount Sum(std::string_view aService,
                std::string_view aAccount,
                UnixMillis aFrom) const;

  const std::map<Key, BurnCount>& Counts() const { return this->counts; }
  const std::map<UnixMillis, FleetTime>& FleetTimes() const
  {
    return this->fleetTimes;
  }

private:
  std::map<Key, BurnCount> counts;
  std::map<UnixMillis, FleetTime> fleetTimes;
};

/// Encodes a ledger as the JSON text that a node's admin endpoint serves.
std::string
EncodeBurnLedger(const BurnLedger& aLedger);

/// Parses the text of EncodeBurnLedger. Entries that cannot be parsed are
/// skipped; text that is not a JSON object gives an empty ledger.
BurnLedger
ParseBurnLedger(std::string_view aText);

} // namespace apricottrack

#endif
