#ifndef APRICOTTRACK_SERVING_REPEATRULES_H
#define APRICOTTRACK_SERVING_REPEATRULES_H

#include "catalog/Catalog.h"

#include <string_view>

namespace apricottrack {

/// How one call of a target ended.
enum class CallEnd
{
  /// The whole answer was passed on, or is ready to be.
  kAnswered,
  /// No byte reached the target.
  kNotSent,
  /// The target promised that it did not run the request.
  kNotRun,
  /// Sent, but no usable answer came.
  kNoAnswer,
  /// The answer broke off.
  kTruncated,
  /// A whole answer that says that the target failed.
  kTargetFailed,
  kCallerGone,
  /// The request's time is over.
  kOutOfTime,
};

std::string_view
CallEndName(CallEnd aEnd);

enum class NextStep
{
  /// The answer stands as it is.
  kDone,
  kTryElsewhere,
  /// Tell the caller that the request was not run, and when to come back.
  kRefuse,
  /// Tell the caller that the outcome is unknown.
  kFail,
  /// Tell the caller that the time is over.
  kTimeOut,
  /// Nobody is there to be told.
  kDrop,
};

/// What a request has been through.
struct CallHistory
{
  /// Targets that may have begun to run it.
  int mayHaveRun = 0;
  /// Targets that it was sent to.
  int sent = 0;
  bool budgetLeft = true;
  bool timeLeft = true;
};

/// What follows the end of a call; counts include that call.
NextStep
DecideNext(const CatalogRoute& aRoute,
           CallEnd aEnd,
           const CallHistory& aHistory);

} // namespace apricottrack

#endif
