#include "config/ConfigurationHolder.h"

namespace apricottrack {

OfferResult
ConfigurationHolder::Offer(const StoredConfiguration& aStored)
{
  if (aStored.version <= this->stored.version) {
    return OfferResult::kNotNewer;
  }
  auto parsed = ParseConfiguration(aStored.text);
  if (!parsed) {
    return OfferResult::kInvalid;
  }
  this->stored = aStored;
  this->current = std::make_shared<const Configuration>(std::move(*parsed));
  return OfferResult::kAccepted;
}

} // namespace apricottrack
