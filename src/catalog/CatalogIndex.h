#ifndef APRICOTTRACK_CATALOG_CATALOGINDEX_H
#define APRICOTTRACK_CATALOG_CATALOGINDEX_H

#include "catalog/Catalog.h"

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>

namespace apricottrack {

/// One catalog version, indexed for look-ups by host and path and by API key.
/// Immutable and shared, so that a request uses one version from start to end.
class CatalogIndex
{
public:
  explicit CatalogIndex(Catalog aCatalog);

  const Catalog& Contents() const { return this->catalog; }

  /// Returns the route with the longest prefix of the path, or null. Ignores
  /// the case and the port of the host and the query of the path.
  const CatalogRoute* FindRoute(std::string_view aHost,
                                std::string_view aPath) const;

  /// Returns the account that has the API key, or null.
  const CatalogAccount* FindAccount(const std::string& aKey) const;

  /// False if the catalog declares no accounts; requests then need no API
  /// key.
  bool RequiresKeys() const { return !this->catalog.accounts.empty(); }

private:
  Catalog catalog;
  /// Indices into the catalog's routes, by lower-case host and prefix.
  std::unordered_map<std::string, std::size_t> routes;
  /// Indices into the catalog's accounts, by API key.
  std::unordered_map<std::string, std::size_t> accounts;
};

using CatalogPointer = std::shared_ptr<const CatalogIndex>;

} // namespace apricottrack

#endif
