#ifndef APRICOTTRACK_QUARANTINE_STREAMSOUNDNESS_H
#define APRICOTTRACK_QUARANTINE_STREAMSOUNDNESS_H

#include "apricottrack/Time.h"

#include <optional>

namespace apricottrack {

/// Shows whether the stream of one call has gone on for longer than a request
/// takes that crashes its target. A later loss has another cause.
class StreamSoundness
{
public:
  /// Records that a part of the stream has arrived. Returns true once, with the
  /// part that proves the request to be sound.
  bool OnProgress(Instant aNow);

  bool IsProven() const { return this->isProven; }

private:
  /// When the first part arrived.
  std::optional<Instant> streamingSince;
  bool isProven = false;
};

} // namespace apricottrack

#endif
