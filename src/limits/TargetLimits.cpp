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

void
TargetLimits::OnCold(const std::string& aTarget,
                     double aRate,
                     Instant aUntil,
                     Instant aNow)
{
  if (aUntil <= aNow || !IsRequestLimit(aRate)) {
    return;
  }
  auto found = this->entries.find(aTarget);
  if (found == this->entries.end()) {
    this->RemoveExpired(aNow);
    found = this->entries.emplace(aTarget, Entry{}).first;
  }
  Entry& entry = found->second;
  if (!this->RateOf(entry, aNow)) {
    this->BeginTurns(entry, aNow);
  }
  if (entry.coldUntil <= aNow) {
    LogLine("target_cold")
      .With("target", aTarget)
      .With("rate", aRate)
      .With("for_ms", std::int64_t{ (aUntil - aNow) / milliseconds(1) })
      .Info();
  }
  entry.coldRate = aRate;
  entry.coldUntil = std::max(entry.coldUntil, aUntil);
  this->anyColdUntil = std::max(this->anyColdUntil, aUntil);
}

std::vector<ColdSample>
TargetLimits::ColdTargets(Instant aNow) const
{
  std::vector<ColdSample> samples;
  for (const auto& [target, entry] : this->entries) {
    if (aNow < entry.coldUntil) {
      samples.push_back({ .target = target,
                          .rate = entry.coldRate,
                          .remaining = entry.coldUntil - aNow });
    }
  }
  return samples;
}

bool
TargetLimits::IsCold(const std::string& aTarget, Instant aNow) const
{
  const auto found = this->entries.find(aTarget);
  return found != this->entries.end() && aNow < found->second.coldUntil;
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
  const auto found = this->entries.find(aTarget);
  return found == this->entries.end() ||
             !this->HasStatedLimit(found->second, aNow)
           ? std::nullopt
           : found->second.limit;
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
  return found != this->entries.end() && this->RateOf(found->second, aNow)
           ? &found->second
           : nullptr;
}

bool
TargetLimits::HasStatedLimit(const Entry& aEntry, Instant aNow) const
{
  return aEntry.limit && aNow - aEntry.saidAt < this->options.lifetime;
}

std::optional<double>
TargetLimits::RateOf(const Entry& aEntry, Instant aNow) const
{
  const std::optional<double> stated =
    this->HasStatedLimit(aEntry, aNow) ? aEntry.limit : std::nullopt;
  if (aNow >= aEntry.coldUntil) {
    return stated;
  }
  return std::min(stated.value_or(aEntry.coldRate), aEntry.coldRate);
}

void
TargetLimits::BeginTurns(Entry& aEntry, Instant aNow)
{
  aEntry.limitedSince = aNow;
  aEntry.sentCount = 0;
  aEntry.lastTurn.reset();
  aEntry.phase = std::uniform_real_distribution<double>(0, 1)(this->random);
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
  return this->OwnRate(*this->RateOf(*entry, aNow), aDemand);
}

double
TargetLimits::OwnRate(double aRate, const DemandSplit& aDemand) const
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
    std::max(this->options.minRate, usedFraction * aRate);
  return std::min(LimitShare(sharedRate, aDemand.own, aDemand.other, nodeCount),
                  this->options.maxShareOfMean * sharedRate / nodeCount);
}

Instant
TargetLimits::NextTurn(const Entry& aEntry,
                       const DemandSplit& aDemand,
                       Instant aNow) const
{
  const double ownRate =
    this->OwnRate(this->RateOf(aEntry, aNow).value_or(0), aDemand);
  if (ownRate <= 0) {
    return Instant::max();
  }
  const Duration interval = std::max(
    Duration(1), FromSeconds(std::min(kMaxIntervalSeconds, 1 / ownRate)));
  const Instant lastTurn = aEntry.lastTurn.value_or(
    aEntry.limitedSince - FromSeconds(aEntry.phase * ToSeconds(interval)));
  const Instant next = lastTurn + interval;
  const Duration lifetime = aNow < aEntry.coldUntil
                              ? this->options.coldTurnLifetime
                              : this->options.turnLifetime;
  const Duration excess = aNow - lifetime - next;
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
    this->BeginTurns(entry, aNow);
  }
}

void
TargetLimits::RemoveExpired(Instant aNow)
{
  if (this->entries.size() < kMaxEntries) {
    return;
  }
  std::erase_if(this->entries, [&](const auto& aItem) {
    return !this->RateOf(aItem.second, aNow);
  });
}

} // namespace apricottrack
