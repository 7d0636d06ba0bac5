#include "membership/PeerMessages.h"

#include "membership/NodeDirectory.h"

#include <catch2/catch.hpp>
#include <random>

using namespace apricottrack;

TEST_CASE("PeerMessages decode to the values that were encoded")
{
  const std::vector<PeerMessage> messages{
    DemandReport{ .node = "n",
                  .configurationVersion = 3,
                  .demands = { { "a", { 1.5, 200 } } } },
    DemandTotals{ .configurationVersion = 4, .totals = { { "b", { 2, 3 } } } },
    ConfigurationRequest{ .knownVersion = 9 },
    StoredConfiguration{ .version = 5,
                         .submission = "s",
                         .submittedAt = 7,
                         .text = "firm = \"f\"" },
    FleetQuestion{
      .node = "n",
      .limits = { { .target = "t", .limit = 0, .age = milliseconds(30) } },
      .forwardAddress = "f" },
    FleetAnswer{
      .source = "s",
      .limits = { { .target = "t", .limit = 2.5, .age = milliseconds(40) },
                  { .target = "u",
                    .limit = std::nullopt,
                    .age = milliseconds(50) } },
      .forwardAddresses = { "g", "h" },
      .evacuatedZones = { "z" },
      .evacuationRevision = 12,
      .coldTargets = { { .target = "t",
                         .rate = 17,
                         .remaining = milliseconds(900) } } },
    CrashReport{
      .node = "n",
      .lostRequests = { { .target = "t",
                          .parts = { "p", "q" },
                          .attempt = "a",
                          .runTime = milliseconds(60),
                          .age = milliseconds(70) } },
      .partAnswers = { { .part = "p", .count = 8 } },
      .quarantinedParts = { { .parts = { "r" }, .remaining = seconds(9) } } },
    CrashVerdict{ .suspectedParts = { "p", "s" },
                  .quarantinedParts = { { .parts = { "p", "q" },
                                          .remaining = seconds(10) } } },
  };
  for (const PeerMessage& message : messages) {
    const auto parsed = ParsePeerMessage(EncodePeerMessage(message), "p");
    REQUIRE(parsed);
    CHECK(*parsed == message);
  }
}

TEST_CASE("PeerMessages reject or decode corrupted bytes without crashing")
{
  DemandReport report{ .node = "n", .demands = { { "a", { 1, 2 } } } };
  const std::string validBytes = EncodePeerMessage(report);
  std::mt19937_64 random(7);
  int rejected = 0;
  for (int i = 0; i < 20'000; ++i) {
    std::string bytes = validBytes;
    const int flips = 1 + static_cast<int>(random() % 4);
    for (int flip = 0; flip < flips; ++flip) {
      bytes[random() % bytes.size()] = static_cast<char>(random());
    }
    bytes.resize(random() % 2 == 0 ? bytes.size() : random() % bytes.size());
    rejected += ParsePeerMessage(bytes, "p") ? 0 : 1;
  }
  CHECK(rejected > 1000);
}

// Guards against an owner hash that reassigns most accounts, and so loses their
// demand totals, whenever one node is lost.
TEST_CASE("NodeDirectory reassigns only the accounts of a removed node")
{
  NodeDirectory directory("n0");
  for (int i = 0; i < 20; ++i) {
    directory.Set({ .node = "n" + std::to_string(i) });
  }
  std::map<std::string, int> ownedCounts;
  std::map<std::string, std::string> ownersBefore;
  for (int i = 0; i < 2000; ++i) {
    const std::string account = "a" + std::to_string(i);
    ownersBefore[account] = directory.OwnerOf(account);
    ++ownedCounts[ownersBefore[account]];
  }
  CHECK(ownedCounts.size() == 20);
  directory.Remove("n7");
  int moved = 0;
  for (const auto& [account, owner] : ownersBefore) {
    moved += directory.OwnerOf(account) != owner ? 1 : 0;
  }
  CHECK(moved == ownedCounts["n7"]);
}

TEST_CASE("DemandLedger ignores reports older than their lifetime")
{
  DemandLedger ledger(seconds(4));
  ledger.RecordReport("n1", { { "a", { 5, 50 } } }, Instant{ seconds(1) });
  ledger.RecordReport("n2", { { "a", { 7, 70 } } }, Instant{ seconds(3) });
  CHECK(ledger.DemandOfOthers("n3", "a", Instant{ seconds(4) }).requests == 12);
  CHECK(ledger.DemandOfOthers("n2", "a", Instant{ seconds(4) }).requests == 5);
  CHECK(ledger.DemandOfOthers("n3", "a", Instant{ seconds(6) }).requests == 7);
}

// Guards against a collector whose loss leaves no node that had its reports.
TEST_CASE("NodeDirectory names the next owner of a key beside the present one")
{
  NodeDirectory directory("n0");
  CHECK(directory.OwnersOf("k", 2) == std::vector<std::string>{ "n0" });
  for (int i = 1; i < 20; ++i) {
    directory.Set({ .node = "n" + std::to_string(i) });
  }
  const std::vector<std::string> owners = directory.OwnersOf("k", 2);
  REQUIRE(owners.size() == 2);
  CHECK(owners[0] != owners[1]);
  CHECK(owners[0] == directory.OwnerOf("k"));
  if (owners[0] != "n0") {
    directory.Remove(owners[0]);
    CHECK(directory.OwnerOf("k") == owners[1]);
  }
}
