#include "groups/EvacuatedZones.h"

#include <catch2/catch.hpp>

using namespace apricottrack;

TEST_CASE("ParseEvacuatedZones returns the zones that were encoded")
{
  const EvacuatedZones zones{ "a", "b \"c\"" };
  const auto parsed = ParseEvacuatedZones(EncodeEvacuatedZones(zones), "store");
  REQUIRE(parsed);
  CHECK(*parsed == zones);
  CHECK(ParseEvacuatedZones("[]", "store")->empty());
}

TEST_CASE("ParseEvacuatedZones fails on anything but an array of strings")
{
  for (const char* text :
       { "", "{}", "\"a\"", "[1]", "[\"a\", null]", "[\"" }) {
    const auto parsed = ParseEvacuatedZones(text, "store");
    REQUIRE_FALSE(parsed);
    CHECK(parsed.error().code == ErrorCode::kBadReply);
    CHECK(parsed.error().peer == "store");
  }
}
