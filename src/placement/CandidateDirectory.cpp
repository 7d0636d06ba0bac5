#include "placement/CandidateDirectory.h"

#include <tuple>

namespace apricottrack {

namespace {

/// The listed members of one replica epoch.
struct Sighting
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
           .slots = aRecord.slots };
}

} // namespace

void
CandidateDirectory::Rebuild(const Catalog& aCatalog,
                            const Fleet& aFleet,
                            const std::set<std::string>& aBroken,
                            const std::set<std::string>& aVouched)
{
  this->byService.clear();
  for (const CatalogService& service : aCatalog.services) {
    ByModel& models = this->byService[service.name];
    if (service.engine) {
      models = Heads(service, aFleet, aBroken, aVouched);
    } else {
      models.emplace("", PlainTargets(service, aFleet));
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

CandidateDirectory::ByModel
CandidateDirectory::Heads(const CatalogService& aService,
                          const Fleet& aFleet,
                          const std::set<std::string>& aBroken,
                          const std::set<std::string>& aVouched)
{
  std::map<std::tuple<std::string, std::int64_t>, Sighting> sightings;
  for (const auto& [id, record] : aFleet.All()) {
    if (record.service != aService.name || !record.membership) {
      continue;
    }
    const Membership& membership = *record.membership;
    Sighting& sighting = sightings[{ membership.replica, membership.epoch }];
    sighting.ranks.insert(membership.rank);
    if (membership.rank == 0) {
      sighting.head = &record;
    }
  }
  ByModel heads;
  for (const auto& [key, sighting] : sightings) {
    const TargetRecord* const head = sighting.head;
    if (head == nullptr || head->leaving ||
        head->membership->state != MemberState::kOpen ||
        aBroken.contains(ReplicaKey(*head->membership))) {
      continue;
    }
    const ReplicaModel* const model = FindModel(aService, head->model);
    if (model != nullptr &&
        (sighting.ranks.size() == static_cast<std::size_t>(model->size) ||
         aVouched.contains(ReplicaKey(*head->membership)))) {
      heads[model->name].push_back(CandidateOf(*head));
    }
  }
  return heads;
}

const std::vector<Candidate>&
CandidateDirectory::Find(const CatalogService& aService,
                         std::string_view aModel) const
{
  static const std::vector<Candidate> kNone;
  const auto models = this->byService.find(aService.name);
  if (models == this->byService.end()) {
    return kNone;
  }
  const auto found =
    models->second.find(aService.engine ? aModel : std::string_view{});
  return found == models->second.end() ? kNone : found->second;
}

} // namespace apricottrack
