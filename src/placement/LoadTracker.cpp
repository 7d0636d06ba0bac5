#include "placement/LoadTracker.h"

#include <algorithm>
#include <cmath>

namespace apricottrack {

void
LoadTracker::OnSent(const std::string& aTarget)
{
  ++this->entries[aTarget].ownRequests;
}

void
LoadTracker::OnEnded(const std::string& aTarget)
{
  const auto found = this->entries.find(aTarget);
  if (found != this->entries.end() && found->second.ownRequests > 0) {
    --found->second.ownRequests;
  }
}

void
LoadTracker::OnDirectReport(const std::string& aTarget,
                            int aRequests,
                            Instant aNow)
{
  this->RemoveExpired(aNow);
  Entry& entry = this->entries[aTarget];
  this->ApplyReport(entry, aRequests, aNow);
  entry.isDirect = true;
}

void
LoadTracker::ApplyReport(Entry& aEntry,
                         int aRequests,
                         Instant aReportedAt) const
{
  // A report counts the requests of all nodes. If it is forwarded, the number
  // of this node's requests at the time of the report is unknown; the present
  // number is used, which changes little between the report and its arrival.
  const double others = std::max(0, aRequests - aEntry.ownRequests);
  const bool hasRecentReport =
    aEntry.reportedAt &&
    aReportedAt - *aEntry.reportedAt <= this->options.maxReportAge;
  const double decay =
    hasRecentReport ? std::exp2(-ToSeconds(aReportedAt - *aEntry.reportedAt) /
                                ToSeconds(this->options.meanHalfLife))
                    : 0;
  aEntry.meanRequests = decay * aEntry.meanRequests + (1 - decay) * others;
  aEntry.reportedRequests = aRequests;
  aEntry.ownAtReport = aEntry.ownRequests;
  aEntry.reportedAt = aReportedAt;
}

void
LoadTracker::OnForwardedReport(const LoadSample& aSample, Instant aNow)
{
  this->RemoveExpired(aNow);
  Entry& entry = this->entries[aSample.target];
  const Instant reportedAt = aNow - aSample.age;
  if (entry.reportedAt && *entry.reportedAt >= reportedAt) {
    return;
  }
  this->ApplyReport(entry, aSample.requests, reportedAt);
  entry.isDirect = false;
}

void
LoadTracker::RemoveExpired(Instant aNow)
{
  if (this->entries.size() < this->removalThreshold) {
    return;
  }
  std::erase_if(this->entries, [&](const auto& aEntry) {
    return aEntry.second.ownRequests == 0 &&
           (!aEntry.second.reportedAt ||
            aNow - *aEntry.second.reportedAt > this->options.maxReportAge);
  });
  this->removalThreshold =
    std::max<std::size_t>(1024, 2 * this->entries.size());
}

int
LoadTracker::OwnRequests(const std::string& aTarget) const
{
  const auto found = this->entries.find(aTarget);
  return found == this->entries.end() ? 0 : found->second.ownRequests;
}

std::optional<LoadTracker::OtherRequests>
LoadTracker::OtherRequestsAt(const std::string& aTarget, Instant aNow) const
{
  const auto found = this->entries.find(aTarget);
  if (found == this->entries.end() || !found->second.reportedAt) {
    return std::nullopt;
  }
  const Entry& entry = found->second;
  const Duration age = aNow - *entry.reportedAt;
  if (age > this->options.maxReportAge) {
    return std::nullopt;
  }
  return OtherRequests{ .requests = static_cast<double>(std::max(
                          0, entry.reportedRequests - entry.ownAtReport)),
                        .meanRequests = entry.meanRequests,
                        .age = age };
}

std::vector<LoadSample>
LoadTracker::SamplesSince(Instant aSince,
                          bool aIncludeForwarded,
                          Instant aNow) const
{
  std::vector<LoadSample> samples;
  for (const auto& [target, entry] : this->entries) {
    if (entry.reportedAt && *entry.reportedAt > aSince &&
        aNow - *entry.reportedAt <= this->options.maxReportAge &&
        (aIncludeForwarded || entry.isDirect)) {
      samples.push_back({ .target = target,
                          .requests = entry.reportedRequests,
                          .age = aNow - *entry.reportedAt });
    }
  }
  return samples;
}

} // namespace apricottrack
