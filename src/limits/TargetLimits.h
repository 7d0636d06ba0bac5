#ifndef APRICOTTRACK_LIMITS_TARGETLIMITS_H
#define APRICOTTRACK_LIMITS_TARGETLIMITS_H

#include "limits/LimitSample.h"

#include <cstdint>
#include <optional>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

namespace apricottrack {

/// What a node knows of the demand, in requests per second, that a target's
/// limit is divided by. Without any demand a limit is divided equally.
struct DemandSplit
{
  double own = 0;
  double other = 0;
  /// Number of nodes; none while unknown.
  std::optional<int> nodeCount;

  friend bool operator==(const DemandSplit&, const DemandSplit&) = default;
};

/// Keeps this node's requests to each target within its share of the limit that
/// the target states for all nodes together, and of what it accepts while it is
/// cold. Requests to a limited target take
/// turns, at an interval that follows from the share. A turn that is not taken
/// expires, so that many nodes with rare turns cannot save them up for a burst.
/// Each node has one.
class TargetLimits
{
public:
  struct Options
  {
    /// Fraction of a limit that few nodes use together, and that many do. The
    /// rest covers their different views of the demand, and turns that coincide
    /// by chance, of which there are more with more nodes.
    double usedFraction = 0.95;
    double minUsedFraction = 0.8;
    /// Number of nodes from which on `minUsedFraction` applies.
    int manyNodes = 100;
    /// A turn expires after this time.
    Duration turnLifetime = seconds(1);
    /// The same at a cold target, which accepts its rate in every second.
    Duration coldTurnLifetime = milliseconds(200);
    /// Smallest number of requests per second that all nodes together send to a
    /// target, as only its responses show that a limit has ended.
    double minRate = 0.25;
    /// Largest share of one node, as a multiple of the mean share. Bounds what
    /// nodes send together while each knows only part of the demand.
    double maxShareOfMean = 2;
    /// A limit that no node has heard of for this long has ended.
    Duration lifetime = seconds(60);
  };

  /// `aSeed` decides when this node's turns are; it differs between nodes.
  TargetLimits(Options aOptions, std::uint64_t aSeed);

  /// Records a response. `aLimit` is the limit that it states, in requests per
  /// second from all nodes together; none if it states no limit. A response
  /// without a limit ends an earlier one only if its request was sent, at
  /// `aSentAt`, after that was last stated.
  void OnResponse(const std::string& aTarget,
                  std::optional<double> aLimit,
                  Instant aSentAt,
                  Instant aNow);

  /// Records what another node has heard. Ignored unless it is newer than what
  /// this node knows.
  void OnForwarded(const LimitSample& aSample, Instant aNow);

  /// Records that the target accepts `aRate` requests per second from all nodes
  /// together until `aUntil`, because it is cold. Never shortens such a time.
  void OnCold(const std::string& aTarget,
              double aRate,
              Instant aUntil,
              Instant aNow);

  /// Returns the targets that are cold.
  std::vector<ColdSample> ColdTargets(Instant aNow) const;

  bool IsCold(const std::string& aTarget, Instant aNow) const;

  /// Returns false if no target is cold.
  bool MayBeCold(Instant aNow) const { return aNow < this->anyColdUntil; }

  /// Returns true if requests to the target need turns.
  bool IsLimited(const std::string& aTarget, Instant aNow) const
  {
    return this->FindLimited(aTarget, aNow) != nullptr;
  }

  /// Returns what this node has heard after `aSince`: only from responses or,
  /// with `aIncludeForwarded`, also from other nodes.
  std::vector<LimitSample> SamplesSince(Instant aSince,
                                        bool aIncludeForwarded,
                                        Instant aNow) const;

  /// Returns when this node may send its next request to the target: at once if
  /// the result is not after `aNow`, never if it is Instant::max().
  Instant NextTurn(const std::string& aTarget,
                   const DemandSplit& aDemand,
                   Instant aNow) const;

  /// Takes the next turn and returns when it is. Each request to a target needs
  /// one, whether it is limited or not.
  Instant TakeTurn(const std::string& aTarget,
                   const DemandSplit& aDemand,
                   Instant aNow);

  /// Returns how many requests per second this node may send to the target;
  /// none if that is not limited.
  std::optional<double> OwnRate(const std::string& aTarget,
                                const DemandSplit& aDemand,
                                Instant aNow) const;

  /// Returns the limit that the target has stated, or none.
  std::optional<double> LimitOf(const std::string& aTarget, Instant aNow) const;

private:
  struct Entry
  {
    /// None if the limit has ended.
    std::optional<double> limit;
    /// When it was stated or, if it has ended, when the request was sent whose
    /// response showed that.
    Instant saidAt;
    /// When this node learned of that, and whether from a response.
    Instant heardAt;
    bool isDirect = false;
    Instant limitedSince;
    /// The turn before the first one is this fraction of an interval before
    /// `limitedSince`, drawn at random to spread the turns of the nodes.
    double phase = 0;
    /// None before the first turn was taken.
    std::optional<Instant> lastTurn;
    /// This node's requests since `limitedSince`.
    int sentCount = 0;
    /// Requests per second that the target accepts until `coldUntil`.
    double coldRate = 0;
    Instant coldUntil;
  };

  void Apply(const std::string& aTarget,
             std::optional<double> aLimit,
             Instant aSaidAt,
             bool aIsDirect,
             Instant aNow);
  /// Returns whether the limit that the target stated still holds.
  bool HasStatedLimit(const Entry& aEntry, Instant aNow) const;
  /// Returns how many requests per second the target accepts from all nodes
  /// together; none if that is not limited.
  std::optional<double> RateOf(const Entry& aEntry, Instant aNow) const;
  /// Starts to give out turns.
  void BeginTurns(Entry& aEntry, Instant aNow);
  /// Returns the entry if the target is limited, else null.
  const Entry* FindLimited(const std::string& aTarget, Instant aNow) const;
  /// `aRate`: RateOf the target.
  double OwnRate(double aRate, const DemandSplit& aDemand) const;
  Instant NextTurn(const Entry& aEntry,
                   const DemandSplit& aDemand,
                   Instant aNow) const;
  void RemoveExpired(Instant aNow);

  Options options;
  /// The latest end of all cold times.
  Instant anyColdUntil;
  std::unordered_map<std::string, Entry> entries;
  std::minstd_rand random;
};

} // namespace apricottrack

#endif
