#include "catalog/CatalogIndex.h"

#include <algorithm>
#include <cctype>

namespace apricottrack {

namespace {

std::string
ToLower(std::string_view aText)
{
  std::string lowered(aText);
  std::transform(
    lowered.begin(), lowered.end(), lowered.begin(), [](unsigned char aByte) {
      return static_cast<char>(std::tolower(aByte));
    });
  return lowered;
}

} // namespace

CatalogIndex::CatalogIndex(Catalog aCatalog)
  : catalog(std::move(aCatalog))
{
  for (std::size_t i = 0; i < this->catalog.routes.size(); ++i) {
    const CatalogRoute& route = this->catalog.routes[i];
    this->routes.emplace(ToLower(route.host) + route.prefix, i);
  }
  for (std::size_t i = 0; i < this->catalog.accounts.size(); ++i) {
    for (const std::string& key : this->catalog.accounts[i].keys) {
      this->accounts.emplace(key, i);
    }
  }
}

const CatalogRoute*
CatalogIndex::FindRoute(std::string_view aHost, std::string_view aPath) const
{
  const std::string host = ToLower(aHost.substr(0, aHost.find(':')));
  std::string_view path = aPath.substr(0, aPath.find('?'));
  // Prefixes end with a slash, so it is enough to look up the path up to each
  // of its slashes, the last one first.
  for (auto slash = path.rfind('/'); slash != std::string_view::npos;
       slash = path.rfind('/')) {
    const auto found =
      this->routes.find(host + std::string(path.substr(0, slash + 1)));
    if (found != this->routes.end()) {
      return &this->catalog.routes[found->second];
    }
    path = path.substr(0, slash);
  }
  return nullptr;
}

const CatalogAccount*
CatalogIndex::FindAccount(const std::string& aKey) const
{
  const auto found = this->accounts.find(aKey);
  return found == this->accounts.end() ? nullptr
                                       : &this->catalog.accounts[found->second];
}

} // namespace apricottrack
