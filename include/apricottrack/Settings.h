#ifndef APRICOTTRACK_SETTINGS_H
#define APRICOTTRACK_SETTINGS_H

#include "apricottrack/Mistake.h"
#include "apricottrack/Time.h"

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <tl/expected.hpp>

namespace apricottrack {

/// Further settings of a node on a platform where a catalog declares the routes
/// and the platform lists the targets.
struct ServingSettings
{
  /// IP:port at which the platform probes whether this node accepts requests.
  std::string readyListen;
  /// IP:port for requests that other nodes forward because they reach no
  /// target; empty to accept and forward none.
  std::string forwardListen;
  /// Longest time for which a revoked API key may still be accepted.
  Duration revokeBound = seconds(5);
  /// Retry budget of a service, in retries per request.
  double retryRatio = 0.2;
  /// Retries allowed in addition to the ratio, summed over all nodes.
  double retryReserve = 60;
  /// Time from the platform's stop signal until it kills the process.
  Duration stopLimit = seconds(8);
  /// Longest time for which a target that leaves may still receive requests.
  Duration drainBound = seconds(2);
  /// Longest time from the operator's request to evacuate an availability zone
  /// until its targets get no more requests; none where zones are not
  /// evacuated.
  std::optional<Duration> evacuationBound;
  /// Width of this VM's link, in Mbit/s; none if unknown.
  std::optional<double> linkMbps;
  /// CPU of this VM, in cores; may be a fraction.
  double cpuShare = 1;
  /// Whether the whole deployment starts for the first time, before its first
  /// request.
  bool firstStart = false;

  friend bool operator==(const ServingSettings&,
                         const ServingSettings&) = default;
};

/// The settings of one node, read from its TOML file.
struct Settings
{
  /// Unique name of this node.
  std::string node;
  std::string availabilityZone;
  /// IP:port for callers.
  std::string listen;
  /// IP:port for health, metrics and status.
  std::string adminListen;
  /// IP:port for connections from other nodes.
  std::string peerListen;
  /// IP:port of the platform's key-value service.
  std::string platform;
  /// IP:port of the platform's list of VMs; empty where targets register
  /// themselves in the key-value service.
  std::string vmList;
  /// "debug", "info", "warn" or "error".
  std::string logLevel = "info";
  /// Time between two probes of a VM.
  Duration probeInterval = milliseconds(500);
  /// Maximum age of the last successful probe of a member. When it is exceeded,
  /// the group of the member gets no more requests.
  Duration maxReportAge = milliseconds(2000);
  /// Time between failing the health check and closing the listener.
  Duration drainGrace = milliseconds(2000);
  /// Maximum number of open connections from callers.
  int maxConnections = 4096;
  /// Maximum size of a request body.
  int maxBodyBytes = 1024 * 1024;
  /// Memory of the VM, in MiB; zero if it is not stated.
  int memoryMb = 0;
  /// Maximum number of open descriptors; zero if it is not stated.
  int maxFds = 0;
  /// Minimum time between two writes of this node to the same journal.
  Duration journalFlushInterval = milliseconds(20);
  /// Present only on a platform with a catalog and a list of targets.
  std::optional<ServingSettings> serving;

  friend bool operator==(const Settings&, const Settings&) = default;
};

/// TOML values by key, with its table: "serving.link_mbps".
using SettingsDefaults = std::map<std::string, std::string>;

/// Parses and validates a settings file. Returns all mistakes, not only the
/// first. Unknown keys are mistakes unless `aUnknownKeys` is given, to which
/// they are then added: a file may be meant for a later version as well.
/// `aDefaults` are used for keys that the file lacks, in tables that it has.
tl::expected<Settings, Mistakes>
ParseSettings(std::string_view aText,
              Mistakes* aUnknownKeys = nullptr,
              const SettingsDefaults& aDefaults = {});

/// Returns the defaults that the environment states. A file that older versions
/// read as well cannot have keys that they do not know.
SettingsDefaults
DefaultsFromEnvironment();

} // namespace apricottrack

#endif
