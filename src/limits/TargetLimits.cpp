#include "limits/TargetLimits.h"

#include "base/Log.h"

namespace apricottrack {

void
TargetLimits::OnResponse(const std::string& aTarget,
                         std::optional<double> aLimit,
                         Instant aSentAt,
                         Instant aNow)
{
  this->Apply(aTarget, aLimit, aLimit ? aNow : aSentAt, aNow);
}

void
TargetLimits::OnSent(const std::string& aTarget)
{
  const auto found = this->entries.find(aTarget);
  if (found != this->entries.end()) {
    ++found->second.sentCount;
  }
}

void
TargetLimits::Apply(const std::string& aTarget,
                    std::optional<double> aLimit,
                    Instant aSaidAt,
                    Instant aNow)
{
  const auto found = this->entries.find(aTarget);
  if (found == this->entries.end() && !aLimit) {
    return;
  }
  Entry& entry =
    found == this->entries.end() ? this->entries[aTarget] : found->second;
  if (aSaidAt <= entry.saidAt) {
    return;
  }
  if (aLimit != entry.limit) {
    LogLine line("target_limit");
    line.With("target", aTarget);
    if (aLimit) {
      line.With("limit", *aLimit);
    }
    if (entry.limit) {
      line.With("earlier", *entry.limit)
        .With("for_ms",
              std::int64_t{ (aNow - entry.limitedSince) / milliseconds(1) })
        .With("own_requests", std::int64_t{ entry.sentCount });
    }
    line.Info();
    entry.limitedSince = aNow;
    entry.sentCount = 0;
  }
  entry.limit = aLimit;
  entry.saidAt = aSaidAt;
}

} // namespace apricottrack
