#ifndef APRICOTTRACK_QUARANTINE_CRASHREPORTS_H
#define APRICOTTRACK_QUARANTINE_CRASHREPORTS_H

#include "apricottrack/Time.h"

#include <string>
#include <vector>

/// What nodes report to the planner's node about crashed targets, and what they
/// receive from it.
namespace apricottrack {

/// A request whose target broke the connection before the response was
/// complete.
struct LostRequest
{
  std::string target;
  /// Ids of the shared parts of its prompt, in order.
  std::vector<std::string> parts;
  /// Time since the loss.
  Duration age = Duration::zero();

  friend bool operator==(const LostRequest&, const LostRequest&) = default;
};

/// Number of complete responses to requests with a prompt part.
struct PartAnswers
{
  std::string part;
  int count = 0;

  friend bool operator==(const PartAnswers&, const PartAnswers&) = default;
};

/// A prompt part whose requests are refused for the remaining time.
struct QuarantinedPart
{
  std::string part;
  Duration remaining = Duration::zero();

  friend bool operator==(const QuarantinedPart&,
                         const QuarantinedPart&) = default;
};

} // namespace apricottrack

#endif
