#include "report/BurnReport.h"

#include <catch2/catch.hpp>

using namespace apricottrack;

namespace {

constexpr UnixMillis kNow = 1'000 * BurnLedger::kSlotMillis;

Configuration
OneService()
{
  Configuration configuration;
  configuration.firm = "<firm>";
  configuration.accounts = { { .name = "shop" } };
  configuration.services = { { .name = "s" } };
  configuration.services[0].objective.target = 0.9;
  return configuration;
}

/// A hundred requests 50 minutes ago, of which one in five missed the
/// objective, and ten good requests now.
BurnLedger
Ledger()
{
  BurnLedger ledger;
  for (int i = 0; i < 100; ++i) {
    ledger.Count("s", "shop", i % 5 != 0, kNow - 3'000'000);
  }
  for (int i = 0; i < 10; ++i) {
    ledger.Count("s", "shop", true, kNow);
  }
  return ledger;
}

} // namespace

TEST_CASE("MakeBurnRows divides each window's missed share by the error budget")
{
  const auto rows = MakeBurnRows(OneService(), Ledger(), kNow);
  REQUIRE(rows.size() == 2);
  CHECK(rows[0].windows[0].burnRate == 0);
  CHECK(rows[0].windows[1].burnRate == Approx(20.0 / 110 / 0.1));
  CHECK(rows[1].account == "shop");
  CHECK(rows[0].budgetLeft == Approx(1 - 20.0 / 110 / 0.1));
}

TEST_CASE("BurnLedger round-trips as text, merges nodes and prunes old slots")
{
  BurnLedger ledger = Ledger();
  ledger.CountFleet({ .downtime = 1, .stranded = 2, .total = 10 }, kNow);
  BurnLedger parsed = ParseBurnLedger(EncodeBurnLedger(ledger));
  CHECK(parsed.Counts() == ledger.Counts());
  CHECK(parsed.Fleet() == ledger.Fleet());
  parsed.Merge(ledger);
  CHECK(parsed.Sum("s", "", 0).total == 220);
  CHECK(parsed.Fleet().begin()->second.total == 10);
  parsed.Prune(kNow + 2 * BurnLedger::kKeptMillis);
  CHECK(parsed.Counts().empty());
  CHECK(ParseBurnLedger("nonsense").Counts().empty());
}

TEST_CASE("RenderBurnHtml escapes names and loads no other resource")
{
  const Configuration configuration = OneService();
  const auto rows = MakeBurnRows(configuration, Ledger(), kNow);
  const std::string page = RenderBurnHtml(configuration, rows, Ledger(), kNow);
  CHECK(page.find("&lt;firm&gt;") != std::string::npos);
  CHECK(page.find("<svg") != std::string::npos);
  CHECK(page.find("http") == std::string::npos);
}
