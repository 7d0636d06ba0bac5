#include "journal/JournalIndex.h"

#include <catch2/catch.hpp>

using namespace apricottrack;

// Guards against a replayed response that states not run for a request that may
// have run.
TEST_CASE("JournalIndex proves no answer by a recorded status that states not "
          "run")
{
  for (const int status : { 408, 421, 429, 503 }) {
    JournalIndex index;
    index.Apply(EncodeLine(JournalIntent{ .key = "k", .nonce = "n" }));
    index.Apply(EncodeLine(JournalEnd{ .key = "k",
                                       .nonce = "n",
                                       .outcome = Outcome::kAnswered,
                                       .status = status,
                                       .bodyIsStored = true }));
    REQUIRE(index.Find("k") != nullptr);
    CHECK(ProvenOutcome(*index.Find("k")->end) == Outcome::kUnknown);
    CHECK_FALSE(index.MayAttempt("k"));
  }
  for (const Outcome outcome :
       { Outcome::kAnswered, Outcome::kNotRun, Outcome::kUnknown }) {
    CHECK(ProvenOutcome(JournalEnd{ .outcome = outcome }) == outcome);
    CHECK(ProvenOutcome(JournalEnd{ .outcome = outcome, .status = 200 }) ==
          outcome);
    CHECK(ProvenOutcome(JournalEnd{ .outcome = outcome, .status = 500 }) ==
          outcome);
  }
}
