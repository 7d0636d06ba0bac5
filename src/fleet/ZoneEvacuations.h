#ifndef APRICOTTRACK_FLEET_ZONEEVACUATIONS_H
#define APRICOTTRACK_FLEET_ZONEEVACUATIONS_H

#include "apricottrack/KeyValueStore.h"
#include "apricottrack/Time.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>

namespace apricottrack {

/// The availability zones that the operator has evacuated, by the newest
/// reading of the store that this node knows: its own or another node's. Nodes
/// send no requests to the targets of these zones.
class ZoneEvacuations
{
public:
  using Zones = std::set<std::string, std::less<>>;

  /// What one reading of the store showed.
  struct Reading
  {
    Zones zones;
    /// Revision of the store up to which it holds.
    Revision revision = 0;
    /// False right after a restore of the store: requests to evacuate may be
    /// missing that the operator has yet to write again.
    bool mayEnd = true;

    friend bool operator==(const Reading&, const Reading&) = default;
  };

  /// Applies a reading unless it is older than the one in force. Returns
  /// whether a zone was evacuated or taken back.
  bool Apply(const Reading& aReading, Instant aNow);

  bool IsEvacuated(std::string_view aZone) const
  {
    return this->zones.contains(aZone);
  }
  const Zones& Evacuated() const { return this->zones; }

  /// Revision of the reading in force; zero before the first one.
  Revision KnownRevision() const { return this->revision; }

  /// When this node learned that the zone was taken back; none if it is
  /// evacuated, or was never known to be.
  std::optional<Instant> TakenBackAt(std::string_view aZone) const;

private:
  Zones zones;
  Revision revision = 0;
  std::map<std::string, Instant, std::less<>> takenBackAt;
};

} // namespace apricottrack

#endif
