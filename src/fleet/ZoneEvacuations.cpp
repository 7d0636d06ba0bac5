#include "fleet/ZoneEvacuations.h"

#include "base/Log.h"

namespace apricottrack {

bool
ZoneEvacuations::Apply(const Reading& aReading, Instant aNow)
{
  if (aReading.revision < this->revision) {
    return false;
  }
  this->revision = aReading.revision;
  Zones next = aReading.zones;
  if (!aReading.mayEnd) {
    next.insert(this->zones.begin(), this->zones.end());
  }
  if (next == this->zones) {
    return false;
  }
  for (const std::string& zone : this->zones) {
    if (!next.contains(zone)) {
      this->takenBackAt.insert_or_assign(zone, aNow);
      LogLine("zone_taken_back")
        .With("zone", zone)
        .With("revision", this->revision)
        .Info();
    }
  }
  for (const std::string& zone : next) {
    if (!this->zones.contains(zone)) {
      this->takenBackAt.erase(zone);
      LogLine("zone_evacuated")
        .With("zone", zone)
        .With("revision", this->revision)
        .Info();
    }
  }
  this->zones = std::move(next);
  return true;
}

std::optional<Instant>
ZoneEvacuations::TakenBackAt(std::string_view aZone) const
{
  const auto found = this->takenBackAt.find(aZone);
  return found == this->takenBackAt.end() ? std::nullopt
                                          : std::optional(found->second);
}

} // namespace apricottrack
