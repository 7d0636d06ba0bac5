#ifndef APRICOTTRACK_CATALOG_CATALOGINDEX_H
#define APRICOTTRACK_CATALOG_CATALOGINDEX_H

#include "catalog/Catalog.h"

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>

namespace apricottrack {

/// One catalog, prepared for look-ups by path and by key. Immutable, so that
/// a request keeps the version that it began with.
class CatalogIndex
{
public:
  explicit CatalogIndex(Catalog aCatalog);

  const Catalog& Declared() const { return this->catalog; }

  /// The route with the longest prefix of the path, or null. A port in the
  /// host and a query in the path are left out of account.
  const CatalogRoute* FindRoute(std::string_view aHost,
                                std::string_view aPath) const;

  /// The account that holds the key, or null.
  const CatalogAccount* FindAccount(const std::string& aKey) const;

  /// False where requests need no key at all.
  bool UsesAccounts() const { return !this->catalog.accounts.empty(); }

private:
  Catalog catalog;
  /// Positions of routes by host and prefix.
  std::unordered_map<std::string, std::size_t> routes;
  /// Positions of accounts by key.
  std::unordered_map<std::string, std::size_t> accounts;
};

using CatalogPointer = std::shared_ptr<const CatalogIndex>;

} // namespace apricottrack

#endif
