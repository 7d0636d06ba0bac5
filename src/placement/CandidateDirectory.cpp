#include "placement/CandidateDirectory.h"

#include <tuple>

namespace apricottrack {

namespace {

/// The members of one replica epoch that have an entry in the store.
struct ReplicaMembers
{
  const TargetRecord* head = nullptr;
  std::set<int> ranks;
};

Candidate
CandidateOf(const TargetRecord& aRecord)
{
  return { .id = aRecord.id,
           .address = aRecord.address,
           .availabilityZone = aRecord.availabilityZone,
           .slots = aRecord.slots,
           .replica = aRecord.membership ? ReplicaKey(*aRecord.membership) : "",
           .startedAt = aRecord.startedAt };
}

} // namespace

void
CandidateDirectory::Rebuild(const Catalog& aCatalog,
                            const Fleet& aFleet,
                            const std::set<std::string>& aBrokenReplicas,
                            const std::set<std::string>& aConfirmedReplicas,
                            const ZoneEvacuations::Zones& aEvacuatedZones)
{
  this->candidatesByService.clear();
  for (const CatalogService& service : aCatalog.services) {
    CandidatesByModel& models = this->candidatesByService[service.name];
    if (service.engine) {
      models =
        ServingHeads(service, aFleet, aBrokenReplicas, aConfirmedReplicas);
    } else {
      models.emplace("", PlainTargets(service, aFleet));
    }
    for (auto& [model, candidates] : models) {
      std::erase_if(candidates, [&](const Candidate& aCandidate) {
        return aEvacuatedZones.contains(aCandidate.availabilityZone);
      });
    }
  }
}

std::vector<Candidate>
CandidateDirectory::PlainTargets(const CatalogService& aService,
                                 const Fleet& aFleet)
{
  std::vector<Candidate> targets;
  for (const auto& [id, record] : aFleet.All()) {
    if (record.service == aService.name && !record.leaving) {
      targets.push_back(CandidateOf(record));
    }
  }
  return targets;
}

CandidateDirectory::CandidatesByModel
CandidateDirectory::ServingHeads(
  const CatalogService& aService,
  const Fleet& aFleet,
  const std::set<std::string>& aBrokenReplicas,
  const std::set<std::string>& aConfirmedReplicas)
{
  std::map<std::tuple<std::string, std::int64_t>, ReplicaMembers>
    membersByEpoch;
  for (const auto& [id, record] : aFleet.All()) {
    if (record.service != aService.name || !record.membership) {
      continue;
    }
    const Membership& membership = *record.membership;
    ReplicaMembers& members =
      membersByEpoch[{ membership.replica, membership.epoch }];
    members.ranks.insert(membership.rank);
    if (membership.rank == 0) {
      members.head = &record;
    }
  }
  CandidatesByModel heads;
  for (const auto& [key, members] : membersByEpoch) {
    const TargetRecord* const head = members.head;
    if (head == nullptr || head->leaving ||
        head->membership->state != MemberState::kOpen ||
        aBrokenReplicas.contains(ReplicaKey(*head->membership))) {
      continue;
    }
    const ReplicaModel* const model = FindModel(aService, head->model);
    if (model != nullptr &&
        (members.ranks.size() == static_cast<std::size_t>(model->size) ||
         aConfirmedReplicas.contains(ReplicaKey(*head->membership)))) {
      heads[model->name].push_back(CandidateOf(*head));
    }
  }
  return heads;
}

const std::vector<Candidate>&
CandidateDirectory::Find(const CatalogService& aService,
                         std::string_view aModel) const
{
  static const std::vector<Candidate> kNoCandidates;
  const auto models = this->candidatesByService.find(aService.name);
  if (models == this->candidatesByService.end()) {
    return kNoCandidates;
  }
  const auto found =
    models->second.find(aService.engine ? aModel : std::string_view{});
  return found == models->second.end() ? kNoCandidates : found->second;
}

std::vector<std::string>
CandidateDirectory::TargetIds() const
{
  std::vector<std::string> ids;
  for (const auto& [service, models] : this->candidatesByService) {
    for (const auto& [model, candidates] : models) {
      for (const Candidate& candidate : candidates) {
        ids.push_back(candidate.id);
      }
    }
  }
  return ids;
}

} // namespace apricottrack
