#include "report/BurnLedger.h"

#include "base/JsonFields.h"

#include <boost/json.hpp>

namespace apricottrack {

namespace json = boost::json;

namespace {

UnixMillis
SlotStart(UnixMillis aNow)
{
  return aNow - aNow % BurnLedger::kSlotMillis;
}

/// Returns zero for a field that is missing or not a number.
double
NumberOrZero(const json::object& aObject, std::string_view aName)
{
  const json::value* const field = aObject.if_contains(aName);
  boost::system::error_code error;
  const double number = field == nullptr ? 0 : field->to_number<double>(error);
  return error ? 0 : number;
}

} // namespace

void
BurnLedger::RecordRequest(std::string_view aService,
                          std::string_view aAccount,
                          bool aGood,
                          UnixMillis aNow)
{
  this->AddCount(
    { SlotStart(aNow), std::string(aService), std::string(aAccount) },
    { .good = aGood ? 1 : 0, .total = 1 });
}

void
BurnLedger::AddFleetTime(const FleetTime& aTime, UnixMillis aNow)
{
  FleetTime& slot = this->fleetTimes[SlotStart(aNow)];
  slot.downtime += aTime.downtime;
  slot.stranded += aTime.stranded;
  slot.total += aTime.total;
}

void
BurnLedger::Prune(UnixMillis aNow)
{
  const UnixMillis oldest = aNow - kRetentionMillis;
  this->counts.erase(this->counts.begin(),
                     this->counts.lower_bound({ oldest, "", "" }));
  this->fleetTimes.erase(this->fleetTimes.begin(),
                         this->fleetTimes.lower_bound(oldest));
}

void
BurnLedger::Merge(const BurnLedger& aOther)
{
  for (const auto& [key, count] : aOther.counts) {
    this->AddCount(key, count);
  }
  // All nodes observe the same fleet, so their times overlap: for each slot,
  // keep the record of the node that observed it longer.
  for (const auto& [slot, time] : aOther.fleetTimes) {
    FleetTime& own = this->fleetTimes[slot];
    own = time.total > own.total ? time : own;
  }
}

BurnCount
BurnLedger::Sum(std::string_view aService,
                std::string_view aAccount,
                UnixMillis aFrom) const
{
  BurnCount sum;
  for (auto item = this->counts.lower_bound({ aFrom, "", "" });
       item != this->counts.end();
       ++item) {
    const auto& [slot, service, account] = item->first;
    if ((aService.empty() || service == aService) &&
        (aAccount.empty() || account == aAccount)) {
      sum.good += item->second.good;
      sum.total += item->second.total;
    }
  }
  return sum;
}

std::string
EncodeBurnLedger(const BurnLedger& aLedger)
{
  json::array counts;
  for (const auto& [key, count] : aLedger.Counts()) {
    const auto& [slot, service, account] = key;
    counts.push_back(json::object{ { "slot", slot },
                                   { "service", service },
                                   { "account", account },
                                   { "good", count.good },
                                   { "total", count.total } });
  }
  json::array fleetTimes;
  for (const auto& [slot, time] : aLedger.FleetTimes()) {
    fleetTimes.push_back(json::object{ { "slot", slot },
                                       { "downtime", time.downtime },
                                       { "stranded", time.stranded },
                                       { "total", time.total } });
  }
  return json::serialize(
    json::object{ { "counts", counts }, { "fleet", fleetTimes } });
}

BurnLedger
ParseBurnLedger(std::string_view aText)
{
  BurnLedger ledger;
  const auto object = ParseJsonObject(aText, "report.read", "");
  if (!object) {
    return ledger;
  }
  if (const json::array* const counts = JsonArray(*object, "counts")) {
    for (const json::value& item : *counts) {
      if (const json::object* const count = item.if_object()) {
        ledger.AddCount({ JsonInteger(*count, "slot"),
                          JsonText(*count, "service"),
                          JsonText(*count, "account") },
                        { .good = JsonInteger(*count, "good"),
                          .total = JsonInteger(*count, "total") });
      }
    }
  }
  if (const json::array* const fleetTimes = JsonArray(*object, "fleet")) {
    for (const json::value& item : *fleetTimes) {
      if (const json::object* const time = item.if_object()) {
        ledger.AddFleetTime({ .downtime = NumberOrZero(*time, "downtime"),
                              .stranded = NumberOrZero(*time, "stranded"),
                              .total = NumberOrZero(*time, "total") },
                            JsonInteger(*time, "slot"));
      }
    }
  }
  return ledger;
}

void
BurnLedger::AddCount(Key aKey, const BurnCount& aCount)
{
  BurnCount& count = this->counts[std::move(aKey)];
  count.good += aCount.good;
  count.total += aCount.total;
}

} // namespace apricottrack
