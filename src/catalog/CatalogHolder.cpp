#include "catalog/CatalogHolder.h"

#include <algorithm>

namespace apricottrack {

bool
CatalogHolder::Take(Catalog aCatalog, Instant aAskedAt)
{
  const bool newer = this->current == nullptr ||
                     aCatalog.version > this->current->Declared().version;
  const bool same =
    !newer && aCatalog.version == this->current->Declared().version;
  if (newer) {
    this->current = std::make_shared<CatalogIndex>(std::move(aCatalog));
  }
  if (newer || same) {
    this->Confirm(aAskedAt);
  }
  return newer;
}

void
CatalogHolder::Confirm(Instant aAskedAt)
{
  this->provenAt = std::max(this->provenAt, aAskedAt);
}

bool
CatalogHolder::MayHonourKeys(Instant aNow) const
{
  return this->current != nullptr &&
         aNow - this->provenAt < this->options.proofLifetime;
}

} // namespace apricottrack
