#include "report/BurnReport.h"

#include <catch2/catch.hpp>

using namespace apricottrack;

namespace {

constexpr UnixMillis kNow = 1'000 * BurnLedger::kSlotMillis;

Configuration
MakeConfiguration()
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
MakeLedger()
{
  BurnLedger ledger;
  for (int i = 0; i < 100; ++i) {
    ledger.RecordRequest("s", "shop", i % 5 != 0, kNow - 3'000'000);
  }
  for (int i = 0; i < 10; ++i) {
    ledger.RecordRequest("s", "shop", true, kNow);
  }
  return ledger;
}

} // namespace

TEST_CASE("MakeBurnRows divides each window's missed share by the error budget")
{
  const auto rows = MakeBurnRows(MakeConfiguration(), MakeLedger(), kNow);
  REQUIRE(rows.size() == 2);
  CHECK(rows[0].windows[0].burnRate == 0);
  CHECK(rows[0].windows[1].burnRate == Approx(20.0 / 110 / 0.1));
  CHECK(rows[1].account == "shop");
  CHECK(rows[0].budgetLeft == Approx(1 - 20.0 / 110 / 0.1));
}

TEST_CASE("BurnLedger round-trips as text, merges nodes and prunes old slots")
{
  BurnLedger ledger = MakeLedger();
  ledger.AddFleetTime({ .downtime = 1, .stranded = 2, .total = 10 }, kNow);
  BurnLedger parsed = ParseBurnLedger(EncodeBurnLedger(ledger));
  CHECK(parsed.Counts() == ledger.Counts());
  CHECK(parsed.FleetTimes() == ledger.FleetTimes());
  parsed.Merge(ledger);
  CHECK(parsed.Sum("s", "", 0).total == 220);
  CHECK(parsed.FleetTimes().begin()->second.total == 10);
  parsed.Prune(kNow + 2 * BurnLedger::kRetentionMillis);
  CHECK(parsed.Counts().empty());
  CHECK(ParseBurnLedger("nonsense").Counts().empty());
}

TEST_CASE("RenderBurnHtml escapes names and loads no other resource")
{
  const Configuration configuration = MakeConfiguration();
  const auto rows = MakeBurnRows(configuration, MakeLedger(), kNow);
  const std::string page =
    RenderBurnHtml(configuration, rows, MakeLedger(), kNow);
  CHECK(page.find("&lt;firm&gt;") != std::string::npos);
  CHECK(page.find("<svg") != std::string::npos);
  CHECK(page.find("http") == std::string::npos);
}
