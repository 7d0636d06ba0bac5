#include "TargetResponses.h"

using namespace apricottrack;

namespace {

constexpr Duration kTestLimit = seconds(10);
constexpr Duration kTimeout = seconds(5);

Catalog
WithRoute(std::int64_t aVersion, const Catalog& aCatalog)
{
  Catalog catalog = aCatalog;
  catalog.version = aVersion;
  CatalogRoute route = catalog.routes.front();
  route.name = "new";
  route.prefix = "/new/";
  catalog.routes.push_back(route);
  return catalog;
}

/// A node whose catalog was verified at a time that the test chooses, and a
/// newer one in the store.
struct CatalogHarness : ServingHarness
{
  explicit CatalogHarness(Duration aAge)
  {
    this->known = this->context.catalog.Current()->Contents();
    this->context.catalog = CatalogHolder(
      CatalogHolder::Options{ .maxVerificationAge = seconds(600) });
    this->context.catalog.Apply(this->known, MonotonicNow() - aAge);
    this->context.confirmCatalog = [this](Instant) -> Task<bool> {
      ++this->reads;
      if (!this->isStoreUp) {
        co_return false;
      }
      const Instant sentAt = MonotonicNow();
      asio::steady_timer timer(this->io, milliseconds(10));
      co_await timer.async_wait(kAsTuple);
      this->context.catalog.Apply(this->stored.value_or(this->known), sentAt);
      co_return true;
    };
    this->AddTarget("t1", [](TargetConnection& aConnection, int) -> Task<void> {
      while (!(co_await aConnection.ReadRequest()).empty()) {
        co_await aConnection.Write(
          PlainResponse(200, "X-Signed: 1\r\nX-Attempt: a\r\n", "b"));
      }
    });
  }

  std::string CallPath(std::string aPath)
  {
    std::string response;
    REQUIRE(this->Run(
      [&]() -> Task<void> {
        response = co_await this->Call(aPath, "a", kTimeout);
      },
      kTestLimit));
    return response;
  }

  Catalog known;
  std::optional<Catalog> stored;
  bool isStoreUp = true;
  int reads = 0;
};

} // namespace

// Guards against a route that was added being refused as by an older catalog.
TEST_CASE("RequestFlow reads the catalog before it refuses by an old one")
{
  CatalogHarness harness(seconds(3));
  harness.stored = WithRoute(2, harness.known);
  CHECK(StatusOf(harness.CallPath("/new/x")) == 200);
  CHECK(harness.reads == 1);
}

TEST_CASE("RequestFlow refuses an unknown route by a catalog that was verified "
          "recently")
{
  CatalogHarness harness(milliseconds(100));
  CHECK(StatusOf(harness.CallPath("/new/x")) == 404);
  CHECK(harness.reads == 0);
}

TEST_CASE("RequestFlow refuses an unknown route once the catalog is verified")
{
  CatalogHarness harness(seconds(3));
  CHECK(StatusOf(harness.CallPath("/new/x")) == 404);
  CHECK(harness.reads == 1);
}

TEST_CASE(
  "RequestFlow makes no statement on an unknown route by a catalog that "
  "it cannot verify")
{
  CatalogHarness harness(seconds(3));
  harness.isStoreUp = false;
  const std::string response = harness.CallPath("/new/x");
  CHECK(StatusOf(response) == 503);
  CHECK(response.find("Retry-After") != std::string::npos);
  CHECK(StatusOf(harness.CallPath("/once/x")) == 200);
}
