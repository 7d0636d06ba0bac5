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
    this->io.restart();
    REQUIRE(this->Run(
      [&]() -> Task<void> {
        response = co_await this->Call(aPath, "a", kTimeout);
      },
      kTestLimit));
    return response;
  }

  std::string Forward(std::string_view aPath, std::int64_t aVersion)
  {
    std::string response;
    this->io.restart();
    REQUIRE(this->Run(
      [&]() -> Task<void> {
        response = co_await this->Exchange(
          this->StartForwardServer(),
          fmt::format("GET {} HTTP/1.1\r\nHost: h\r\nConnection: close, "
                      "Apricottrack-Max-Targets, "
                      "Apricottrack-Catalog-Version\r\nX-Attempt: "
                      "a\r\nX-Timeout: 5000\r\nX-Parts: own\r\n"
                      "Apricottrack-Max-Targets: 1\r\n"
                      "Apricottrack-Catalog-Version: {}\r\n\r\n",
                      aPath,
                      aVersion));
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

// Guards against a forwarded request that is handled as by an older catalog
// than that of the node which its caller has asked.
TEST_CASE(
  "RequestFlow handles a forwarded request by no older catalog than its "
  "sender's")
{
  CatalogHarness harness(milliseconds(100));
  SECTION("and reads the newer one")
  {
    harness.stored = WithRoute(2, harness.known);
    CHECK(StatusOf(harness.Forward("/new/x", 2)) == 200);
    CHECK(harness.reads == 1);
  }
  SECTION("or refuses it if it cannot")
  {
    harness.isStoreUp = false;
    const std::string response = harness.Forward("/once/x", 2);
    CHECK(StatusOf(response) == 503);
    CHECK(response.find("Apricottrack-Refused: 1") != std::string::npos);
  }
  SECTION("and without a read if its own is as new")
  {
    CHECK(StatusOf(harness.Forward("/once/x", 1)) == 200);
    CHECK(StatusOf(harness.Forward("/once/x", 0)) == 200);
    CHECK(harness.reads == 0);
  }
}

// Guards against a node that falls back to its older catalog after a newer one
// of another node has served its caller.
TEST_CASE("RequestFlow reads the catalog after a forwarded response by a newer "
          "one")
{
  CatalogHarness harness(milliseconds(100));
  harness.stored = WithRoute(2, harness.known);
  harness.context.fleet.RemoveNow("t1");
  harness.AddUnreachableTarget("t2");
  harness.AddNode([](TargetConnection& aConnection, int) -> Task<void> {
    const std::string head = co_await aConnection.ReadRequest();
    CHECK(head.find("Apricottrack-Catalog-Version: 1") != std::string::npos);
    co_await aConnection.Write(
      PlainResponse(200,
                    "X-Signed: 1\r\nX-Attempt: a\r\nApricottrack-Target: "
                    "t9\r\nApricottrack-Catalog-Version: 2\r\n",
                    "b"));
  });
  const std::string response = harness.CallPath("/once/x");
  CHECK(StatusOf(response) == 200);
  CHECK(response.find("Apricottrack") == std::string::npos);
  CHECK(harness.reads == 1);
  harness.io.restart();
  harness.io.run_for(milliseconds(50));
  CHECK(harness.context.catalog.Current()->Contents().version == 2);
}
