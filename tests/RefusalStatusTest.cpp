#include "retry/RefusalStatus.h"

#include <catch2/catch.hpp>
#include <set>

using namespace apricottrack;

TEST_CASE("RefusalStatus states not run with four statuses")
{
  std::set<unsigned> statuses;
  for (unsigned status = 100; status < 600; ++status) {
    if (StatesNotRun(status)) {
      statuses.insert(status);
    }
  }
  CHECK(statuses == std::set<unsigned>{ 408, 421, 429, 503 });
}
