#ifndef APRICOTTRACK_OUTCOME_H
#define APRICOTTRACK_OUTCOME_H

#include <string_view>

namespace apricottrack {

/// How a request ended, as its caller is told and the journal records.
enum class Outcome
{
  /// The caller got a target's whole answer.
  kAnswered,
  /// No target ran the request, provably.
  kNotRun,
  /// A target may have run the request.
  kUnknown,
};

/// "answered", "not_run" or "outcome_unknown".
constexpr std::string_view
OutcomeName(Outcome aOutcome)
{
  switch (aOutcome) {
    case Outcome::kAnswered:
      return "answered";
    case Outcome::kNotRun:
      return "not_run";
    case Outcome::kUnknown:
      break;
  }
  return "outcome_unknown";
}

} // namespace apricottrack

#endif
