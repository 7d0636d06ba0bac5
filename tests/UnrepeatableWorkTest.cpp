#include "replicas/UnrepeatableWork.h"

#include <catch2/catch.hpp>

using namespace apricottrack;

// Guards against requests that are cut because their route has changed since.
TEST_CASE("UnrepeatableWork lasts until the requests of a former route end")
{
  const auto makeCatalog = [](RouteKind aKind, Duration aTimeout) {
    return std::make_shared<const CatalogIndex>(
      Catalog{ .routes = { { .kind = aKind,
                             .timeout = aTimeout,
                             .services = { { .service = "x" } } } } });
  };
  const CatalogPointer first =
    makeCatalog(RouteKind::kNonIdempotent, seconds(10));
  const CatalogPointer shorter =
    makeCatalog(RouteKind::kNonIdempotent, seconds(4));
  const CatalogPointer repeatable =
    makeCatalog(RouteKind::kIdempotent, seconds(10));
  UnrepeatableWork work;
  const Instant start{ seconds(100) };
  CHECK(work.LongestTimeout(first, "x", start) == seconds(10));
  CHECK(work.LongestTimeout(first, "x", start + seconds(30)) == seconds(10));
  CHECK(work.LongestTimeout(shorter, "x", start + seconds(31)) == seconds(10));
  CHECK(work.LongestTimeout(shorter, "x", start + seconds(41)) == seconds(4));
  CHECK(work.LongestTimeout(repeatable, "x", start + seconds(42)) ==
        seconds(4));
  CHECK(work.LongestTimeout(repeatable, "x", start + seconds(46)) ==
        Duration::zero());
  CHECK(UnrepeatableWork().LongestTimeout(first, "y", start) ==
        Duration::zero());
}
