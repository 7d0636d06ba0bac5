#ifndef APRICOTTRACK_PLACEMENT_CANDIDATEDIRECTORY_H
#define APRICOTTRACK_PLACEMENT_CANDIDATEDIRECTORY_H

#include "catalog/Catalog.h"
#include "fleet/Fleet.h"
#include "fleet/ZoneEvacuations.h"
#include "placement/Candidate.h"

#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace apricottrack {

/// Indexes the targets that accept requests by service and model, from the
/// entries of the targets in the store. A replica is represented by its head.
/// The head is listed if it is open and not leaving, if the replica is not
/// known to have lost a member, and if either every rank of its epoch has an
/// entry or the planner confirms the replica as intact although the store lost
/// entries of members. Targets in evacuated availability zones are not listed.
/// Each serving node has one, rebuilt when an entry changes
/// and not for each request.
class CandidateDirectory
{
public:
  /// Replaces the index. `aBrokenReplicas` holds the ReplicaKey of each replica
  /// that lost a member and is left out. `aConfirmedReplicas` holds the keys of
  /// replicas that the planner confirms as intact although the store does not
  /// list all members. Targets in `aEvacuatedZones` are left out.
  void Rebuild(const Catalog& aCatalog,
               const Fleet& aFleet,
               const std::set<std::string>& aBrokenReplicas,
               const std::set<std::string>& aConfirmedReplicas,
               const ZoneEvacuations::Zones& aEvacuatedZones = {});

  /// Returns the candidates for a model, or an empty list if there are none.
  /// The model is ignored for services without replicas. The reference is
  /// valid until the next Rebuild.
  const std::vector<Candidate>& Find(const CatalogService& aService,
                                     std::string_view aModel) const;

  /// Returns the ids of all candidates.
  std::vector<std::string> TargetIds() const;

private:
  /// The candidates of one service by model; the key is empty for a service
  /// without replicas.
  using CandidatesByModel =
    std::map<std::string, std::vector<Candidate>, std::less<>>;

  /// Returns the targets of a service without replicas that are not leaving.
  static std::vector<Candidate> PlainTargets(const CatalogService& aService,
                                             const Fleet& aFleet);
  /// Returns the heads of the replicas that accept requests, by model.
  static CandidatesByModel ServingHeads(
    const CatalogService& aService,
    const Fleet& aFleet,
    const std::set<std::string>& aBrokenReplicas,
    const std::set<std::string>& aConfirmedReplicas);

  /// By service name.
  std::map<std::string, CandidatesByModel, std::less<>> candidatesByService;
};

} // namespace apricottrack

#endif
