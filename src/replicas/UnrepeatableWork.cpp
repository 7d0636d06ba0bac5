#include "replicas/UnrepeatableWork.h"

namespace apricottrack {

Duration
UnrepeatableWork::LongestTimeout(const CatalogPointer& aCatalog,
                                 std::string_view aService,
                                 Instant aNow)
{
  if (this->catalog != aCatalog) {
    this->catalog = aCatalog;
    this->stated = LongestUnrepeatableTimeout(aCatalog->Contents(), aService);
  }
  if (this->stated >= this->longest || aNow - this->statedAt > this->longest) {
    this->longest = this->stated;
    this->statedAt = aNow;
  }
  return this->longest;
}

} // namespace apricottrack
