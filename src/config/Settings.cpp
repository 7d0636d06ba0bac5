#include "apricottrack/Settings.h"

#include "config/CapacityShares.h"
#include "config/TomlReader.h"
#include "http/HttpTypes.h"

#include <cstdlib>

namespace apricottrack {

namespace {

std::string
ReadAddress(TomlReader& aReader, std::string_view aKey)
{
  std::string address = aReader.String(aKey);
  if (!address.empty() && !ParseEndpoint(address)) {
    aReader.AddMistake(
      aKey, "is not IP:port", "write it as \"127.0.0.1:8080\"");
  }
  return address;
}

Duration
ReadMilliseconds(TomlReader& aReader,
                 std::string_view aKey,
                 double aMinimum,
                 double aMaximum,
                 Duration aDefault)
{
  const auto defaultMs = static_cast<int>(
    std::chrono::duration_cast<milliseconds>(aDefault).count());
  return milliseconds(aReader.Integer(
    aKey,
    { .minimum = aMinimum, .maximum = aMaximum, .unit = "milliseconds" },
    defaultMs));
}

/// Reads by how much the port for forwarded requests follows that of
/// `aPeerListen`, and returns its address; empty for zero.
std::string
ReadForwardAddress(TomlReader& aReader, const std::string& aPeerListen)
{
  constexpr int kMaxOffset = 1000;
  constexpr int kMaxPort = 65'535;
  const int offset =
    aReader.Integer("forward_port_offset",
                    { .minimum = 0, .maximum = kMaxOffset, .unit = "ports" },
                    0);
  const auto peer = ParseEndpoint(aPeerListen);
  if (offset == 0 || !peer) {
    return {};
  }
  const int port = peer->port() + offset;
  if (port > kMaxPort) {
    aReader.AddMistake("forward_port_offset",
                       "the port is above 65535",
                       "choose a smaller offset or peer port");
    return {};
  }
  return peer->address().to_string() + ":" + std::to_string(port);
}

ServingSettings
ReadServing(TomlReader& aReader)
{
  ServingSettings serving;
  serving.readyListen = ReadAddress(aReader, "ready_listen");
  serving.revokeBound = ReadMilliseconds(
    aReader, "revoke_bound_ms", 500, 600'000, serving.revokeBound);
  serving.retryRatio = aReader.Number(
    "retry_ratio",
    { .minimum = 0, .maximum = 10, .unit = "repeats per request" },
    serving.retryRatio);
  serving.retryReserve =
    aReader.Number("retry_slack",
                   { .minimum = 0, .maximum = 1'000'000, .unit = "repeats" },
                   serving.retryReserve);
  serving.stopLimit = FromSeconds(
    aReader.Number("stop_limit_s",
                   { .minimum = 1, .maximum = 600, .unit = "seconds" },
                   ToSeconds(serving.stopLimit)));
  serving.drainBound = ReadMilliseconds(
    aReader, "drain_bound_ms", 100, 600'000, serving.drainBound);
  const Duration evacuationBound = ReadMilliseconds(
    aReader, "evacuation_bound_ms", 0, 600'000, Duration::zero());
  if (evacuationBound > Duration::zero()) {
    serving.evacuationBound = evacuationBound;
  }
  const double linkMbps = aReader.Number(
    "link_mbps",
    { .minimum = 0, .maximum = 10'000'000, .unit = "megabits per second" },
    0);
  if (linkMbps > 0) {
    serving.linkMbps = linkMbps;
  }
  serving.cpuShare =
    aReader.Number("cpu_share",
                   { .minimum = 0.01, .maximum = 1024, .unit = "cores" },
                   serving.cpuShare);
  serving.firstStart = aReader.Boolean("first_start", serving.firstStart);
  return serving;
}

/// Adds a value for a key, with its table, that is absent.
void
AddDefault(toml::table& aTable,
           std::string_view aKey,
           const std::string& aValue,
           Mistakes& aMistakes)
{
  const auto value = ParseToml("value = " + aValue, aMistakes);
  const auto dot = aKey.find('.');
  toml::table* const table =
    dot == std::string_view::npos
      ? &aTable
      : aTable.get_as<toml::table>(aKey.substr(0, dot));
  if (!value || table == nullptr) {
    return;
  }
  const std::string_view name =
    dot == std::string_view::npos ? aKey : aKey.substr(dot + 1);
  value->get("value")->visit(
    [&](const auto& aNode) { table->insert(name, aNode); });
}

} // namespace

SettingsDefaults
DefaultsFromEnvironment()
{
  static constexpr std::pair<const char*, std::string_view> kVariables[] = {
    { "APRICOTTRACK_EVACUATION_BOUND_MS", "serving.evacuation_bound_ms" },
    { "APRICOTTRACK_LINK_MBPS", "serving.link_mbps" },
    { "APRICOTTRACK_MEMORY_MB", "memory_mb" },
    { "APRICOTTRACK_MAX_FDS", "max_fds" },
  };
  SettingsDefaults defaults;
  for (const auto& [variable, key] : kVariables) {
    const char* const value = std::getenv(variable);
    if (value != nullptr && *value != '\0') {
      defaults.emplace(key, value);
    }
  }
  return defaults;
}

tl::expected<Settings, Mistakes>
ParseSettings(std::string_view aText,
              Mistakes* aUnknownKeys,
              const SettingsDefaults& aDefaults)
{
  Mistakes mistakes;
  auto table = ParseToml(aText, mistakes);
  if (!table) {
    return tl::unexpected(std::move(mistakes));
  }
  for (const auto& [key, value] : aDefaults) {
    AddDefault(*table, key, value, mistakes);
  }
  static const std::vector<std::string_view> kLevels{
    "info", "debug", "warn", "error"
  };
  TomlReader reader(*table, "", mistakes, aUnknownKeys);
  Settings settings;
  settings.node = reader.String("node");
  settings.availabilityZone = reader.String("availability_zone");
  settings.listen = ReadAddress(reader, "listen");
  settings.adminListen = ReadAddress(reader, "admin_listen");
  settings.peerListen = ReadAddress(reader, "peer_listen");
  settings.platform = ReadAddress(reader, "platform");
  reader.VisitTable("serving", [&](TomlReader& aServing) {
    settings.serving = ReadServing(aServing);
    settings.serving->forwardListen =
      ReadForwardAddress(aServing, settings.peerListen);
  });
  if (!settings.serving) {
    settings.vmList = ReadAddress(reader, "vm_list");
  }
  settings.logLevel = kLevels[reader.Choice("log_level", kLevels, 0)];
  settings.probeInterval = ReadMilliseconds(
    reader, "probe_interval_ms", 50, 10'000, settings.probeInterval);
  settings.maxReportAge = ReadMilliseconds(
    reader, "heard_within_ms", 200, 60'000, settings.maxReportAge);
  settings.drainGrace =
    ReadMilliseconds(reader, "drain_grace_ms", 0, 600'000, settings.drainGrace);
  settings.maxConnections =
    reader.Integer("max_connections",
                   { .minimum = 1, .maximum = 100'000, .unit = "connections" },
                   settings.maxConnections);
  settings.maxBodyBytes =
    reader.Integer("max_body_bytes",
                   { .minimum = 1024, .maximum = 1 << 30, .unit = "bytes" },
                   settings.maxBodyBytes);
  settings.memoryMb = static_cast<int>(
    reader.Number("memory_mb",
                  { .minimum = 0, .maximum = 1 << 24, .unit = "MiB" },
                  settings.memoryMb));
  settings.maxFds = static_cast<int>(
    reader.Number("max_fds",
                  { .minimum = 0, .maximum = 1 << 24, .unit = "descriptors" },
                  settings.maxFds));
  settings.journalFlushInterval =
    ReadMilliseconds(reader,
                     "journal_flush_interval_ms",
                     0,
                     1000,
                     settings.journalFlushInterval);
  reader.ReportUnknownKeys();
  if (settings.maxReportAge < 2 * settings.probeInterval) {
    reader.AddMistake("heard_within_ms",
                      "is shorter than two probe intervals",
                      "increase it, or reduce probe_interval_ms");
  }
  if (settings.memoryMb > 0 && settings.memoryMb < MinMemoryMb(settings)) {
    reader.AddMistake("memory_mb",
                      "is too small for requests of the largest size",
                      "set it to at least " +
                        std::to_string(MinMemoryMb(settings)) +
                        ", or reduce max_body_bytes");
  }
  if (!mistakes.empty()) {
    return tl::unexpected(std::move(mistakes));
  }
  return settings;
}

} // namespace apricottrack
