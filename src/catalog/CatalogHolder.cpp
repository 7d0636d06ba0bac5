#include "catalog/CatalogHolder.h"

#include <algorithm>

namespace apricottrack {

bool
CatalogHolder::Apply(Catalog aCatalog, Instant aReadSentAt)
{
  const bool newer = this->current == nullptr ||
                     aCatalog.version > this->current->Contents().version;
  const bool same =
    !newer && aCatalog.version == this->current->Contents().version;
  if (newer) {
    this->current = std::make_shared<CatalogIndex>(std::move(aCatalog));
  }
  if (newer || same) {
    this->ConfirmCurrent(aReadSentAt);
  }
  return newer;
}

void
CatalogHolder::ConfirmCurrent(Instant aReadSentAt)
{
  this->verifiedAt = std::max(this->verifiedAt, aReadSentAt);
}

bool
CatalogHolder::MayAcceptKeys(Instant aNow) const
{
  return this->current != nullptr &&
         aNow - this->verifiedAt < this->options.maxVerificationAge;
}

} // namespace apricottrack
