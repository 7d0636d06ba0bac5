#ifndef APRICOTTRACK_OUTCOME_H
#define APRICOTTRACK_OUTCOME_H

#include <string_view>

namespace apricottrack {

/// How a request ended, as reported to the caller and recorded in the journal.
enum class Outcome
{
  /// The caller received the complete response of a target.
  kAnswered,
  /// It is certain that no target executed the request.
  kNotRun,
  /// A target may have executed the request.
  kUnknown,
};

/// Returns "answered", "not_run" or "outcome_unknown".
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
