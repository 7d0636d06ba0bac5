#ifndef APRICOTTRACK_INTAKE_REFUSAL_H
#define APRICOTTRACK_INTAKE_REFUSAL_H

#include "apricottrack/Outcome.h"
#include "apricottrack/Time.h"
#include "http/HttpTypes.h"

#include <optional>
#include <string>
#include <string_view>

namespace apricottrack {

/// An error response to a caller, in place of a target's response.
struct Refusal
{
  /// HTTP status.
  unsigned status = 503;
  /// Machine-readable error code; stable across releases.
  std::string code;
  Outcome outcome = Outcome::kNotRun;
  /// Human-readable.
  std::string message;
  /// Sent as Retry-After, rounded up to whole seconds.
  std::optional<Duration> retryAfter;

  friend bool operator==(const Refusal&, const Refusal&) = default;
};

/// Makes the refusal of a request that no target ran.
Refusal
MakeNotRunRefusal(unsigned aStatus,
                  std::string_view aCode,
                  std::string_view aMessage,
                  std::optional<Duration> aRetryAfter = std::nullopt);

/// Makes the refusal of a request that crashes targets.
Refusal
MakeQuarantineRefusal(Duration aRemaining);

/// Returns the JSON body of a refusal.
std::string
RefusalBody(const Refusal& aRefusal, std::string_view aRequestId);

HttpResponse
RefusalResponse(const Refusal& aRefusal, std::string_view aRequestId);

/// Returns the outcome that another node's response states. A status alone
/// proves no refusal: earlier versions passed on those of targets.
Outcome
StatedOutcome(const HttpResponse& aHead);

} // namespace apricottrack

#endif
