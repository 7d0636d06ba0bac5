#ifndef APRICOTTRACK_REPLICAS_LOADLIMITER_H
#define APRICOTTRACK_REPLICAS_LOADLIMITER_H

#include "apricottrack/Time.h"

#include <vector>

namespace apricottrack {

/// Keeps loads from the weight store within the rate that the store bears,
/// and few enough at a time that they do not slow each other down.
class LoadLimiter
{
public:
  struct Options
  {
    double loadsPerSecond = 1;
    int concurrentLoads = 1;
    /// Loads that may begin at once after a quiet time.
    double burst = 2;
  };

  LoadLimiter() = default;

  /// A planner that takes over cannot know what has just begun, so nothing
  /// is saved up at first.
  void Configure(Options aOptions);

  /// True if a load may begin now; it is then expected to take this long.
  bool TryBegin(Duration aExpected, Instant aNow);

  int Running(Instant aNow) const;

private:
  Options options;
  double saved = 0;
  Instant filledAt;
  std::vector<Instant> ends;
};

} // namespace apricottrack

#endif
