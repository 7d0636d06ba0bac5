#include "serving/Intake.h"

#include <catch2/catch.hpp>

using namespace apricottrack;

namespace {

constexpr Instant kStart{ seconds(1000) };

CatalogHolder
Holder()
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

IntakeVerdict
Ask(const CatalogHolder& aHolder,
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
  CHECK(Ask(CatalogHolder(CatalogHolder::Options{}), {}, "/k/").refusal ==
        IntakeRefusal::kNoCatalog);
  CHECK(Ask(Holder(), { .key = "key" }, "/z/").refusal ==
        IntakeRefusal::kNoRoute);
  CHECK(Ask(Holder(), { .key = "no" }, "/k/").refusal ==
        IntakeRefusal::kUnknownKey);
  CHECK(Ask(Holder(), {}, "/k/").refusal == IntakeRefusal::kUnknownKey);
}

TEST_CASE("Intake with an expired catalog verification refuses keys and admits "
          "public routes")
{
  const Instant late = kStart + seconds(5);
  CHECK(Ask(Holder(), { .key = "key" }, "/k/", late).refusal ==
        IntakeRefusal::kKeyNotProven);
  CHECK(Ask(Holder(), {}, "/o/", late).refusal == IntakeRefusal::kNone);
}

TEST_CASE("Intake sets the deadline to the shorter of the caller's and the "
          "route's timeout")
{
  const auto patient =
    Ask(Holder(), { .key = "key", .patience = seconds(9) }, "/k/");
  CHECK(patient.request.deadline == kStart + seconds(3));
  CHECK(patient.request.account == "acme");
  const auto hasty =
    Ask(Holder(), { .key = "key", .patience = seconds(1) }, "/k/");
  CHECK(hasty.request.deadline == kStart + seconds(1));
}

TEST_CASE("Intake never picks a service of weight zero")
{
  for (int i = 0; i < 20; ++i) {
    CHECK(Ask(Holder(), {}, "/o/").request.service->name == "t");
  }
}
