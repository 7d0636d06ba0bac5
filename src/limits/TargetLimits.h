#ifndef APRICOTTRACK_LIMITS_TARGETLIMITS_H
#define APRICOTTRACK_LIMITS_TARGETLIMITS_H

#include "limits/LimitSample.h"

#include <optional>
#include <string>
#include <unordered_map>

namespace apricottrack {

/// The request limits that targets state in their responses. Each node has one.
class TargetLimits
{
public:
  /// Records a response. `aLimit` is the limit that it states, in requests per
  /// second from all nodes together; none if it states no limit. A response
  /// without a limit ends an earlier one only if its request was sent, at
  /// `aSentAt`, after that was last stated.
  void OnResponse(const std::string& aTarget,
                  std::optional<double> aLimit,
                  Instant aSentAt,
                  Instant aNow);

  /// Records that this node sent a request.
  void OnSent(const std::string& aTarget);

private:
  struct Entry
  {
    /// None if the limit has ended.
    std::optional<double> limit;
    /// When it was stated or, if it has ended, when the request was sent whose
    /// response showed that.
    Instant saidAt;
    Instant limitedSince;
    /// This node's requests since then.
    int sentCount = 0;
  };

  void Apply(const std::string& aTarget,
             std::optional<double> aLimit,
             Instant aSaidAt,
             Instant aNow);

  std::unordered_map<std::string, Entry> entries;
};

} // namespace apricottrack

#endif
