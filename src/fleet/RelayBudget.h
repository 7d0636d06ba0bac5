#ifndef APRICOTTRACK_FLEET_RELAYBUDGET_H
#define APRICOTTRACK_FLEET_RELAYBUDGET_H

#include "apricottrack/Time.h"

#include <cstddef>
#include <optional>

namespace apricottrack {

/// Bounds the bytes of catalogs that the planner's node sends to other nodes,
/// by a share of its link. A catalog for all nodes at once would hold up the
/// planner's probes, so that it takes sound targets for lost. FleetRelay has
/// one.
class RelayBudget
{
public:
  struct Options
  {
    /// Bytes per second that the VM's link transfers; none if unknown, which
    /// sets no bound.
    std::optional<double> linkBytesPerSecond;
    /// Share of the link that catalogs may use.
    double share = 0.2;
    /// Time of the whole link that may be used at once.
    Duration burst = milliseconds(100);
  };

  explicit RelayBudget(Options aOptions)
    : options(aOptions)
  {
  }

  /// Takes the bytes from the budget. Returns false, and takes none, if too few
  /// are left.
  bool TryTake(std::size_t aBytes, Instant aNow);

private:
  Options options;
  /// Bytes that may be sent as of `updatedAt`; none before the first call.
  std::optional<double> available;
  Instant updatedAt;
};

} // namespace apricottrack

#endif
