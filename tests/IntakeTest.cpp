#include "serving/Intake.h"

#include <catch2/catch.hpp>

using namespace apricottrack;

namespace {

constexpr Instant kStart{ seconds(1000) };

CatalogHolder
MakeHolder()
{
  CatalogHolder holder(
    CatalogHolder::Options{ .maxVerificationAge = seconds(4) });
  Catalog catalog{
    .version = 1,
    .routes = { { .name = "keyed",
                  .host = "h",
                  .prefix = "/k/",
                  .timeout = seconds(3),
                  .services = { { .service = "s" } } },
                { .name = "open",
                  .host = "h",
                  .prefix = "/o/",
                  .isPublic = true,
                  .timeout = seconds(3),
                  .services = { { .service = "s", .weight = 0 },
                                { .service = "t", .weight = 1 } } } },
    .services = { { .name = "s" }, { .name = "t" } },
    .accounts = { { .name = "acme", .keys = { "key" } } },
  };
  holder.Apply(std::move(catalog), kStart);
  return holder;
}

IntakeResult
AdmitRequest(const CatalogHolder& aHolder,
             const CallerHead& aCaller,
             std::string_view aPath,
             Instant aNow = kStart)
{
  std::mt19937_64 random(1);
  return Admit(aHolder, aCaller, "h", aPath, aNow, random);
}

} // namespace

TEST_CASE("Intake refuses a request without a catalog, route or known key")
{
  CHECK(
    AdmitRequest(CatalogHolder(CatalogHolder::Options{}), {}, "/k/").refusal ==
    IntakeRefusal::kNoCatalog);
  CHECK(AdmitRequest(MakeHolder(), { .key = "key" }, "/z/").refusal ==
        IntakeRefusal::kNoRoute);
  CHECK(AdmitRequest(MakeHolder(), { .key = "no" }, "/k/").refusal ==
        IntakeRefusal::kUnknownKey);
  CHECK(AdmitRequest(MakeHolder(), {}, "/k/").refusal ==
        IntakeRefusal::kUnknownKey);
}

TEST_CASE("Intake with an expired catalog verification refuses keys and admits "
          "public routes")
{
  const Instant afterExpiry = kStart + seconds(5);
  CHECK(
    AdmitRequest(MakeHolder(), { .key = "key" }, "/k/", afterExpiry).refusal ==
    IntakeRefusal::kKeyNotVerified);
  CHECK(AdmitRequest(MakeHolder(), {}, "/o/", afterExpiry).refusal ==
        IntakeRefusal::kNone);
}

TEST_CASE("Intake sets the deadline to the shorter of the caller's and the "
          "route's timeout")
{
  const auto longTimeoutResult = AdmitRequest(
    MakeHolder(), { .key = "key", .requestTimeout = seconds(9) }, "/k/");
  CHECK(longTimeoutResult.request.deadline == kStart + seconds(3));
  CHECK(longTimeoutResult.request.account == "acme");
  const auto shortTimeoutResult = AdmitRequest(
    MakeHolder(), { .key = "key", .requestTimeout = seconds(1) }, "/k/");
  CHECK(shortTimeoutResult.request.deadline == kStart + seconds(1));
}

TEST_CASE("Intake never picks a service of weight zero")
{
  for (int i = 0; i < 20; ++i) {
    CHECK(AdmitRequest(MakeHolder(), {}, "/o/").request.service->name == "t");
  }
}

// Guards against a refusal of a route or key that a newer catalog has.
TEST_CASE(
  "Intake refuses no unknown route or key without a recent verification")
{
  const Instant late = kStart + milliseconds(1100);
  CHECK(AdmitRequest(MakeHolder(), { .key = "key" }, "/z/", late).refusal ==
        IntakeRefusal::kCatalogNotVerified);
  CHECK(AdmitRequest(MakeHolder(), { .key = "no" }, "/k/", late).refusal ==
        IntakeRefusal::kCatalogNotVerified);
  CHECK(AdmitRequest(MakeHolder(), { .key = "key" }, "/k/", late).refusal ==
        IntakeRefusal::kNone);
}
