#ifndef APRICOTTRACK_HTTP_HOPBYHOP_H
#define APRICOTTRACK_HTTP_HOPBYHOP_H

#include <string_view>

namespace apricottrack {

/// True for headers that concern one connection only.
bool
IsHopByHop(std::string_view aName);

/// True if a Connection header names this one as concerning it only.
bool
IsNominated(std::string_view aConnectionHeader, std::string_view aName);

} // namespace apricottrack

#endif
