#include "limits/AccountLimiter.h"

#include "apricottrack/Configuration.h"

#include <algorithm>
#include <cmath>

namespace apricottrack {

namespace {

/// Capacity of a bucket, in seconds of its rate.
constexpr double kBurstSeconds = 2;

/// Time constant of the exponentially weighted demand, in seconds.
constexpr double kDemandSmoothingSeconds = 3;

/// Fraction of the limit that is divided equally among the nodes when demand
/// exceeds it, so that a node without demand can admit first requests.
constexpr double kFloorShare = 0.2;

/// Fraction of a demand's weight that remains after `aElapsed`.
double
DecayFactor(Duration aElapsed)
{
  return std::exp(-ToSeconds(aElapsed) / kDemandSmoothingSeconds);
}

/// Time in which `aMissing` units accrue at `aRate` per second, at most 60 s.
Duration
TimeToFill(double aMissing, double aRate)
{
  static constexpr double kMaxWaitSeconds = 60;
  const double wait = aRate > 0 ? aMissing / aRate : kMaxWaitSeconds;
  return FromSeconds(std::clamp(wait, 0.0, kMaxWaitSeconds));
}

} // namespace

double
LimitShare(double aLimit,
           double aOwnDemand,
           double aOtherDemand,
           int aNodeCount)
{
  const int nodeCount = std::max(1, aNodeCount);
  const double total = aOwnDemand + aOtherDemand;
  if (total < aLimit) {
    return aOwnDemand + (aLimit - total) / nodeCount;
  }
  const double byDemand = total > 0 ? aLimit * aOwnDemand / total : 0;
  return kFloorShare * aLimit / nodeCount + (1 - kFloorShare) * byDemand;
}

Rates
AccountLimiter::ShareOfLimits(const ClientAccount& aAccount,
                              const AccountState& aState) const
{
  const auto found = this->otherDemand.find(aAccount.name);
  const Rates other =
    found == this->otherDemand.end() ? Rates{} : found->second;
  return Rates{
    .requests = LimitShare(aAccount.requestsPerSecond,
                           aState.demand.requests,
                           other.requests,
                           this->nodeCount),
    .tokens = LimitShare(aAccount.tokensPerSecond,
                         aState.demand.tokens,
                         other.tokens,
                         this->nodeCount),
  };
}

std::optional<Duration>
AccountLimiter::Admit(const ClientAccount& aAccount,
                      double aTokens,
                      Instant aNow)
{
  AccountState& state = this->accountStates[aAccount.name];
  const Duration elapsed =
    state.isNew ? Duration::zero()
                : std::max(Duration::zero(), aNow - state.updatedAt);
  const double decay = DecayFactor(elapsed);
  state.demand.requests =
    state.demand.requests * decay + 1 / kDemandSmoothingSeconds;
  state.demand.tokens =
    state.demand.tokens * decay + aTokens / kDemandSmoothingSeconds;

  const Rates share = this->ShareOfLimits(aAccount, state);
  const double requestCap = std::max(1.0, share.requests * kBurstSeconds);
  const double tokenCap = std::max(aTokens, share.tokens * kBurstSeconds);
  const double seconds = ToSeconds(elapsed);
  if (state.isNew) {
    state.requests = requestCap;
    state.tokens = tokenCap;
    state.isNew = false;
  }
  state.requests =
    std::min(requestCap, state.requests + share.requests * seconds);
  state.tokens = std::min(tokenCap, state.tokens + share.tokens * seconds);
  state.updatedAt = aNow;
  if (state.requests < 1 || state.tokens < aTokens) {
    return std::max(TimeToFill(1 - state.requests, share.requests),
                    TimeToFill(aTokens - state.tokens, share.tokens));
  }
  state.requests -= 1;
  state.tokens -= aTokens;
  return std::nullopt;
}

void
AccountLimiter::ReconcileTokens(const std::string& aAccount,
                                double aEstimated,
                                double aActual)
{
  const auto found = this->accountStates.find(aAccount);
  if (found != this->accountStates.end()) {
    found->second.tokens += aEstimated - aActual;
  }
}

void
AccountLimiter::SetOtherDemand(std::map<std::string, Rates> aDemand,
                               int aNodeCount)
{
  this->otherDemand = std::move(aDemand);
  this->nodeCount = std::max(1, aNodeCount);
}

std::map<std::string, Rates>
AccountLimiter::OwnDemand(Instant aNow) const
{
  std::map<std::string, Rates> demand;
  for (const auto& [account, state] : this->accountStates) {
    const double decay =
      DecayFactor(std::max(Duration::zero(), aNow - state.updatedAt));
    demand[account] = Rates{ .requests = state.demand.requests * decay,
                             .tokens = state.demand.tokens * decay };
  }
  return demand;
}

} // namespace apricottrack
