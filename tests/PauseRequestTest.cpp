#include "limits/PauseRequest.h"

#include <catch2/catch.hpp>
#include <string>

using namespace apricottrack;

TEST_CASE("ReadPauseRequest reads seconds with and without a fraction")
{
  CHECK(ReadPauseRequest("2") == PauseRequest{ .duration = seconds(2) });
  CHECK(ReadPauseRequest("0.25") ==
        PauseRequest{ .duration = milliseconds(250) });
  CHECK(ReadPauseRequest("0") == PauseRequest{});
  CHECK_FALSE(ReadPauseRequest(""));
}

TEST_CASE("ReadPauseRequest bounds values that are malformed or out of range")
{
  const std::string malformed = GENERATE(
    "-1", "x", "3x", " 1", "nan", "1e9", "Wed, 21 Oct 2015 07:28:00 GMT");
  CAPTURE(malformed);
  CHECK(ReadPauseRequest(malformed) == PauseRequest{ .isInRange = false });
  const std::string large = GENERATE("301", "999999999999", "inf");
  CAPTURE(large);
  CHECK(ReadPauseRequest(large) ==
        PauseRequest{ .duration = seconds(300), .isInRange = false });
}
