#ifndef APRICOTTRACK_HTTP_PARALLELFETCH_H
#define APRICOTTRACK_HTTP_PARALLELFETCH_H

#include "http/HttpClient.h"

#include <string>

namespace apricottrack {

/// Sends the same request over `aCount` new connections at once and returns the
/// first response, so that the loss of a single packet is not taken for a peer
/// that does not respond. Only for idempotent calls.
///
/// Fails once all calls have failed: with kTimeout if any of them has timed out
/// on an open connection, with kUnreachable only if none has opened one. The
/// pool must outlive the calls, which may go on after the first response.
Task<Result<HttpResponse>>
FetchOnAnyConnection(HttpConnectionPool& aPool,
                     std::string aAddress,
                     HttpRequest aRequest,
                     FetchLimits aLimits,
                     int aCount);

} // namespace apricottrack

#endif
