#include "catalog/Catalog.h"

#include <algorithm>

namespace apricottrack {

namespace {

template<typename T>
const T*
FindByName(const std::vector<T>& aItems, std::string_view aName)
{
  const auto found =
    std::find_if(aItems.begin(), aItems.end(), [&](const T& aItem) {
      return aItem.name == aName;
    });
  return found == aItems.end() ? nullptr : &*found;
}

} // namespace

const CatalogService*
FindService(const Catalog& aCatalog, std::string_view aName)
{
  return FindByName(aCatalog.services, aName);
}

Duration
LongestUnrepeatableTimeout(const Catalog& aCatalog, std::string_view aService)
{
  Duration longest = Duration::zero();
  for (const CatalogRoute& route : aCatalog.routes) {
    const bool usesService = std::any_of(
      route.services.begin(),
      route.services.end(),
      [&](const ServiceShare& aShare) { return aShare.service == aService; });
    if (usesService && !route.IsRepeatable()) {
      longest = std::max(longest, route.timeout);
    }
  }
  return longest;
}

const ReplicaModel*
FindModel(const CatalogService& aService, std::string_view aName)
{
  return aService.engine ? FindByName(aService.engine->models, aName) : nullptr;
}

} // namespace apricottrack
