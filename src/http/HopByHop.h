#ifndef APRICOTTRACK_HTTP_HOPBYHOP_H
#define APRICOTTRACK_HTTP_HOPBYHOP_H

#include "http/HttpTypes.h"

#include <string_view>

namespace apricottrack {

/// Returns whether a header concerns one connection only, so that a proxy must
/// not forward it: the hop-by-hop headers, and Host, Content-Length and Expect,
/// which are set or handled anew on each connection. Header names are compared
/// without regard to case.
bool
IsHopByHop(std::string_view aName);

/// Returns whether the value of a Connection header lists the header `aName`,
/// which makes that header hop-by-hop as well.
bool
IsListedInConnectionHeader(std::string_view aConnectionHeader,
                           std::string_view aName);

/// Copies the Content-Length of a response if it answers a HEAD request: there
/// is no body from which the length could be taken again.
void
CopyLengthOfHead(const HttpRequest& aRequest,
                 const HttpResponse& aFrom,
                 HttpResponse& aTo);

} // namespace apricottrack

#endif
