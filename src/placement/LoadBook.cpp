#include "placement/LoadBook.h"

#include <algorithm>
#include <cmath>

namespace apricottrack {

void
LoadBook::OnSent(const std::string& aTarget)
{
  ++this->entries[aTarget].own;
}

void
LoadBook::OnEnded(const std::string& aTarget)
{
  const auto found = this->entries.find(aTarget);
  if (found != this->entries.end() && found->second.own > 0) {
    --found->second.own;
  }
}

void
LoadBook::OnReported(const std::string& aTarget, int aRequests, Instant aNow)
{
  this->ForgetOld(aNow);
  Entry& entry = this->entries[aTarget];
  this->Take(entry, aRequests, aNow);
  entry.direct = true;
}

void
LoadBook::Take(Entry& aEntry, int aRequests, Instant aReportedAt) const
{
  // A report to another node does not contain this node's part of the
  // requests. The present count is close to it: it changes little between the
  // report and its arrival.
  const double others = std::max(0, aRequests - aEntry.own);
  const bool follows = aEntry.reportedAt &&
                       aReportedAt - *aEntry.reportedAt <= this->options.memory;
  const double kept =
    follows ? std::exp2(-ToSeconds(aReportedAt - *aEntry.reportedAt) /
                        ToSeconds(this->options.usualHalfLife))
            : 0;
  aEntry.usual = kept * aEntry.usual + (1 - kept) * others;
  aEntry.reported = aRequests;
  aEntry.ownThen = aEntry.own;
  aEntry.reportedAt = aReportedAt;
}

void
LoadBook::OnTold(const LoadSample& aSample, Instant aNow)
{
  this->ForgetOld(aNow);
  Entry& entry = this->entries[aSample.target];
  const Instant reportedAt = aNow - aSample.age;
  if (entry.reportedAt && *entry.reportedAt >= reportedAt) {
    return;
  }
  this->Take(entry, aSample.requests, reportedAt);
  entry.direct = false;
}

void
LoadBook::ForgetOld(Instant aNow)
{
  if (this->entries.size() < this->forgetAt) {
    return;
  }
  std::erase_if(this->entries, [&](const auto& aEntry) {
    return aEntry.second.own == 0 &&
           (!aEntry.second.reportedAt ||
            aNow - *aEntry.second.reportedAt > this->options.memory);
  });
  this->forgetAt = std::max<std::size_t>(1024, 2 * this->entries.size());
}

int
LoadBook::Own(const std::string& aTarget) const
{
  const auto found = this->entries.find(aTarget);
  return found == this->entries.end() ? 0 : found->second.own;
}

std::optional<LoadBook::Others>
LoadBook::OthersAt(const std::string& aTarget, Instant aNow) const
{
  const auto found = this->entries.find(aTarget);
  if (found == this->entries.end() || !found->second.reportedAt) {
    return std::nullopt;
  }
  const Entry& entry = found->second;
  const Duration age = aNow - *entry.reportedAt;
  if (age > this->options.memory) {
    return std::nullopt;
  }
  return Others{ .requests = static_cast<double>(
                   std::max(0, entry.reported - entry.ownThen)),
                 .usual = entry.usual,
                 .age = age };
}

std::vector<LoadSample>
LoadBook::SamplesSince(Instant aSince, bool aTold, Instant aNow) const
{
  std::vector<LoadSample> samples;
  for (const auto& [target, entry] : this->entries) {
    if (entry.reportedAt && *entry.reportedAt > aSince &&
        aNow - *entry.reportedAt <= this->options.memory &&
        (aTold || entry.direct)) {
      samples.push_back({ .target = target,
                          .requests = entry.reported,
                          .age = aNow - *entry.reportedAt });
    }
  }
  return samples;
}

} // namespace apricottrack
