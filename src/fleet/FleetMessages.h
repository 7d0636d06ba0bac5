#ifndef APRICOTTRACK_FLEET_FLEETMESSAGES_H
#define APRICOTTRACK_FLEET_FLEETMESSAGES_H

#include "apricottrack/Time.h"
#include "engine/ReplicaBudget.h"
#include "fleet/TargetRecord.h"
#include "limits/LimitSample.h"
#include "placement/LoadSample.h"
#include "quarantine/CrashReports.h"

#include <cstdint>
#include <string>
#include <vector>

/// Messages by which nodes exchange the state of the fleet.
namespace apricottrack {

/// Stands for the age of a verification that never happened.
inline constexpr Duration kUnverifiedAge = std::chrono::hours(24 * 365);

/// Long poll to the planner's node for changes to the fleet and the catalog.
struct FleetQuestion
{
  std::string node;
  /// Identifies the process that issued `sequence`; numbers of another process
  /// are not comparable.
  std::string source;
  /// Sequence number of the last answer that the sender has applied.
  std::uint64_t sequence = 0;
  /// Store revision of the sender's catalog; zero without one.
  std::int64_t catalogRevision = 0;
  /// Maximum time to wait for a change before answering.
  Duration wait = Duration::zero();
  /// Demand at the sender alone.
  ModelDemands demands;
  /// The sender cannot read the store and needs the catalog's document, however
  /// large.
  bool wantsCatalog = false;
  /// Loads that targets reported to the sender since its previous query.
  std::vector<LoadSample> loads;
  /// Requests that the sender lost with their targets since the last answer of
  /// this planner; all recent ones for a new planner.
  std::vector<LostRequest> lostRequests;
  /// Numbers of the sender's answers for the planner's suspected parts.
  std::vector<PartAnswers> partAnswers;
  /// The sender's quarantine, for a new planner.
  std::vector<QuarantinedParts> quarantinedParts;
  /// What targets' responses to the sender since its previous query said about
  /// their limits.
  std::vector<LimitSample> limits;
  /// IP:port where the sender accepts forwarded requests; empty while it
  /// reaches no targets or stops.
  std::string forwardAddress;

  friend bool operator==(const FleetQuestion&, const FleetQuestion&) = default;
};

/// Reply to a FleetQuestion.
struct FleetAnswer
{
  /// Identifies the process that issued `sequence`.
  std::string source;
  /// The sender holds the planner lease, so its fleet is the most recent one.
  bool leads = false;
  /// Sequence number of the sender's fleet at this answer; the receiver passes
  /// it in its next query.
  std::uint64_t sequence = 0;
  /// Store revision of the sender's catalog; zero without one.
  std::int64_t catalogRevision = 0;
  /// Time from the last confirmation by the store that the sender's catalog was
  /// up to date until the query arrived; negative if it was confirmed while the
  /// query was held, and kUnverifiedAge if it never was.
  Duration catalogAge = Duration::zero();
  /// The same for its fleet, until this answer.
  Duration fleetAge = Duration::zero();
  /// `targets` is the complete fleet rather than the changes to it.
  bool complete = false;
  std::vector<TargetRecord> targets;
  /// Ids of removed targets.
  std::vector<std::string> gone;
  /// Replicas with a lost member, as NAME/EPOCH.
  std::vector<std::string> broken;
  /// Replicas, as NAME/EPOCH, that are confirmed intact although the store
  /// does not list all members.
  std::vector<std::string> vouched;
  /// Number of nodes that query the sender, the sender included; zero while
  /// unknown.
  int nodes = 0;
  /// The catalog's document as stored at `catalogRevision`. Empty if the
  /// query's revision is as new; a large document is sent only to a sender that
  /// set `wantsCatalog`.
  std::string catalog;
  /// Loads that targets reported to any node, each with its age, which
  /// FleetRelay bounds.
  std::vector<LoadSample> loads;
  /// Demand at all nodes together; empty while unknown.
  ModelDemands demands;
  /// Prompt parts whose answers the planner needs to attribute crashes.
  std::vector<std::string> suspectedParts;
  std::vector<QuarantinedParts> quarantinedParts;
  /// What any node has heard about targets' limits a short time ago.
  std::vector<LimitSample> limits;
  /// Some nodes to which the receiver may forward requests, as IP:port.
  std::vector<std::string> forwardAddresses;
  /// Availability zones that are evacuated.
  std::vector<std::string> evacuatedZones;
  /// Store revision up to which these are known; zero if they are unknown.
  std::int64_t evacuationRevision = 0;
  std::vector<ColdSample> coldTargets;

  friend bool operator==(const FleetAnswer&, const FleetAnswer&) = default;
};

/// Reports targets at which the sender's requests are stalled.
struct StallNotice
{
  std::string node;
  std::vector<std::string> targets;

  friend bool operator==(const StallNotice&, const StallNotice&) = default;
};

/// Acknowledges a StallNotice.
struct Receipt
{
  friend bool operator==(const Receipt&, const Receipt&) = default;
};

} // namespace apricottrack

#endif
