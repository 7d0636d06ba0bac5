#ifndef APRICOTTRACK_SETTINGS_H
#define APRICOTTRACK_SETTINGS_H

#include "apricottrack/Mistake.h"
#include "apricottrack/Time.h"

#include <string>
#include <string_view>
#include <tl/expected.hpp>

namespace apricottrack {

/// What one node learns from its TOML file at start.
struct Settings
{
  /// Unique name of this node.
  std::string node;
  std::string availabilityZone;
  /// IP:port for callers.
  std::string listen;
  /// IP:port for health, counters and status.
  std::string adminListen;
  /// IP:port for links from other nodes.
  std::string peerListen;
  /// IP:port of the platform's key-value service.
  std::string platform;
  /// IP:port of the platform's list of VMs.
  std::string vmList;
  std::string logLevel = "info";
  Duration probeInterval = milliseconds(500);
  /// A member unheard for longer takes its group out of service.
  Duration heardWithin = milliseconds(2000);
  /// Time between failing the health check and refusing new connections.
  Duration drainGrace = milliseconds(2000);
  int maxConnections = 4096;
  int maxBodyBytes = 1024 * 1024;
  /// Shortest time between two writes to one journal by this node.
  Duration journalFlushInterval = milliseconds(20);

  friend bool operator==(const Settings&, const Settings&) = default;
};

/// Parses and checks a settings file as a whole.
tl::expected<Settings, Mistakes>
ParseSettings(std::string_view aText);

} // namespace apricottrack

#endif
