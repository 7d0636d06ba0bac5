#include "report/BurnReport.h"

#include <algorithm>
#include <fmt/format.h>
#include <functional>
#include <set>

namespace apricottrack {

namespace {

/// A report window that ends now; length in milliseconds.
struct Window
{
  std::string_view label;
  UnixMillis length;
};

constexpr Window kWindows[] = { { "5m", 300'000 },
                                { "1h", 3'600'000 },
                                { "6h", 21'600'000 },
                                { "24h", 86'400'000 } };
/// Size of a plot in SVG units.
constexpr int kPlotWidth = 760;
constexpr int kPlotHeight = 150;

/// Returns the share of missed requests, divided by the share that an objective
/// of aObjective allows; zero without requests.
double
BurnRate(const BurnCount& aCount, double aObjective)
{
  const double missed = static_cast<double>(aCount.total - aCount.good);
  return aCount.total == 0
           ? 0
           : missed / static_cast<double>(aCount.total) / (1 - aObjective);
}

BurnRow
MakeBurnRow(const Service& aService,
            const std::string& aAccount,
            const BurnLedger& aLedger,
            UnixMillis aNow)
{
  BurnRow row{ .service = aService.name,
               .account = aAccount,
               .target = aService.objective.target };
  for (const Window& window : kWindows) {
    // One slot more, so that the slot in which the window starts counts too.
    const BurnCount count = aLedger.Sum(
      aService.name, aAccount, aNow - window.length - BurnLedger::kSlotMillis);
    row.windows.push_back({ .label = std::string(window.label),
                            .count = count,
                            .burnRate = BurnRate(count, row.target) });
  }
  row.budgetLeft = 1 - row.windows.back().burnRate;
  return row;
}

FleetTime
SumFleetTime(const BurnLedger& aLedger)
{
  FleetTime sum;
  for (const auto& [slot, time] : aLedger.FleetTimes()) {
    sum.downtime += time.downtime;
    sum.stranded += time.stranded;
    sum.total += time.total;
  }
  return sum;
}

double
Share(double aPart, double aWhole)
{
  return aWhole > 0 ? aPart / aWhole : 0;
}

std::string
EscapeHtml(std::string_view aText)
{
  std::string escaped;
  for (const char byte : aText) {
    switch (byte) {
      case '&':
        escaped += "&amp;";
        break;
      case '<':
        escaped += "&lt;";
        break;
      case '>':
        escaped += "&gt;";
        break;
      default:
        escaped.push_back(byte);
    }
  }
  return escaped;
}

/// Returns the value to plot for the slot that starts at the given time.
using SlotValueCallback = std::function<double(UnixMillis aSlot)>;

/// Draws one bar for each slot of the last 24 h, scaled to the highest value.
std::string
RenderPlot(std::string_view aTitle,
           std::string_view aUnit,
           std::string_view aColour,
           UnixMillis aNow,
           const SlotValueCallback& aValueAt)
{
  constexpr int kSlots =
    static_cast<int>(BurnLedger::kRetentionMillis / BurnLedger::kSlotMillis);
  const UnixMillis last = aNow - aNow % BurnLedger::kSlotMillis;
  double highest = 0;
  std::vector<double> values;
  for (int i = 0; i < kSlots; ++i) {
    const UnixMillis slot = last - (kSlots - 1 - i) * BurnLedger::kSlotMillis;
    values.push_back(aValueAt(slot));
    highest = std::max(highest, values.back());
  }
  const double width = static_cast<double>(kPlotWidth) / kSlots;
  std::string bars;
  for (int i = 0; i < kSlots; ++i) {
    const double value = values[static_cast<std::size_t>(i)];
    if (value > 0) {
      const double height = kPlotHeight * value / highest;
      bars += fmt::format("<rect x='{:.1f}' y='{:.1f}' width='{:.1f}' "
                          "height='{:.1f}' fill='{}'/>",
                          i * width,
                          kPlotHeight - height,
                          std::max(1.0, width - 0.5),
                          height,
                          aColour);
    }
  }
  return fmt::format(
    "<figure><figcaption>{} <small>highest {:.3g} {}</small></figcaption>"
    "<svg viewBox='0 0 {} {}' role='img'><rect width='100%' height='100%' "
    "fill='#f4f5f7'/>{}</svg><div class='axis'><span>24 h ago</span>"
    "<span>12 h</span><span>now</span></div></figure>\n",
    EscapeHtml(aTitle),
    highest,
    aUnit,
    kPlotWidth,
    kPlotHeight,
    bars);
}

std::string
RenderHtmlRow(const BurnRow& aRow)
{
  std::string cells =
    fmt::format("<td>{}</td><td>{}</td><td>{:.2f} %</td>",
                EscapeHtml(aRow.service),
                aRow.account.empty() ? "<b>all</b>" : EscapeHtml(aRow.account),
                aRow.target * 100);
  for (const BurnWindow& window : aRow.windows) {
    cells += fmt::format("<td class='{}'>{:.2f}<small> of {}</small></td>",
                         window.burnRate > 1 ? "bad" : "good",
                         window.burnRate,
                         window.count.total);
  }
  return fmt::format("<tr>{}<td class='{}'>{:.0f} %</td></tr>\n",
                     cells,
                     aRow.budgetLeft < 0 ? "bad" : "good",
                     aRow.budgetLeft * 100);
}

} // namespace

std::vector<BurnRow>
MakeBurnRows(const Configuration& aConfiguration,
             const BurnLedger& aLedger,
             UnixMillis aNow)
{
  std::set<std::pair<std::string, std::string>> activeAccounts;
  for (const auto& [key, count] : aLedger.Counts()) {
    activeAccounts.emplace(std::get<1>(key), std::get<2>(key));
  }
  std::vector<BurnRow> rows;
  for (const Service& service : aConfiguration.services) {
    rows.push_back(MakeBurnRow(service, "", aLedger, aNow));
    for (const ClientAccount& account : aConfiguration.accounts) {
      if (activeAccounts.contains({ service.name, account.name })) {
        rows.push_back(MakeBurnRow(service, account.name, aLedger, aNow));
      }
    }
  }
  return rows;
}

std::string
RenderBurnText(const std::vector<BurnRow>& aRows, const BurnLedger& aLedger)
{
  std::string text =
    fmt::format("{:<16}{:<14}{:>8}", "service", "account", "target");
  for (const Window& window : kWindows) {
    text += fmt::format("{:>10}", fmt::format("burn {}", window.label));
  }
  text += fmt::format("{:>10}{:>13}\n", "requests", "budget left");
  for (const BurnRow& row : aRows) {
    text += fmt::format("{:<16}{:<14}{:>8.4f}",
                        row.service,
                        row.account.empty() ? "(all)" : row.account,
                        row.target);
    for (const BurnWindow& window : row.windows) {
      text += fmt::format("{:>10.2f}", window.burnRate);
    }
    text += fmt::format("{:>10}{:>12.0f}%\n",
                        row.windows.back().count.total,
                        row.budgetLeft * 100);
  }
  const FleetTime fleet = SumFleetTime(aLedger);
  return text +
         fmt::format(
           "group downtime {:.3f}% and stranded {:.3f}% of {:.0f} VM-seconds\n",
           100 * Share(fleet.downtime, fleet.total),
           100 * Share(fleet.stranded, fleet.total),
           fleet.total);
}

std::string
RenderBurnHtml(const Configuration& aConfiguration,
               const std::vector<BurnRow>& aRows,
               const BurnLedger& aLedger,
               UnixMillis aNow)
{
  std::string page =
    "<!doctype html><html lang='en'><meta charset='utf-8'>"
    "<title>Service-level burn</title><style>"
    "body{font:15px system-ui,sans-serif;max-width:800px;margin:2em auto;"
    "color:#1d2433}table{border-collapse:collapse;width:100%}"
    "td,th{padding:.35em .6em;text-align:left;border-bottom:1px solid #dde}"
    "small{color:#667}.bad{color:#b3261e;font-weight:600}.good{color:#1b6e3c}"
    "figure{margin:1.5em 0}figcaption{font-weight:600;margin-bottom:.3em}"
    "svg{width:100%;display:block}.axis{display:flex;color:#667;"
    "justify-content:space-between;font-size:12px}</style>\n";
  page += fmt::format("<h1>{}: service-level burn</h1>"
                      "<p>A burn rate of 1 consumes exactly the error budget; "
                      "above 1 the objective is missed.</p><table><tr>"
                      "<th>service<th>account<th>target",
                      EscapeHtml(aConfiguration.firm));
  for (const Window& window : kWindows) {
    page += fmt::format("<th>{}", window.label);
  }
  page += "<th>budget left</tr>\n";
  for (const BurnRow& row : aRows) {
    page += RenderHtmlRow(row);
  }
  page += "</table>\n";
  for (const Service& service : aConfiguration.services) {
    // The count of one slot is the difference of two sums that run up to now.
    const auto burnRateAt = [&](UnixMillis aSlot) {
      const BurnCount later =
        aLedger.Sum(service.name, "", aSlot + BurnLedger::kSlotMillis);
      BurnCount count = aLedger.Sum(service.name, "", aSlot);
      count.good -= later.good;
      count.total -= later.total;
      return BurnRate(count, service.objective.target);
    };
    page += RenderPlot(
      service.name + ": burn rate", "x budget", "#b3261e", aNow, burnRateAt);
  }
  const auto fleetShare = [&](double FleetTime::*aPart) {
    return [&aLedger, aPart](UnixMillis aSlot) {
      const auto found = aLedger.FleetTimes().find(aSlot);
      return found == aLedger.FleetTimes().end()
               ? 0
               : 100 * Share(found->second.*aPart, found->second.total);
    };
  };
  page += RenderPlot("Group downtime",
                     "% of VM time",
                     "#8a5a00",
                     aNow,
                     fleetShare(&FleetTime::downtime));
  page += RenderPlot("Stranded VMs",
                     "% of VM time",
                     "#3b5b92",
                     aNow,
                     fleetShare(&FleetTime::stranded));
  return page + "</html>\n";
}

} // namespace apricottrack
