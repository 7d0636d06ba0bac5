#ifndef APRICOTTRACK_SERVING_REFUSALS_H
#define APRICOTTRACK_SERVING_REFUSALS_H

#include "http/HttpTypes.h"

#include <random>
#include <string_view>

namespace apricottrack {

/// An answer of the system's own, with the reason in its body. One that says
/// that the request was not run also says when to come back, spread so that
/// callers do not return as one wave.
HttpResponse
MakeRefusal(unsigned aStatus,
            std::string_view aReason,
            std::mt19937_64& aRandom);

} // namespace apricottrack

#endif
