#ifndef APRICOTTRACK_PLACEMENT_PLACEMENT_H
#define APRICOTTRACK_PLACEMENT_PLACEMENT_H

#include "placement/Candidate.h"
#include "placement/LoadBook.h"
#include "placement/StallDetector.h"

#include <random>
#include <set>
#include <string>
#include <vector>

namespace apricottrack {

enum class PlacementRefusal
{
  kNone,
  /// Nothing is there that could run the request.
  kNoTarget,
  /// All slots are taken and too many requests wait for them.
  kFull,
};

struct PlacementChoice
{
  PlacementRefusal refusal = PlacementRefusal::kNone;
  Candidate target;
  /// Requests that the target is thought to hold.
  double load = 0;

  friend bool operator==(const PlacementChoice&,
                         const PlacementChoice&) = default;
};

/// Chooses the target that a request will wait least for. Answers high load
/// on a fleet whose reports lag while many nodes choose at once: requests that
/// others have sent since the reports are thought of as filling the least
/// loaded targets up to one level, and a target is drawn by the room that it
/// has below that level.
class Placement
{
public:
  struct Options
  {
    /// Requests that may wait at a target, as a share of its slots; below zero
    /// some slots are left free.
    double queueShare = 0.15;
    /// Requests a target that are taken as unseen at least; nodes that choose
    /// at the same moment do not see each other.
    double leastUnseen = 1.0;
    /// Added to the load of a target in another availability zone.
    double crossZoneLoad = 0.5;
    /// Loads are to be equal after this time, or after the time that requests
    /// stay at a target if that is less. Sooner would send bursts of prompts to
    /// a target that happens to hold few requests.
    Duration evenAfter = milliseconds(1000);
    /// What other nodes had running at a target is taken to end at this rate
    /// when the target is checked for room.
    Duration halfLife = milliseconds(1000);
    /// Age taken for targets that nothing is known of; reports that are older
    /// are forgotten.
    Duration unheard = milliseconds(2000);
    /// Requests stay at least as long.
    Duration leastStay = milliseconds(50);
    /// While the rate is unknown this share of all slots is taken as unseen.
    double unknownShare = 0.5;
  };

  Placement(Options aOptions,
            const LoadBook& aLoads,
            const StallDetector& aStalls,
            std::string aAvailabilityZone);

  /// `aTried` holds targets that the request was sent to before; `aRate` is
  /// how many requests a second all nodes send to the candidates, zero while
  /// unknown.
  PlacementChoice Choose(const std::vector<Candidate>& aCandidates,
                         const std::set<std::string>& aTried,
                         double aRate,
                         Instant aNow,
                         std::mt19937_64& aRandom) const;

private:
  struct Ranked
  {
    const Candidate* candidate = nullptr;
    /// Requests that the target is thought to hold.
    double load = 0;
    /// The same, with the cost of distance and doubt.
    double cost = 0;
  };

  struct Survey
  {
    std::vector<Ranked> targets;
    /// Requests that fill them before this one is the only one there.
    double unseen = 0;
  };

  Survey Look(const std::vector<Candidate>& aCandidates,
              const std::set<std::string>& aTried,
              double aRate,
              Instant aNow) const;
  /// How long requests stay at a target, from what they hold together.
  Duration StayOf(double aRequests, double aRate) const;
  bool IsFull(const Ranked& aTarget) const;

  Options options;
  const LoadBook& loads;
  const StallDetector& stalls;
  std::string availabilityZone;
};

} // namespace apricottrack

#endif
