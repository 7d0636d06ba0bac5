#ifndef APRICOTTRACK_REPLICAS_REPLICADIRECTORY_H
#define APRICOTTRACK_REPLICAS_REPLICADIRECTORY_H

#include "catalog/Catalog.h"
#include "fleet/Fleet.h"

#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace apricottrack {

/// A replica that takes requests.
struct ServingReplica
{
  std::string name;
  std::int64_t epoch = 0;
  std::string model;
  /// The member that takes the requests.
  std::string headId;
  std::string headAddress;
  std::string availabilityZone;
  int slots = 1;

  friend bool operator==(const ServingReplica&,
                         const ServingReplica&) = default;
};

/// The replicas of all services that take requests, judged by the members'
/// own entries: the head is open, and each rank of the same epoch is there.
class ReplicaDirectory
{
public:
  /// `aBroken`: replicas with a lost member, by their keys.
  void Rebuild(const Catalog& aCatalog,
               const Fleet& aFleet,
               const std::set<std::string>& aBroken);

  /// Empty where no replica of the model serves.
  const std::vector<ServingReplica>& Serving(std::string_view aService,
                                             std::string_view aModel) const;

private:
  using ByModel =
    std::map<std::string, std::vector<ServingReplica>, std::less<>>;

  void AddReplicas(const CatalogService& aService,
                   const Fleet& aFleet,
                   const std::set<std::string>& aBroken);

  std::map<std::string, ByModel, std::less<>> byService;
};

} // namespace apricottrack

#endif
