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
  entry.others = std::max(0, aRequests - entry.own);
  entry.reportedAt = aNow;
}

void
LoadBook::ForgetOld(Instant aNow)
{
  if (this->entries.size() < this->forgetAt) {
    return;
  }
  std::erase_if(this->entries, [&](const auto& aEntry) {
    return aEntry.second.own == 0 &&
           aNow - aEntry.second.reportedAt > 10 * this->options.reportHalfLife;
  });
  this->forgetAt = std::max<std::size_t>(1024, 2 * this->entries.size());
}

int
LoadBook::Own(const std::string& aTarget) const
{
  const auto found = this->entries.find(aTarget);
  return found == this->entries.end() ? 0 : found->second.own;
}

double
LoadBook::Estimate(const std::string& aTarget, Instant aNow) const
{
  const auto found = this->entries.find(aTarget);
  if (found == this->entries.end()) {
    return 0;
  }
  const Entry& entry = found->second;
  const double age = ToSeconds(aNow - entry.reportedAt);
  const double left = std::exp2(-age / ToSeconds(this->options.reportHalfLife));
  return entry.own + entry.others * left;
}

} // namespace apricottrack
