#ifndef APRICOTTRACK_REPORT_BURNREPORT_H
#define APRICOTTRACK_REPORT_BURNREPORT_H

#include "apricottrack/Configuration.h"
#include "report/BurnLedger.h"

#include <string>
#include <vector>

namespace apricottrack {

/// How fast a service or account used up its error budget in one window.
struct BurnWindow
{
  std::string label;
  BurnCount count;
  /// One means that the budget lasts exactly as long as the objective says.
  double burnRate = 0;

  friend bool operator==(const BurnWindow&, const BurnWindow&) = default;
};

struct BurnRow
{
  std::string service;
  /// Empty: all accounts together.
  std::string account;
  double target = 0;
  std::vector<BurnWindow> windows;
  /// Share of the day's error budget that is left; negative if overspent.
  double budgetLeft = 1;

  friend bool operator==(const BurnRow&, const BurnRow&) = default;
};

/// One row per service, then one per account with requests.
std::vector<BurnRow>
MakeBurnRows(const Configuration& aConfiguration,
             const BurnLedger& aLedger,
             UnixMillis aNow);

std::string
RenderBurnText(const std::vector<BurnRow>& aRows, const BurnLedger& aLedger);

/// One self-contained page with plots.
std::string
RenderBurnHtml(const Configuration& aConfiguration,
               const std::vector<BurnRow>& aRows,
               const BurnLedger& aLedger,
               UnixMillis aNow);

} // namespace apricottrack

#endif
