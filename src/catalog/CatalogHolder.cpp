#include "catalog/CatalogHolder.h"

#include <algorithm>

namespace apricottrack {

bool
CatalogHolder::Apply(Catalog aCatalog, Instant aReadSentAt)
{
  const bool isNewer = this->current == nullptr ||
                       aCatalog.version > this->current->Contents().version;
  const bool isSameVersion =
    !isNewer && aCatalog.version == this->current->Contents().version;
  if (isNewer) {
    this->current = std::make_shared<CatalogIndex>(std::move(aCatalog));
  }
  if (isNewer || isSameVersion) {
    this->ConfirmCurrent(aReadSentAt);
  }
  return isNewer;
}

void
CatalogHolder::ConfirmCurrent(Instant aReadSentAt)
{
  if (aReadSentAt == kUnproven) {
    return;
  }
  this->verifiedAt =
    this->wasVerified ? std::max(this->verifiedAt, aReadSentAt) : aReadSentAt;
  this->wasVerified = true;
}

bool
CatalogHolder::MayAcceptKeys(Instant aNow) const
{
  return this->current != nullptr && this->wasVerified &&
         aNow - this->verifiedAt < this->options.maxVerificationAge;
}

bool
CatalogHolder::MayRefuse(Instant aNow) const
{
  return this->current != nullptr && this->wasVerified &&
         aNow - this->verifiedAt < this->options.maxRefusalAge;
}

} // namespace apricottrack
