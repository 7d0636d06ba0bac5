#ifndef APRICOTTRACK_PLACEMENT_CANDIDATEDIRECTORY_H
#define APRICOTTRACK_PLACEMENT_CANDIDATEDIRECTORY_H

#include "catalog/Catalog.h"
#include "fleet/Fleet.h"
#include "placement/Candidate.h"

#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace apricottrack {

/// The targets that take requests, by service and model, judged by their own
/// entries. Of a replica that is the head, if it is open and each rank of the
/// same epoch is there; the planner vouches for members that the store lost.
/// Rebuilt when an entry changes, not for each request.
class CandidateDirectory
{
public:
  /// `aBroken`: replicas with a lost member, by their keys. `aVouched`: those
  /// whose members are all there, listed or not.
  void Rebuild(const Catalog& aCatalog,
               const Fleet& aFleet,
               const std::set<std::string>& aBroken,
               const std::set<std::string>& aVouched);

  /// Empty where nothing serves. A service without replicas has one list,
  /// whatever model a request names.
  const std::vector<Candidate>& Find(const CatalogService& aService,
                                     std::string_view aModel) const;

private:
  using ByModel = std::map<std::string, std::vector<Candidate>, std::less<>>;

  static std::vector<Candidate> PlainTargets(const CatalogService& aService,
                                             const Fleet& aFleet);
  static ByModel Heads(const CatalogService& aService,
                       const Fleet& aFleet,
                       const std::set<std::string>& aBroken,
                       const std::set<std::string>& aVouched);

  std::map<std::string, ByModel, std::less<>> byService;
};

} // namespace apricottrack

#endif
