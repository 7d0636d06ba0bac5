#ifndef APRICOTTRACK_REPORT_BURNLEDGER_H
#define APRICOTTRACK_REPORT_BURNLEDGER_H

#include "apricottrack/Time.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <tuple>

namespace apricottrack {

/// Requests that met, and that missed, their service's objective.
struct BurnCount
{
  std::int64_t good = 0;
  std::int64_t total = 0;

  friend bool operator==(const BurnCount&, const BurnCount&) = default;
};

/// Time of the fleet, in VM-seconds.
struct FleetTime
{
  /// Declared members of groups that did not serve.
  double downtime = 0;
  /// Healthy VMs in no serving group.
  double stranded = 0;
  double total = 0;

  friend bool operator==(const FleetTime&, const FleetTime&) = default;
};

/// Counts of one node over the last day, in slots of five minutes.
class BurnLedger
{
public:
  static constexpr UnixMillis kSlotMillis = 300'000;
  static constexpr UnixMillis kKeptMillis = 86'400'000;

  /// Start of a slot, service and account.
  using Key = std::tuple<UnixMillis, std::string, std::string>;

  void Count(std::string_view aService,
             std::string_view aAccount,
             bool aGood,
             UnixMillis aNow);

  void Add(Key aKey, const BurnCount& aCount);
  void CountFleet(const FleetTime& aTime, UnixMillis aNow);

  /// Forgets slots that are older than a day.
  void Prune(UnixMillis aNow);

  /// Adds another node's counts.
  void Merge(const BurnLedger& aOther);

  /// Sum over slots that began within a window; empty names match all.
  BurnCount Sum(std::string_view aService,
                std::string_view aAccount,
                UnixMillis aFrom) const;

  const std::map<Key, BurnCount>& Counts() const { return this->counts; }
  const std::map<UnixMillis, FleetTime>& Fleet() const { return this->fleet; }

private:
  std::map<Key, BurnCount> counts;
  std::map<UnixMillis, FleetTime> fleet;
};

std::string
EncodeBurnLedger(const BurnLedger& aLedger);

/// What can be read of a ledger's text; the rest is left out.
BurnLedger
ParseBurnLedger(std::string_view aText);

} // namespace apricottrack

#endif
