#ifndef APRICOTTRACK_INTAKE_REFUSAL_H
#define APRICOTTRACK_INTAKE_REFUSAL_H

#include "apricottrack/Outcome.h"
#include "apricottrack/Time.h"
#include "http/HttpTypes.h"

#include <optional>
#include <string>
#include <string_view>

namespace apricottrack {

/// What a caller is told instead of an answer.
struct Refusal
{
  unsigned status = 503;
  /// Stable, for programs to act on.
  std::string code;
  Outcome outcome = Outcome::kNotRun;
  std::string message;
  std::optional<Duration> retryAfter;

  friend bool operator==(const Refusal&, const Refusal&) = default;
};

/// A refusal of a request that was provably not run.
Refusal
RefuseNotRun(unsigned aStatus,
             std::string_view aCode,
             std::string_view aMessage,
             std::optional<Duration> aRetryAfter = std::nullopt);

/// The JSON body of a refusal.
std::string
RefusalBody(const Refusal& aRefusal, std::string_view aRequestId);

HttpResponse
RefusalResponse(const Refusal& aRefusal, std::string_view aRequestId);

} // namespace apricottrack

#endif
