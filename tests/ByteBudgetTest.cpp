#include "http/ByteBudget.h"

#include <catch2/catch.hpp>

using namespace apricottrack;

namespace {

/// An unfinished request and how often it was revoked.
struct Request
{
  Request(ByteBudget& aBudget, std::string aAddress)
    : address(std::move(aAddress))
    , memory(aBudget, this->address, [this] { ++this->revocations; })
  {
  }

  std::string address;
  int revocations = 0;
  ByteBudget::Reservation memory;
};

} // namespace

// Guards against large bodies that exhaust memory together, or that take what
// small bodies need.
TEST_CASE("ByteBudget limits large bodies together and always grants small "
          "ones")
{
  ByteBudget budget({ .totalBytes = 1000, .freeBytesPerBody = 10 });
  ByteBudget::Reservation small(budget);
  {
    ByteBudget::Reservation large(budget);
    CHECK(large.TryGrowTo(600));
    CHECK(large.TryGrowTo(1010));
    CHECK_FALSE(large.TryGrowTo(1011));
    CHECK(small.TryGrowTo(10));
    CHECK_FALSE(small.TryGrowTo(11));
  }
  CHECK(small.TryGrowTo(1010));
  small.Release();
  ByteBudget::Reservation other(budget);
  CHECK(other.TryGrowTo(1010));
}

// Guards against a crowd on one address that keeps others from being served.
TEST_CASE("ByteBudget revokes the oldest unfinished requests of the address "
          "that holds most")
{
  ByteBudget budget({ .totalBytes = 1000, .freeBytesPerBody = 0 });
  Request other(budget, "10.0.0.2");
  Request oldest(budget, "10.0.0.1");
  Request next(budget, "10.0.0.1");
  REQUIRE(other.memory.TryGrowTo(400));
  REQUIRE(oldest.memory.TryGrowTo(300));
  REQUIRE(next.memory.TryGrowTo(300));
  Request caller(budget, "10.0.0.3");
  CHECK(caller.memory.TryGrowTo(200));
  CHECK(oldest.revocations == 1);
  CHECK(oldest.memory.IsRevoked());
  CHECK_FALSE(oldest.memory.TryGrowTo(1));
  CHECK(budget.UsedBytes() == 900);
  // Now the other address holds most.
  CHECK(caller.memory.TryGrowTo(350));
  CHECK(other.revocations == 1);
  CHECK(next.revocations == 0);
  CHECK(budget.UsedBytes() == 650);
  CHECK(budget.GetCounts() == ByteBudget::Counts{ .revoked = 2 });
}

TEST_CASE("ByteBudget revokes the request that asks if it is the oldest of the "
          "address that holds most")
{
  ByteBudget budget({ .totalBytes = 1000, .freeBytesPerBody = 0 });
  Request asking(budget, "10.0.0.1");
  Request other(budget, "10.0.0.2");
  REQUIRE(asking.memory.TryGrowTo(900));
  REQUIRE(other.memory.TryGrowTo(100));
  CHECK_FALSE(asking.memory.TryGrowTo(901));
  CHECK(asking.revocations == 1);
  CHECK(other.revocations == 0);
  CHECK(budget.UsedBytes() == 100);
  CHECK(budget.GetCounts() == ByteBudget::Counts{ .revoked = 1, .refused = 1 });
}

TEST_CASE("ByteBudget revokes no finished request, and none in vain")
{
  ByteBudget budget({ .totalBytes = 1000, .freeBytesPerBody = 10 });
  Request finished(budget, "10.0.0.1");
  REQUIRE(finished.memory.TryGrowTo(810));
  finished.memory.Finish();
  Request unfinished(budget, "10.0.0.1");
  REQUIRE(unfinished.memory.TryGrowTo(110));
  Request asking(budget, "10.0.0.2");
  CHECK_FALSE(asking.memory.TryGrowTo(211));
  CHECK(unfinished.revocations == 0);
  CHECK(asking.memory.TryGrowTo(10));
  // A response takes the place of an unfinished request.
  ByteBudget::Reservation response(budget);
  CHECK(response.TryGrowTo(210));
  CHECK(unfinished.revocations == 1);
  CHECK(finished.revocations == 0);
}

TEST_CASE("ByteBudget has all its bytes back once its reservations have ended")
{
  ByteBudget budget({ .totalBytes = 100, .freeBytesPerBody = 0 });
  {
    Request first(budget, "10.0.0.1");
    Request second(budget, "10.0.0.1");
    Request third(budget, "10.0.0.1");
    REQUIRE(first.memory.TryGrowTo(40));
    REQUIRE(second.memory.TryGrowTo(40));
    second.memory.Finish();
    REQUIRE(third.memory.TryGrowTo(50));
    CHECK(first.revocations == 1);
    third.memory.Release();
    REQUIRE(third.memory.TryGrowTo(60));
  }
  CHECK(budget.UsedBytes() == 0);
  ByteBudget::Reservation whole(budget);
  CHECK(whole.TryGrowTo(100));
}

TEST_CASE("ByteBudget exports its counts")
{
  ByteBudget budget({ .totalBytes = 100, .freeBytesPerBody = 0 });
  ByteBudget::Reservation body(budget);
  REQUIRE(body.TryGrowTo(70));
  REQUIRE_FALSE(body.TryGrowTo(101));
  Counters counters;
  budget.ExportCounts(counters);
  const std::string text = counters.Text();
  CHECK(text.find("caller_memory_bytes 70") != std::string::npos);
  CHECK(text.find("caller_memory_refused 1") != std::string::npos);
  CHECK(text.find("caller_memory_revoked 0") != std::string::npos);
}
