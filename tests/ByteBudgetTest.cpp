#include "http/ByteBudget.h"

#include <catch2/catch.hpp>

using namespace apricottrack;

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
