#include "catalog/CatalogHolder.h"

#include <catch2/catch.hpp>

using namespace apricottrack;

namespace {

constexpr Instant kStart{ seconds(1000) };

Catalog
MakeCatalog(std::int64_t aVersion)
{
  return {
    .version = aVersion,
    .routes = { { .name = "all", .host = "a.example", .prefix = "/" },
                { .name = "deep", .host = "a.example", .prefix = "/x/y/" },
                { .name = "mid", .host = "a.example", .prefix = "/x/" },
                { .name = "other", .host = "b.example", .prefix = "/x/" } },
    .accounts = { { .name = "acme", .keys = { "k1", "k2" } } }
  };
}

std::string
RouteName(const CatalogIndex& aIndex,
          std::string_view aHost,
          std::string_view aPath)
{
  const CatalogRoute* const route = aIndex.FindRoute(aHost, aPath);
  return route == nullptr ? "none" : route->name;
}

} // namespace

TEST_CASE("CatalogIndex finds the route with the longest matching prefix")
{
  const CatalogIndex index(MakeCatalog(1));
  CHECK(RouteName(index, "a.example", "/x/y/z") == "deep");
  CHECK(RouteName(index, "A.Example:8080", "/x/y") == "mid");
  CHECK(RouteName(index, "a.example", "/x/yy/z?q=/x/y/") == "mid");
  CHECK(RouteName(index, "a.example", "/else") == "all");
  CHECK(RouteName(index, "b.example", "/else") == "none");
  CHECK(RouteName(index, "c.example", "/x/") == "none");
}

TEST_CASE("CatalogIndex finds the account of a key, case-sensitively")
{
  const CatalogIndex index(MakeCatalog(1));
  REQUIRE(index.FindAccount("k2") != nullptr);
  CHECK(index.FindAccount("k2")->name == "acme");
  CHECK(index.FindAccount("") == nullptr);
  CHECK(index.FindAccount("K1") == nullptr);
}

TEST_CASE("CatalogHolder ignores a catalog of an older version")
{
  CatalogHolder holder(CatalogHolder::Options{});
  CHECK(holder.Apply(MakeCatalog(5), kStart));
  CHECK_FALSE(holder.Apply(MakeCatalog(4), kStart + seconds(1)));
  CHECK(holder.Current()->Contents().version == 5);
  CHECK(holder.VerificationAge(kStart + seconds(2)) == seconds(2));
}

// Guards against accepting a revoked key for longer than its bound while the
// store is unreachable.
TEST_CASE("CatalogHolder accepts keys only within the maximum verification age")
{
  CatalogHolder holder(
    CatalogHolder::Options{ .maxVerificationAge = seconds(4) });
  CHECK_FALSE(holder.MayAcceptKeys(kStart));
  holder.Apply(MakeCatalog(1), kStart);
  CHECK(holder.MayAcceptKeys(kStart + milliseconds(3999)));
  CHECK_FALSE(holder.MayAcceptKeys(kStart + seconds(4)));
  holder.ConfirmCurrent(kStart + seconds(3));
  CHECK(holder.MayAcceptKeys(kStart + seconds(6)));
  // The result of an earlier read, received late, does not move the
  // verification time back.
  holder.ConfirmCurrent(kStart + seconds(1));
  CHECK(holder.MayAcceptKeys(kStart + seconds(6)));
  CHECK_FALSE(holder.MayAcceptKeys(kStart + seconds(7)));
}

// Guards against planning that takes a service's requests for repeatable.
TEST_CASE("LongestUnrepeatableTimeout considers all routes to a service")
{
  const auto route = [](RouteKind aKind, bool aResumable, int aSeconds) {
    return CatalogRoute{ .kind = aKind,
                         .resumable = aResumable,
                         .timeout = seconds(aSeconds),
                         .services = { { .service = "x" },
                                       { .service = "y" } } };
  };
  Catalog catalog;
  catalog.routes = { route(RouteKind::kIdempotent, false, 50),
                     route(RouteKind::kStream, true, 40) };
  CHECK(LongestUnrepeatableTimeout(catalog, "y") == Duration::zero());
  catalog.routes.push_back(route(RouteKind::kStream, false, 9));
  catalog.routes.push_back(route(RouteKind::kNonIdempotent, false, 7));
  CHECK(LongestUnrepeatableTimeout(catalog, "y") == seconds(9));
  CHECK(LongestUnrepeatableTimeout(catalog, "z") == Duration::zero());
}
