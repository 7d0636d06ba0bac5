#ifndef APRICOTTRACK_QUARANTINE_REQUESTIDENTITY_H
#define APRICOTTRACK_QUARANTINE_REQUESTIDENTITY_H

#include "http/HttpTypes.h"

#include <string>
#include <string_view>

namespace apricottrack {

/// Returns a hash of what stays the same when a caller repeats a request:
/// method, host, path, client account and body. It is the same on all nodes and
/// contains a colon, which ids of prompt parts do not.
std::string
RequestIdentity(const HttpRequest& aRequest, std::string_view aAccount);

/// The same without the host, for an interface at which callers reach the nodes
/// by different names.
std::string
HostlessRequestIdentity(const HttpRequest& aRequest, std::string_view aAccount);

/// True for the result of RequestIdentity, false for the id of a prompt part.
bool
IsRequestIdentity(std::string_view aKey);

} // namespace apricottrack

#endif
