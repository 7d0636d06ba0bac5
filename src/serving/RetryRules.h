#ifndef APRICOTTRACK_SERVING_RETRYRULES_H
#define APRICOTTRACK_SERVING_RETRYRULES_H

#include "catalog/Catalog.h"

#include <optional>
#include <string_view>

namespace apricottrack {

/// How one call of a target ended.
enum class CallEnd
{
  /// The complete response was passed on, or is buffered.
  kAnswered,
  /// No byte reached the target.
  kNotSent,
  /// The target guaranteed that it did not run the request.
  kNotRun,
  /// A complete response whose status states that the request was not run,
  /// which the target does not guarantee.
  kUnconfirmedRefusal,
  /// Sent, but no usable response arrived.
  kNoAnswer,
  /// The response was incomplete or not verifiably the target's own.
  kTruncated,
  /// A complete response with a server error status.
  kTargetFailed,
  /// The caller disconnected.
  kCallerGone,
  /// The request's deadline has passed or is too close for a call.
  kOutOfTime,
};

std::string_view
CallEndName(CallEnd aEnd);

/// What follows the end of a call.
enum class NextStep
{
  /// The response is final.
  kDone,
  /// Call another target. A started stream may return to one that was called
  /// before.
  kTryElsewhere,
  /// Respond that the request was not run, and when to retry.
  kRefuse,
  /// Respond that the outcome is unknown.
  kFail,
  /// Respond that the deadline has passed.
  kTimeOut,
  /// The caller has disconnected; send nothing.
  kAbort,
};

std::string_view
NextStepName(NextStep aStep);

/// State of a request that decides whether it may be retried.
struct CallHistory
{
  /// Number of targets that may have started to run it.
  int possibleRunCount = 0;
  /// Number of calls in which it was sent.
  int sendCount = 0;
  /// The retry budget allows another attempt.
  bool budgetLeft = true;
  /// Enough time for another call is left before the deadline.
  bool timeLeft = true;
  /// The request is a started stream, which a target that may have run it may
  /// continue.
  bool mayReturn = false;
  /// Targets that may run the request, if these are fewer than the route
  /// allows.
  std::optional<int> targetLimit = std::nullopt;
};

/// Decides what follows the end of a call; the counts of the history include
/// that call.
NextStep
DecideNext(const CatalogRoute& aRoute,
           CallEnd aEnd,
           const CallHistory& aHistory);

} // namespace apricottrack

#endif
