#include "intake/Refusal.h"

#include <catch2/catch.hpp>

using namespace apricottrack;

namespace {

Outcome
OutcomeOf(unsigned aStatus, const std::string& aStated)
{
  HttpResponse response = JsonResponse(aStatus, "{}");
  if (!aStated.empty()) {
    response.set("X-Request-Outcome", aStated);
  }
  return StatedOutcome(response);
}

} // namespace

// Guards against a refusal of a target that a node of an earlier version passes
// on being taken for that node's own.
TEST_CASE("Refusal of another node is stated by its outcome, not its status")
{
  for (const unsigned status : { 408U, 421U, 429U, 503U }) {
    CHECK(OutcomeOf(status, "not_run") == Outcome::kNotRun);
    CHECK(OutcomeOf(status, "answered") == Outcome::kUnknown);
    CHECK(OutcomeOf(status, "outcome_unknown") == Outcome::kUnknown);
    CHECK(OutcomeOf(status, "") == Outcome::kUnknown);
  }
  CHECK(OutcomeOf(200, "answered") == Outcome::kAnswered);
  CHECK(OutcomeOf(500, "answered") == Outcome::kAnswered);
  CHECK(OutcomeOf(502, "") == Outcome::kUnknown);
  CHECK(OutcomeOf(422, "not_run") == Outcome::kNotRun);
}
