#include "membership/DemandLedger.h"

namespace apricottrack {

DemandLedger::DemandLedger(Duration aReportLifetime)
  : reportLifetime(aReportLifetime)
{
}

void
DemandLedger::RecordReport(const std::string& aNode,
                           const Demands& aDemands,
                           Instant aNow)
{
  for (const auto& [account, rates] : aDemands) {
    this->entries[account][aNode] = Entry{ .rates = rates, .at = aNow };
  }
}

Rates
DemandLedger::DemandOfOthers(const std::string& aNode,
                             const std::string& aAccount,
                             Instant aNow) const
{
  Rates others;
  const auto found = this->entries.find(aAccount);
  if (found == this->entries.end()) {
    return others;
  }
  for (const auto& [node, entry] : found->second) {
    if (node != aNode && aNow - entry.at <= this->reportLifetime) {
      others.requests += entry.rates.requests;
      others.tokens += entry.rates.tokens;
    }
  }
  return others;
}

void
DemandLedger::Prune(Instant aNow)
{
  for (auto& [account, nodes] : this->entries) {
    std::erase_if(nodes, [&](const auto& aNode) {
      return aNow - aNode.second.at > this->reportLifetime;
    });
  }
  std::erase_if(this->entries,
                [](const auto& aAccount) { return aAccount.second.empty(); });
}

} // namespace apricottrack
