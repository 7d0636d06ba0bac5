#include "apricottrack/Configuration.h"

#include "config/ConfigurationHolder.h"
#include "operators/ConfigurationDiff.h"

#include <catch2/catch.hpp>

using namespace apricottrack;

namespace {

const std::string kHash(64, 'a');

std::string
ValidText()
{
  return "firm = \"f\"\n[[accounts]]\nname = \"a\"\nkey_sha256 = \"" + kHash +
         "\"\n[[services]]\nname = \"s\"\ncontract = \"plain\"\n"
         "role = \"r\"\naccounts = [\"*\"]\n[[services.kinds]]\nname = \"k\"\n";
}

Mistakes
MistakesIn(const std::string& aText)
{
  const auto parsed = ParseConfiguration(aText);
  return parsed ? Mistakes{} : parsed.error();
}

bool
Mentions(const Mistakes& aMistakes, std::string_view aText)
{
  return Describe(aMistakes, "file").find(aText) != std::string::npos;
}

} // namespace

TEST_CASE("ParseConfiguration fills in the defaults of a valid configuration")
{
  const auto parsed = ParseConfiguration(ValidText());
  REQUIRE(parsed);
  CHECK(parsed->services[0].kinds[0].idempotent);
  CHECK(MayCall(parsed->services[0], parsed->accounts[0]));
}

TEST_CASE("ParseConfiguration reports every mistake with its line and column")
{
  const Mistakes mistakes = MistakesIn("frim = \"f\"\n[[accounts]]\n"
                                       "name = \"a\"\nkey_sha256 = \"xyz\"\n"
                                       "weight = -1\n[[services]]\n"
                                       "name = \"s\"\naccounts = [\"b\"]\n"
                                       "queue_limit = \"many\"\n");
  CHECK(Mentions(mistakes, "file:1:8: frim: is not a known key"));
  CHECK(Mentions(mistakes, "firm: is missing"));
  CHECK(Mentions(mistakes, "file:4:14: accounts[0].key_sha256"));
  CHECK(Mentions(mistakes, "file:5:10: accounts[0].weight: -1 is out"));
  CHECK(Mentions(mistakes, "services[0].queue_limit: is not a whole number"));
  CHECK(Mentions(mistakes, "services[0].kinds: is missing"));
  CHECK(Mentions(mistakes, "names unknown account \"b\""));
}

TEST_CASE(
  "ParseConfiguration reports a TOML syntax error as one mistake with its "
  "line")
{
  const Mistakes mistakes = MistakesIn("firm = \n");
  REQUIRE(mistakes.size() == 1);
  CHECK(mistakes[0].line == 1);
}

/// Offers arrive in several ways, so an old version can follow a new one. The
/// node must not go back to it.
TEST_CASE("ConfigurationHolder refuses offers that are not newer, in whatever "
          "order they arrive")
{
  ConfigurationHolder holder;
  const auto offer = [&](std::uint64_t aVersion, std::string aText) {
    StoredConfiguration stored;
    stored.version = aVersion;
    stored.text = std::move(aText);
    return holder.Offer(stored);
  };
  CHECK(offer(3, ValidText()) == OfferResult::kAccepted);
  CHECK(offer(2, ValidText()) == OfferResult::kNotNewer);
  CHECK(offer(3, ValidText()) == OfferResult::kNotNewer);
  CHECK(offer(4, "nonsense") == OfferResult::kInvalid);
  CHECK(holder.Stored().version == 3);
  CHECK(offer(5, ValidText()) == OfferResult::kAccepted);
}

TEST_CASE("DiffConfigurations names the effect of a changed group set on its "
          "running groups")
{
  Configuration before;
  before.groupSets = { { .name = "g", .count = 4, .size = 2 } };
  Configuration after = before;
  after.groupSets[0].count = 2;
  CHECK(DiffConfigurations(before, after)[0].effect ==
        "2 groups drain and end");
  after.groupSets[0].size = 3;
  CHECK(DiffConfigurations(before, after)[0].effect ==
        "all 4 groups drain and form anew");
  CHECK(DiffConfigurations(before, before).empty());
}
