#include "quarantine/StreamSoundness.h"

#include <catch2/catch.hpp>

using namespace apricottrack;

TEST_CASE("StreamSoundness is proven once, by a stream that goes on")
{
  StreamSoundness soundness;
  const Instant start{ seconds(10) };
  CHECK_FALSE(soundness.OnProgress(start));
  CHECK_FALSE(soundness.OnProgress(start + milliseconds(299)));
  CHECK_FALSE(soundness.IsProven());
  CHECK(soundness.OnProgress(start + milliseconds(300)));
  CHECK(soundness.IsProven());
  CHECK_FALSE(soundness.OnProgress(start + seconds(1)));
}
