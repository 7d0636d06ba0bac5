#ifndef APRICOTTRACK_FLEET_FLEETMESSAGES_H
#define APRICOTTRACK_FLEET_FLEETMESSAGES_H

#include "apricottrack/Time.h"
#include "engine/ReplicaBudget.h"
#include "fleet/TargetRecord.h"
#include "placement/LoadSample.h"

#include <cstdint>
#include <string>
#include <vector>

/// What nodes tell each other about the fleet.
namespace apricottrack {

/// Asks the planner's node for what changed.
struct FleetQuestion
{
  std::string node;
  /// The process that the sequence number came from.
  std::string source;
  std::uint64_t sequence = 0;
  std::int64_t catalogRevision = 0;
  /// Longest time to wait for a change.
  Duration wait = Duration::zero();
  /// The asker's own.
  ModelDemands demands;
  /// The store did not answer the asker, which needs the catalog all the same.
  bool wantsCatalog = false;
  /// What targets told the asker since its last question.
  std::vector<LoadSample> loads;

  friend bool operator==(const FleetQuestion&, const FleetQuestion&) = default;
};

struct FleetAnswer
{
  std::string source;
  /// The sender plans, and so hears of changes first.
  bool leads = false;
  std::uint64_t sequence = 0;
  std::int64_t catalogRevision = 0;
  /// Age of the reads that back the answer, when it was made.
  Duration catalogAge = Duration::zero();
  Duration fleetAge = Duration::zero();
  /// The targets are all there are.
  bool complete = false;
  std::vector<TargetRecord> targets;
  std::vector<std::string> gone;
  /// Replicas with a lost member, as NAME/EPOCH.
  std::vector<std::string> broken;
  /// Replicas that are whole although the store does not list all members.
  std::vector<std::string> vouched;
  /// Nodes that ask, the sender included.
  int nodes = 0;
  /// The document of the catalog's revision, as the store holds it; empty
  /// where the asker has it.
  std::string catalog;
  /// What targets told any node a short while ago.
  std::vector<LoadSample> loads;
  /// Of all nodes together; empty while unknown.
  ModelDemands demands;

  friend bool operator==(const FleetAnswer&, const FleetAnswer&) = default;
};

/// Targets at which the sender's requests stand still.
struct StallNotice
{
  std::string node;
  std::vector<std::string> targets;

  friend bool operator==(const StallNotice&, const StallNotice&) = default;
};

/// The notice came.
struct Receipt
{
  friend bool operator==(const Receipt&, const Receipt&) = default;
};

} // namespace apricottrack

#endif
