#ifndef APRICOTTRACK_PLACEMENT_LOADSAMPLE_H
#define APRICOTTRACK_PLACEMENT_LOADSAMPLE_H

#include "apricottrack/Time.h"

#include <string>

namespace apricottrack {

/// The number of requests that a target reported, with the report's age.
struct LoadSample
{
  std::string target;
  /// Running and queued requests of all nodes.
  int requests = 0;
  Duration age = Duration::zero();

  friend bool operator==(const LoadSample&, const LoadSample&) = default;
};

} // namespace apricottrack

#endif
