#include "fleet/RelayBudget.h"

#include <catch2/catch.hpp>

using namespace apricottrack;

namespace {

constexpr Instant kStart{ seconds(100) };
constexpr std::size_t kCatalogBytes = 60'000;

RelayBudget
MakeBudget(double aMegabitsPerSecond)
{
  return RelayBudget(
    RelayBudget::Options{ .linkBytesPerSecond = aMegabitsPerSecond * 1e6 / 8 });
}

/// Number of nodes that are sent the catalog when all ask at once.
int
SentAtOnce(RelayBudget& aBudget, int aNodes, Instant aNow)
{
  int sent = 0;
  for (int i = 0; i < aNodes; ++i) {
    sent += aBudget.TryTake(kCatalogBytes, aNow) ? 1 : 0;
  }
  return sent;
}

} // namespace

// The load: 30 nodes ask a planner's node with a narrow link for each of many
// catalogs in quick succession.
TEST_CASE("RelayBudget leaves most of a narrow link to other traffic")
{
  const double link = 52e6 / 8;
  RelayBudget budget = MakeBudget(52);
  double sentBytes = 0;
  for (int i = 0; i < 10; ++i) {
    const int sent = SentAtOnce(budget, 30, kStart + i * milliseconds(450));
    CHECK(sent * kCatalogBytes <= 0.1 * link);
    sentBytes += static_cast<double>(sent * kCatalogBytes);
  }
  CHECK(sentBytes <= 0.1 * link + 0.2 * link * 9 * 0.45);
  CHECK(sentBytes > 0.1 * link);
}

TEST_CASE("RelayBudget lets a wide link carry the catalog for all nodes")
{
  RelayBudget budget = MakeBudget(1000);
  CHECK(SentAtOnce(budget, 83, kStart) == 83);
}

TEST_CASE("RelayBudget sets no bound on a link of unknown width")
{
  RelayBudget budget{ RelayBudget::Options{} };
  CHECK(SentAtOnce(budget, 1000, kStart) == 1000);
}

TEST_CASE("RelayBudget refills with time, up to its burst")
{
  RelayBudget budget = MakeBudget(52);
  const int first = SentAtOnce(budget, 1000, kStart);
  REQUIRE(first > 0);
  CHECK(SentAtOnce(budget, 1000, kStart) == 0);
  CHECK(SentAtOnce(budget, 1000, kStart + seconds(60)) == first);
}
