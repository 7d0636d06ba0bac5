#ifndef APRICOTTRACK_REPORT_BURNREPORT_H
#define APRICOTTRACK_REPORT_BURNREPORT_H

#include "apricottrack/Configuration.h"
#include "report/BurnLedger.h"

#include <string>
#include <vector>

namespace apricottrack {

/// How fast a service or account consumed its error budget in one window.
struct BurnWindow
{
  /// Length of the window, such as "5m".
  std::string label;
  BurnCount count;
  /// Share of requests that were not good, divided by the share that the
  /// objective allows; above 1 the objective is missed.
  double burnRate = 0;

  friend bool operator==(const BurnWindow&, const BurnWindow&) = default;
};

/// One line of the burn report: a service, for one account or for all.
struct BurnRow
{
  std::string service;
  /// Empty for the sum over all accounts.
  std::string account;
  /// The service's objective: share of requests, from 0 to 1, that must succeed
  /// with their first token in time.
  double target = 0;
  std::vector<BurnWindow> windows;
  /// Share of the error budget of the last 24 h that remains; negative if it
  /// is overspent.
  double budgetLeft = 1;

  friend bool operator==(const BurnRow&, const BurnRow&) = default;
};

/// Makes a row for each configured service, followed by a row for each
/// configured account that sent it requests in the last 24 h.
std::vector<BurnRow>
MakeBurnRows(const Configuration& aConfiguration,
             const BurnLedger& aLedger,
             UnixMillis aNow);

/// Renders the rows and the fleet totals as a plain-text table.
std::string
RenderBurnText(const std::vector<BurnRow>& aRows, const BurnLedger& aLedger);

/// Renders the rows and plots of the last 24 h as an HTML page that loads no
/// other resource.
std::string
RenderBurnHtml(const Configuration& aConfiguration,
               const std::vector<BurnRow>& aRows,
               const BurnLedger& aLedger,
               UnixMillis aNow);

} // namespace apricottrack

#endif
