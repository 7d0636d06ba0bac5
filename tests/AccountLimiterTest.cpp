#include "limits/AccountLimiter.h"

#include "apricottrack/Configuration.h"

#include <catch2/catch.hpp>
#include <vector>

using namespace apricottrack;

namespace {

ClientAccount
Account(double aRequests, double aTokens)
{
  ClientAccount account;
  account.name = "shop";
  account.requestsPerSecond = aRequests;
  account.tokensPerSecond = aTokens;
  return account;
}

/// Number of requests that a limiter admits at a constant offered rate.
int
AdmittedCount(AccountLimiter& aLimiter,
              const ClientAccount& aAccount,
              int aOfferedPerSecond,
              int aSeconds)
{
  int admitted = 0;
  for (int i = 0; i < aOfferedPerSecond * aSeconds; ++i) {
    const Instant now{ Duration(seconds(1)) * i / aOfferedPerSecond };
    admitted += aLimiter.Admit(aAccount, 1, now) ? 0 : 1;
  }
  return admitted;
}

} // namespace

TEST_CASE("AccountLimiter at a single node enforces the request limit")
{
  AccountLimiter limiter;
  const int admitted = AdmittedCount(limiter, Account(10, 1e6), 100, 20);
  CHECK(admitted >= 200);
  CHECK(admitted <= 200 + 20);
}

TEST_CASE(
  "AccountLimiter enforces the token limit and returns the time to wait")
{
  AccountLimiter limiter;
  const ClientAccount account = Account(1000, 100);
  CHECK_FALSE(limiter.Admit(account, 150, Instant{}));
  const auto wait = limiter.Admit(account, 100, Instant{});
  REQUIRE(wait);
  CHECK(ToSeconds(*wait) == Approx(0.5).epsilon(0.01));
  CHECK_FALSE(limiter.Admit(account, 100, Instant{} + *wait));
}

TEST_CASE("AccountLimiter returns unused tokens of an estimate to the bucket")
{
  AccountLimiter limiter;
  const ClientAccount account = Account(1000, 100);
  REQUIRE_FALSE(limiter.Admit(account, 200, Instant{}));
  REQUIRE(limiter.Admit(account, 150, Instant{}));
  limiter.ReconcileTokens("shop", 200, 20);
  CHECK_FALSE(limiter.Admit(account, 150, Instant{}));
}

TEST_CASE("LimitShare of nodes with the same view adds up to the limit")
{
  const std::vector<double> demands{ 100, 20, 0, 5 };
  double total = 0;
  double sum = 0;
  for (const double demand : demands) {
    sum += demand;
  }
  for (const double demand : demands) {
    total += LimitShare(50, demand, sum - demand, 4);
  }
  CHECK(total == Approx(50));
  CHECK(LimitShare(50, 0, 125, 4) > 0);
}

TEST_CASE(
  "LimitShare below the limit gives each node a part of the unused rate")
{
  CHECK(LimitShare(200, 0, 100, 2) == Approx(50));
  CHECK(LimitShare(200, 100, 0, 2) == Approx(150));
  AccountLimiter limiter;
  limiter.SetOtherDemand({ { "shop", { 100, 0 } } }, 2);
  const ClientAccount account = Account(200, 1e9);
  int admitted = 0;
  for (int i = 0; i < 100; ++i) {
    const Instant now{ milliseconds(i) };
    admitted += limiter.Admit(account, 1, now) ? 0 : 1;
  }
  CHECK(admitted == 100);
}

TEST_CASE(
  "AccountLimiter at two nodes that share their demand enforces the limit")
{
  AccountLimiter first;
  AccountLimiter second;
  const ClientAccount account = Account(20, 1e6);
  int admitted = 0;
  for (int i = 0; i < 2000; ++i) {
    const Instant now{ milliseconds(10 * i) };
    if (i % 100 == 0) {
      first.SetOtherDemand(second.OwnDemand(now), 2);
      second.SetOtherDemand(first.OwnDemand(now), 2);
    }
    admitted += first.Admit(account, 1, now) ? 0 : 1;
    if (i % 5 == 0) {
      admitted += second.Admit(account, 1, now) ? 0 : 1;
    }
  }
  CHECK(admitted <= 20 * 20 * 1.15 + 40);
  CHECK(admitted >= 20 * 20 * 0.85);
}
