#include "limits/TargetLimits.h"

#include "base/Log.h"
#include "limits/AccountLimiter.h"

#include <algorithm>
#include <cmath>

namespace apricottrack {

namespace {

/// Number of entries from which on expired ones are removed.
constexpr std::size_t kMaxEntries = 4096;

/// An interval that is longer than this ends after the limit's lifetime.
constexpr double kMaxIntervalSeconds = 3600;

} // namespace

TargetLimits::TargetLimits(Options aOptions, std::uint64_t aSeed)
  : options(aOptions)
  , random(static_cast<std::minstd_rand::result_type>(aSeed))
{
}

void
TargetLimits::OnResponse(const std::string& aTarget,
                         std::optional<double> aLimit,
                         Instant aSentAt,
                         Instant aNow)
{
  this->Apply(aTarget, aLimit, aLimit ? aNow : aSentAt, true, aNow);
}

void
TargetLimits::OnForwarded(const LimitSample& aSample, Instant aNow)
{
  if (!aSample.limit || IsRequestLimit(*aSample.limit)) {
    this->Apply(aSample.target, aSample.limit, aNow - aSample.age, false, aNow);
  }
}

std::vector<LimitSample>
TargetLimits::SamplesSince(Instant aSince,
                           bool aIncludeForwarded,
                           Instant aNow) const
{
  std::vector<LimitSample> samples;
  for (const auto& [target, entry] : this->entries) {
    if (entry.heardAt > aSince && (aIncludeForwarded || entry.isDirect)) {
      samples.push_back(
        { .target = target,
          .limit = entry.limit,
          .age = std::max(Duration::zero(), Duration(aNow - entry.saidAt)) });
    }
  }
  return samples;
}

std::optional<double>
TargetLimits::LimitOf(const std::string& aTarget, Instant aNow) const
{
  const Entry* const entry = this->FindLimited(aTarget, aNow);
  return entry == nullptr ? std::nullopt : entry->limit;
}

Instant
TargetLimits::NextTurn(const std::string& aTarget,
                       const DemandSplit& aDemand,
                       Instant aNow) const
{
  const Entry* const entry = this->FindLimited(aTarget, aNow);
  return entry == nullptr ? aNow : this->NextTurn(*entry, aDemand, aNow);
}

Instant
TargetLimits::TakeTurn(const std::string& aTarget,
                       const DemandSplit& aDemand,
                       Instant aNow)
{
  if (this->FindLimited(aTarget, aNow) == nullptr) {
    return aNow;
  }
  Entry& entry = this->entries[aTarget];
  const Instant turn = this->NextTurn(entry, aDemand, aNow);
  if (turn != Instant::max()) {
    entry.lastTurn = turn;
  }
  ++entry.sentCount;
  return turn;
}

const TargetLimits::Entry*
TargetLimits::FindLimited(const std::string& aTarget, Instant aNow) const
{
  const auto found = this->entries.find(aTarget);
  const bool isLimited = found != this->entries.end() && found->second.limit &&
                         aNow - found->second.saidAt < this->options.lifetime;
  return isLimited ? &found->second : nullptr;
}

std::optional<double>
TargetLimits::OwnRate(const std::string& aTarget,
                      const DemandSplit& aDemand,
                      Instant aNow) const
{
  const Entry* const entry = this->FindLimited(aTarget, aNow);
  if (entry == nullptr) {
    return std::nullopt;
  }
  return this->OwnRate(*entry, aDemand);
}

double
TargetLimits::OwnRate(const Entry& aEntry, const DemandSplit& aDemand) const
{
  if (!aDemand.nodeCount) {
    return 0;
  }
  const int nodeCount = std::max(1, *aDemand.nodeCount);
  const double manyness =
    std::min(1.0, static_cast<double>(nodeCount) / this->options.manyNodes);
  const double usedFraction =
    this->options.usedFraction -
    manyness * (this->options.usedFraction - this->options.minUsedFraction);
  const double sharedRate =
    std::max(this->options.minRate, usedFraction * *aEntry.limit);
  return std::min(LimitShare(sharedRate, aDemand.own, aDemand.other, nodeCount),
                  this->options.maxShareOfMean * sharedRate / nodeCount);
}

Instant
TargetLimits::NextTurn(const Entry& aEntry,
                       const DemandSplit& aDemand,
                       Instant aNow) const
{
  const double ownRate = this->OwnRate(aEntry, aDemand);
  if (ownRate <= 0) {
    return Instant::max();
  }
  const Duration interval = std::max(
    Duration(1), FromSeconds(std::min(kMaxIntervalSeconds, 1 / ownRate)));
  const Instant lastTurn = aEntry.lastTurn.value_or(
    aEntry.limitedSince - FromSeconds(aEntry.phase * ToSeconds(interval)));
  const Instant next = lastTurn + interval;
  const Duration excess = aNow - this->options.turnLifetime - next;
  if (excess <= Duration::zero()) {
    return next;
  }
  // The first turn that has not expired.
  return next + interval * (1 + excess / interval);
}

void
TargetLimits::Apply(const std::string& aTarget,
                    std::optional<double> aLimit,
                    Instant aSaidAt,
                    bool aIsDirect,
                    Instant aNow)
{
  auto found = this->entries.find(aTarget);
  if (found == this->entries.end()) {
    if (!aLimit) {
      return;
    }
    this->RemoveExpired(aNow);
    found = this->entries.emplace(aTarget, Entry{}).first;
  }
  Entry& entry = found->second;
  if (aSaidAt <= entry.saidAt) {
    return;
  }
  const bool wasLimited = this->FindLimited(aTarget, aNow) != nullptr;
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
  }
  entry.limit = aLimit;
  entry.saidAt = aSaidAt;
  entry.heardAt = aNow;
  entry.isDirect = aIsDirect;
  if (aLimit && !wasLimited) {
    entry.limitedSince = aNow;
    entry.sentCount = 0;
    entry.lastTurn.reset();
    entry.phase = std::uniform_real_distribution<double>(0, 1)(this->random);
  }
}

void
TargetLimits::RemoveExpired(Instant aNow)
{
  if (this->entries.size() < kMaxEntries) {
    return;
  }
  std::erase_if(this->entries, [&](const auto& aItem) {
    return !aItem.second.limit ||
           aNow - aItem.second.saidAt >= this->options.lifetime;
  });
}

} // namespace apricottrack
