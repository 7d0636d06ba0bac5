#ifndef APRICOTTRACK_REPLICAS_EPOCHNUMBERING_H
#define APRICOTTRACK_REPLICAS_EPOCHNUMBERING_H

#include <cstdint>
#include <limits>

namespace apricottrack {

/// Numbers the epochs that planners give out. Each fencing token has a range of
/// its own, and a larger token a later one, so two planners never share an
/// epoch and a later planner's epochs are larger. Ranges of large tokens are
/// smaller, as all epochs have to fit into 63 bits.
///
/// A planner that gives out more epochs than its range has goes on into the
/// next one. No planner holds that token then: tokens are revisions of the
/// store, which grows by more than one while the targets join so many replicas.
class EpochNumbering
{
public:
  /// Largest token whose range fits.
  static constexpr std::int64_t MaxToken()
  {
    return kFirstSmallRange +
           (std::numeric_limits<std::int64_t>::max() -
            kFirstSmallRange * kEpochsPerRange) /
             kEpochsPerSmallRange -
           1;
  }

  /// Returns an epoch of the planner with this token; `aIndex` counts its
  /// epochs from one.
  static constexpr std::int64_t Epoch(std::int64_t aToken, std::int64_t aIndex)
  {
    const bool isSmall = aToken >= kFirstSmallRange;
    return (isSmall ? kFirstSmallRange * kEpochsPerRange +
                        (aToken - kFirstSmallRange) * kEpochsPerSmallRange
                    : aToken * kEpochsPerRange) +
           aIndex;
  }

  /// Returns the token in whose range an epoch lies.
  static constexpr std::int64_t TokenOf(std::int64_t aEpoch)
  {
    const std::int64_t firstSmall = kFirstSmallRange * kEpochsPerRange;
    return aEpoch < firstSmall
             ? aEpoch / kEpochsPerRange
             : kFirstSmallRange + (aEpoch - firstSmall) / kEpochsPerSmallRange;
  }

private:
  static constexpr std::int64_t kEpochsPerRange = 100'000;
  static constexpr std::int64_t kEpochsPerSmallRange = 4096;
  /// First token with a small range. Builds before this class number the epochs
  /// of all tokens below it in the same way, and fail at larger ones.
  static constexpr std::int64_t kFirstSmallRange = std::int64_t{ 1001 } << 36U;
};

} // namespace apricottrack

#endif
