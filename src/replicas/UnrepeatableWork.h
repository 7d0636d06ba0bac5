#ifndef APRICOTTRACK_REPLICAS_UNREPEATABLEWORK_H
#define APRICOTTRACK_REPLICAS_UNREPEATABLEWORK_H

#include "catalog/CatalogIndex.h"

#include <string_view>

namespace apricottrack {

/// How long requests of one service may run that no other target may continue.
/// A newer catalog may change or remove their route while they run. Owned by
/// PlannerTask, one per service.
class UnrepeatableWork
{
public:
  /// Returns the longest timeout of such requests, under the current catalog or
  /// an earlier one; zero if none can be running.
  Duration LongestTimeout(const CatalogPointer& aCatalog,
                          std::string_view aService,
                          Instant aNow);

private:
  CatalogPointer catalog;
  /// LongestUnrepeatableTimeout of that catalog.
  Duration stated = Duration::zero();
  /// The longest one of requests that may be running.
  Duration longest = Duration::zero();
  /// When a catalog last stated that one.
  Instant statedAt;
};

} // namespace apricottrack

#endif
