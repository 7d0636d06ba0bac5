#include "replicas/ReplicaDirectory.h"

#include <set>
#include <tuple>

namespace apricottrack {

namespace {

/// Members that name the same replica and epoch.
struct Sighting
{
  const TargetRecord* head = nullptr;
  std::set<int> ranks;
};

} // namespace

void
ReplicaDirectory::Rebuild(const Catalog& aCatalog,
                          const Fleet& aFleet,
                          const std::set<std::string>& aBroken)
{
  this->byService.clear();
  for (const CatalogService& service : aCatalog.services) {
    if (service.engine) {
      this->AddReplicas(service, aFleet, aBroken);
    }
  }
}

void
ReplicaDirectory::AddReplicas(const CatalogService& aService,
                              const Fleet& aFleet,
                              const std::set<std::string>& aBroken)
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
  for (const auto& [key, sighting] : sightings) {
    const TargetRecord* const head = sighting.head;
    if (head == nullptr || head->leaving ||
        head->membership->state != MemberState::kOpen ||
        aBroken.contains(ReplicaKey(*head->membership))) {
      continue;
    }
    const ReplicaModel* const model = FindModel(aService, head->model);
    if (model == nullptr ||
        sighting.ranks.size() != static_cast<std::size_t>(model->size)) {
      continue;
    }
    this->byService[aService.name][model->name].push_back(
      { .name = head->membership->replica,
        .epoch = head->membership->epoch,
        .model = model->name,
        .headId = head->id,
        .headAddress = head->address,
        .availabilityZone = head->availabilityZone,
        .slots = head->slots });
  }
}

const std::vector<ServingReplica>&
ReplicaDirectory::Serving(std::string_view aService,
                          std::string_view aModel) const
{
  static const std::vector<ServingReplica> kNone;
  const auto models = this->byService.find(aService);
  if (models == this->byService.end()) {
    return kNone;
  }
  const auto found = models->second.find(aModel);
  return found == models->second.end() ? kNone : found->second;
}

} // namespace apricottrack
