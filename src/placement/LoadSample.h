#ifndef APRICOTTRACK_PLACEMENT_LOADSAMPLE_H
#define APRICOTTRACK_PLACEMENT_LOADSAMPLE_H

#include "apricottrack/Time.h"

#include <string>

namespace apricottrack {

/// How many requests a target held a while ago, by its own account.
struct LoadSample
{
  std::string target;
  /// Running and waiting ones of all nodes.
  int requests = 0;
  Duration age = Duration::zero();

  friend bool operator==(const LoadSample&, const LoadSample&) = default;
};

} // namespace apricottrack

#endif
