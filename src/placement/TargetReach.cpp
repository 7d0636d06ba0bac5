#include "placement/TargetReach.h"

#include <algorithm>
#include <iterator>

namespace apricottrack {

void
TargetReach::OnConnected(const std::string& aTarget, Instant aNow)
{
  this->lastConnectedAt = aNow;
  this->unreachable.erase(aTarget);
  this->sampling.reset();
  if (this->isolatedSince) {
    this->isolatedSince.reset();
    for (auto& [target, dueAt] : this->unreachable) {
      dueAt = aNow;
    }
  }
}

void
TargetReach::OnConnectFailed(const std::string& aTarget, Instant aNow)
{
  this->unreachable[aTarget] = aNow + this->options.recheckInterval;
  const bool hasConnected =
    this->lastConnectedAt &&
    aNow - *this->lastConnectedAt < this->options.recentTime;
  if (!this->isolatedSince && !this->sampling && !hasConnected) {
    this->sampling =
      Sampling{ .hasStarted = false, .pending = {}, .failed = 0 };
  }
}

void
TargetReach::OnCheckEnded(const std::string& aTarget,
                          bool aConnected,
                          Instant aNow)
{
  this->rechecks.erase(aTarget);
  if (aConnected) {
    this->OnConnected(aTarget, aNow);
    return;
  }
  this->unreachable[aTarget] = aNow + this->options.recheckInterval;
  if (!this->sampling || this->sampling->pending.erase(aTarget) == 0) {
    return;
  }
  ++this->sampling->failed;
  if (!this->sampling->pending.empty()) {
    return;
  }
  if (this->sampling->failed >= this->options.minFailedSamples) {
    this->isolatedSince = aNow;
    this->nextIsolatedSampleAt = aNow + this->options.isolatedInterval;
  }
  this->sampling.reset();
}

std::vector<std::string>
TargetReach::DueChecks(const std::vector<std::string>& aTargets,
                       Instant aNow,
                       std::mt19937_64& aRandom)
{
  this->ForgetOthers(aTargets);
  if (this->isolatedSince) {
    std::vector<std::string> due;
    if (aNow >= this->nextIsolatedSampleAt) {
      this->nextIsolatedSampleAt = aNow + this->options.isolatedInterval;
      std::sample(aTargets.begin(),
                  aTargets.end(),
                  std::back_inserter(due),
                  this->options.isolatedSamples,
                  aRandom);
    }
    return due;
  }
  std::vector<std::string> due = this->DueRechecks(aNow);
  if (this->sampling && !this->sampling->hasStarted) {
    const std::vector<std::string> samples =
      this->StartSampling(aTargets, aRandom);
    due.insert(due.end(), samples.begin(), samples.end());
  }
  return due;
}

std::vector<std::string>
TargetReach::StartSampling(const std::vector<std::string>& aTargets,
                           std::mt19937_64& aRandom)
{
  std::vector<std::string> others;
  std::copy_if(aTargets.begin(),
               aTargets.end(),
               std::back_inserter(others),
               [this](const std::string& aTarget) {
                 return !this->unreachable.contains(aTarget);
               });
  std::vector<std::string> samples;
  std::sample(others.begin(),
              others.end(),
              std::back_inserter(samples),
              this->options.samples,
              aRandom);
  this->sampling->hasStarted = true;
  this->sampling->pending = { samples.begin(), samples.end() };
  if (samples.empty()) {
    this->sampling.reset();
  }
  return samples;
}

std::vector<std::string>
TargetReach::DueRechecks(Instant aNow)
{
  std::vector<std::string> due;
  for (const auto& [target, dueAt] : this->unreachable) {
    if (this->rechecks.size() >= this->options.maxConcurrentRechecks) {
      break;
    }
    const bool isSample =
      this->sampling && this->sampling->pending.contains(target);
    if (aNow >= dueAt && !isSample && this->rechecks.insert(target).second) {
      due.push_back(target);
    }
  }
  return due;
}

void
TargetReach::ForgetOthers(const std::vector<std::string>& aTargets)
{
  if (this->unreachable.empty()) {
    return;
  }
  const std::set<std::string_view> known(aTargets.begin(), aTargets.end());
  std::erase_if(this->unreachable, [&](const auto& aEntry) {
    return !known.contains(aEntry.first);
  });
}

} // namespace apricottrack
