#ifndef APRICOTTRACK_LIMITS_PAUSEREQUEST_H
#define APRICOTTRACK_LIMITS_PAUSEREQUEST_H

#include "apricottrack/Time.h"

#include <optional>
#include <string_view>

namespace apricottrack {

/// A target's request that a node sends it nothing for some time.
struct PauseRequest
{
  /// Zero if the target's value is malformed.
  Duration duration = Duration::zero();
  /// False if the target's value is malformed or was reduced to the longest
  /// pause.
  bool isInRange = true;

  friend bool operator==(const PauseRequest&, const PauseRequest&) = default;
};

/// Decodes a Retry-After header in seconds, which may have a fraction; none if
/// it is empty.
std::optional<PauseRequest>
ReadPauseRequest(std::string_view aText);

} // namespace apricottrack

#endif
