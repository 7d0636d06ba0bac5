#ifndef APRICOTTRACK_REPLICAS_TARGETREPORT_H
#define APRICOTTRACK_REPLICAS_TARGETREPORT_H

#include "apricottrack/Time.h"
#include "fleet/TargetRecord.h"

#include <optional>
#include <string>
#include <vector>

namespace apricottrack {

/// What a target says of itself when asked, some hundred milliseconds old.
struct TargetReport
{
  std::string model;
  std::vector<std::string> stagedModels;
  std::optional<Membership> membership;
  UnixMillis startedAt = 0;
  /// An order is being carried out.
  bool busy = false;
  int running = 0;
  int waiting = 0;
  /// Above one the target is slower than its kind.
  double pace = 1;

  friend bool operator==(const TargetReport&, const TargetReport&) = default;
};

} // namespace apricottrack

#endif
