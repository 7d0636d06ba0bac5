#include "routing/Router.h"

#include "base/Hash.h"

#include <algorithm>

namespace apricottrack {

namespace {

/// Weight of the latest sample in the mean time to first byte.
constexpr double kFirstByteGain = 0.2;
/// Number of times to first byte of a target from which on its mean counts in
/// the median and the target can be a straggler.
constexpr int kMinSamples = 5;
/// Margin added to the straggler threshold, in seconds: smaller differences
/// from the median are noise.
constexpr double kStragglerMarginSeconds = 0.005;

/// Removes the times up to and including `aUntil`. `aTimes` is ascending.
void
RemoveUntil(std::deque<Instant>& aTimes, Instant aUntil)
{
  while (!aTimes.empty() && aTimes.front() <= aUntil) {
    aTimes.pop_front();
  }
}

} // namespace

Router::Router(Options aOptions, std::unique_ptr<RoutingStrategy> aStrategy)
  : options(std::move(aOptions))
  , strategy(std::move(aStrategy))
{
}

void
Router::SetTargets(const std::vector<Target>& aTargets)
{
  std::set<std::string_view> present;
  for (const Target& target : aTargets) {
    present.insert(target.id);
    Entry& entry = this->targets[target.id];
    entry.target = target;
    entry.identity =
      StableHash(target.group.empty() ? target.id : target.group);
    RemoveUntil(entry.recentStarts, target.reportedAt);
    RemoveUntil(entry.recentEnds, target.reportedAt);
  }
  std::erase_if(this->targets, [&present](const auto& aItem) {
    return !present.contains(aItem.first);
  });
}

double
Router::EstimatedRequests(const Entry& aEntry) const
{
  const double corrected = aEntry.target.reportedRequests +
                           static_cast<double>(aEntry.recentStarts.size()) -
                           static_cast<double>(aEntry.recentEnds.size());
  return std::max(corrected, static_cast<double>(aEntry.inFlight));
}

void
Router::SetNodeCount(int aCount)
{
  this->demand.nodeCount = aCount;
}

bool
Router::HasTurn(const Entry& aEntry, Instant aNow) const
{
  return this->options.limits == nullptr ||
         this->options.limits->NextTurn(aEntry.target.id, this->demand, aNow) <=
           aNow;
}

bool
Router::IsPaused(const Entry& aEntry, Instant aNow) const
{
  return this->options.pauses != nullptr &&
         this->options.pauses->EarliestSend(aEntry.target.id, aNow) > aNow;
}

std::optional<Instant>
Router::PauseEnd(Instant aNow) const
{
  std::optional<Instant> first;
  for (const auto& [id, entry] : this->targets) {
    if (!this->IsPaused(entry, aNow)) {
      return std::nullopt;
    }
    const Instant end = this->options.pauses->EarliestSend(id, aNow);
    first = std::min(first.value_or(end), end);
  }
  return first;
}

std::optional<double>
Router::LimitedRate(Instant aNow) const
{
  if (this->options.limits == nullptr || this->targets.empty()) {
    return std::nullopt;
  }
  double sum = 0;
  for (const auto& [id, entry] : this->targets) {
    const auto rate = this->options.limits->OwnRate(id, this->demand, aNow);
    if (!rate) {
      return std::nullopt;
    }
    sum += *rate;
  }
  return sum;
}

bool
Router::CanAccept(const Entry& aEntry, Instant aNow) const
{
  if (aNow < aEntry.backoffUntil || this->IsPaused(aEntry, aNow) ||
      !this->HasTurn(aEntry, aNow)) {
    return false;
  }
  if (aEntry.isStraggler) {
    return aEntry.inFlight == 0 && aNow >= aEntry.nextProbeAt;
  }
  return this->EstimatedRequests(aEntry) <
         aEntry.target.slots * this->options.overcommitFactor;
}

std::optional<Target>
Router::Choose(const RouteKey& aKey,
               const std::set<std::string>& aTried,
               Instant aNow,
               Random& aRandom)
{
  std::vector<RoutingCandidate> candidates;
  std::vector<Entry*> entries;
  std::vector<Entry*> probeTargets;
  const auto collectCandidates = [&](bool aIncludeTried) {
    for (auto& [id, entry] : this->targets) {
      if (!this->CanAccept(entry, aNow) ||
          (!aIncludeTried && aTried.contains(id))) {
        continue;
      }
      if (entry.isStraggler) {
        probeTargets.push_back(&entry);
        continue;
      }
      candidates.push_back(RoutingCandidate{
        .identity = entry.identity,
        .reportedLoad = static_cast<double>(entry.target.reportedRequests) /
                        entry.target.slots,
        .estimatedLoad = this->EstimatedRequests(entry) / entry.target.slots,
        .sameZone =
          entry.target.availabilityZone == this->options.availabilityZone,
      });
      entries.push_back(&entry);
    }
  };
  collectCandidates(false);
  if (candidates.empty() && probeTargets.empty() && !aTried.empty()) {
    collectCandidates(true);
  }
  // Only first attempts probe a straggler, unless a retry has no other target.
  if (!probeTargets.empty() && (aTried.empty() || candidates.empty())) {
    probeTargets.front()->nextProbeAt =
      aNow + this->options.stragglerProbeInterval;
    return probeTargets.front()->target;
  }
  if (candidates.empty()) {
    return std::nullopt;
  }
  return entries[this->strategy->Pick(candidates, aKey, aRandom)]->target;
}

void
Router::OnStart(const std::string& aId, Instant aNow)
{
  const auto found = this->targets.find(aId);
  if (found != this->targets.end()) {
    if (this->options.limits != nullptr) {
      this->options.limits->TakeTurn(aId, this->demand, aNow);
    }
    if (this->options.pauses != nullptr) {
      this->options.pauses->OnSend(aId, 0, aNow);
    }
    ++found->second.inFlight;
    found->second.recentStarts.push_back(aNow);
  }
}

void
Router::OnFirstByte(const std::string& aId, Duration aElapsed)
{
  const auto found = this->targets.find(aId);
  if (found == this->targets.end()) {
    return;
  }
  Entry& entry = found->second;
  const double seconds = ToSeconds(aElapsed);
  entry.meanFirstByteSeconds =
    entry.sampleCount == 0
      ? seconds
      : entry.meanFirstByteSeconds +
          kFirstByteGain * (seconds - entry.meanFirstByteSeconds);
  ++entry.sampleCount;
  this->UpdateStragglers();
}

void
Router::OnEnd(const std::string& aId, bool aFailed, Instant aNow)
{
  const auto found = this->targets.find(aId);
  if (found == this->targets.end()) {
    return;
  }
  Entry& entry = found->second;
  entry.inFlight = std::max(0, entry.inFlight - 1);
  entry.recentEnds.push_back(aNow);
  if (aFailed) {
    entry.backoffUntil = aNow + this->options.failureBackoff;
  }
}

double
Router::MedianFirstByteSeconds() const
{
  std::vector<double> means;
  for (const auto& [id, entry] : this->targets) {
    if (entry.sampleCount >= kMinSamples) {
      means.push_back(entry.meanFirstByteSeconds);
    }
  }
  if (means.size() < 3) {
    return 0;
  }
  const auto middle =
    means.begin() + static_cast<std::ptrdiff_t>(means.size() / 2);
  std::nth_element(means.begin(), middle, means.end());
  return *middle;
}

void
Router::UpdateStragglers()
{
  const double median = this->MedianFirstByteSeconds();
  if (median <= 0) {
    return;
  }
  for (auto& [id, entry] : this->targets) {
    const double factor = entry.isStraggler ? this->options.recoveredFactor
                                            : this->options.stragglerFactor;
    entry.isStraggler =
      entry.sampleCount >= kMinSamples &&
      entry.meanFirstByteSeconds > factor * median + kStragglerMarginSeconds;
  }
}

int
Router::FreeSlots(Instant aNow) const
{
  double freeSlots = 0;
  for (const auto& [id, entry] : this->targets) {
    if (!this->CanAccept(entry, aNow)) {
      continue;
    }
    const bool isLimited = this->options.limits != nullptr &&
                           this->options.limits->LimitOf(id, aNow);
    freeSlots += entry.isStraggler || isLimited
                   ? 1
                   : entry.target.slots * this->options.overcommitFactor -
                       this->EstimatedRequests(entry);
  }
  return static_cast<int>(freeSlots);
}

int
Router::TotalSlots() const
{
  int total = 0;
  for (const auto& [id, entry] : this->targets) {
    total += entry.target.slots;
  }
  return total;
}

bool
Router::IsStraggler(const std::string& aId) const
{
  const auto found = this->targets.find(aId);
  return found != this->targets.end() && found->second.isStraggler;
}

} // namespace apricottrack
