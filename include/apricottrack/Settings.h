#ifndef APRICOTTRACK_SETTINGS_H
#define APRICOTTRACK_SETTINGS_H

#include "apricottrack/Mistake.h"
#include "apricottrack/Time.h"

#include <optional>
#include <string>
#include <string_view>
#include <tl/expected.hpp>

namespace apricottrack {

/// What a node needs besides where an operator's catalog declares routes and
/// the platform lists the targets.
struct ServingSettings
{
  /// IP:port at which the platform asks whether this node takes requests.
  std::string readyListen;
  /// Longest time that a key may be honoured after it was taken away.
  Duration revokeBound = seconds(5);
  /// Repeats that a service may get per request.
  double retryRatio = 0.2;
  /// Repeats beyond the ratio, over all nodes together.
  int retrySlack = 60;
  /// The platform kills a process this long after it told it to stop.
  Duration stopLimit = seconds(8);
  /// Longest time that a leaving target may get requests.
  Duration drainBound = seconds(2);
  /// Share of a core that this VM has.
  double cpuShare = 1;
  /// The whole system starts for the first time, ahead of its first request.
  bool firstStart = false;

  friend bool operator==(const ServingSettings&,
                         const ServingSettings&) = default;
};

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
  /// IP:port of the platform's list of VMs; empty where targets register
  /// themselves in the key-value service.
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
  /// Present on the prepared platform.
  std::optional<ServingSettings> serving;

  friend bool operator==(const Settings&, const Settings&) = default;
};

/// Parses and checks a settings file as a whole.
tl::expected<Settings, Mistakes>
ParseSettings(std::string_view aText);

} // namespace apricottrack

#endif
