#ifndef APRICOTTRACK_SERVING_REFUSALS_H
#define APRICOTTRACK_SERVING_REFUSALS_H

#include "apricottrack/Time.h"
#include "http/HttpTypes.h"

#include <random>
#include <string_view>

namespace apricottrack {

/// Makes an error response with the reason in its body. A 503, which means that
/// the request was not run, gets a randomly spread Retry-After header, so that
/// callers do not retry in one wave; a 401 gets a WWW-Authenticate header.
HttpResponse
MakeRefusal(unsigned aStatus,
            std::string_view aReason,
            std::mt19937_64& aRandom);

/// Makes a 503 whose Retry-After is spread up to `aLongest`, or as MakeRefusal
/// does if that is longer.
HttpResponse
MakeSpreadRefusal(std::string_view aReason,
                  Duration aLongest,
                  std::mt19937_64& aRandom);

/// Makes a 503 for callers that are to come back after `aEarliest`. Retry-After
/// is spread from then on, as MakeRefusal does from now on.
HttpResponse
MakeRefusalAfter(std::string_view aReason,
                 Duration aEarliest,
                 std::mt19937_64& aRandom);

/// Makes the 503 of a request that will be refused until `aRetryAfter` has
/// passed; sent as Retry-After, rounded up to whole seconds.
HttpResponse
MakeRefusalUntil(std::string_view aReason, Duration aRetryAfter);

} // namespace apricottrack

#endif
