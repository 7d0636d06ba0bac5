/// The node daemon: reads its settings, starts a node and runs it until SIGTERM
/// or SIGINT. SIGHUP reloads the settings.

#include "apricottrack/Node.h"
#include "apricottrack/Settings.h"
#include "base/HeldSignals.h"
#include "base/Log.h"
#include "base/StandardOutput.h"
#include "platform/PlatformStore.h"
#include "platform/WireProtocol.h"
#include "serving/ServingNode.h"

#include <CLI/CLI.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <sstream>

using namespace apricottrack;

namespace {

/// Exit codes.
constexpr int kExitBadSettings = 2;
constexpr int kExitNotStarted = 3;

/// Unknown keys are mistakes unless `aUnknownKeys` is given, to which they are
/// then added.
tl::expected<Settings, Mistakes>
ReadSettings(const std::string& aPath, Mistakes* aUnknownKeys)
{
  std::ifstream file(aPath);
  if (!file) {
    return tl::unexpected(Mistakes{ Mistake{ .path = "file",
                                             .cause = "cannot be read",
                                             .remedy = "check the path" } });
  }
  std::stringstream text;
  text << file.rdbuf();
  return ParseSettings(text.str(), aUnknownKeys, DefaultsFromEnvironment());
}

void
LogUnknownKeys(const Mistakes& aUnknownKeys)
{
  for (const Mistake& key : aUnknownKeys) {
    LogLine("settings_key_ignored").With("key", key.path).Warn();
  }
}

/// A Node, unlike a ServingNode, reads its settings only at start.
void
Reload(Node&, const Settings&)
{
  LogLine("settings_not_reloaded")
    .With("reason", "settings take effect at the next start")
    .Info();
}

/// Applies those settings that may change while the node runs.
void
Reload(ServingNode& aNode, const Settings& aSettings)
{
  aNode.Reload(aSettings);
}

/// Calls back on each SIGHUP.
void
OnHangUp(boost::asio::signal_set& aSignals, std::function<void()> aCallback)
{
  aSignals.async_wait([&aSignals, aCallback = std::move(aCallback)](
                        const boost::system::error_code& aError, int) {
    if (!aError) {
      aCallback();
      OnHangUp(aSignals, aCallback);
    }
  });
}

/// Runs the loop until a stop signal arrives and the node has stopped, and ends
/// the process. Returns the exit code if the node has not started.
template<typename NodeType>
int
RunUntilStopped(boost::asio::io_context& aContext,
                const Result<std::unique_ptr<NodeType>>& aNode,
                const std::string& aPath,
                const HeldSignals& aHeldSignals)
{
  if (!aNode) {
    LogLine("node_not_started").With(aNode.error()).Warn();
    return kExitNotStarted;
  }
  boost::asio::signal_set stopSignals(aContext, SIGTERM, SIGINT);
  stopSignals.async_wait([&](const boost::system::error_code& aError, int) {
    if (!aError) {
      (*aNode)->Stop([&aContext] { aContext.stop(); });
    }
  });
  boost::asio::signal_set hangUpSignals(aContext, SIGHUP);
  OnHangUp(hangUpSignals, [&] {
    Mistakes unknownKeys;
    const auto settings = ReadSettings(aPath, &unknownKeys);
    LogUnknownKeys(unknownKeys);
    if (settings) {
      Reload(**aNode, *settings);
    } else {
      LogLine("settings_unreadable")
        .With("mistakes", Describe(settings.error(), aPath))
        .Warn();
    }
  });
  aHeldSignals.Release();
  aContext.run();
  // Requests whose callers do not read, for example, are still open. They refer
  // to the node, and the node to the context, so neither may be destroyed
  // first.
  std::_Exit(0);
}

int
RunNode(const Settings& aSettings,
        const std::string& aPath,
        const HeldSignals& aHeldSignals)
{
  boost::asio::io_context context(1);
  const auto executor = context.get_executor();
  if (!aSettings.serving) {
    return RunUntilStopped(
      context, Node::Make(executor, aSettings), aPath, aHeldSignals);
  }
  ServingNode::Platform platform{
    .protocol = std::make_unique<platform::WireProtocol>(),
    .makeStore = [&](Counters& aCounters) -> std::unique_ptr<KeyValueStore> {
      return std::make_unique<platform::PlatformStore>(
        executor,
        aCounters,
        platform::PlatformStore::Options{ .address = aSettings.platform });
    },
  };
  return RunUntilStopped(
    context,
    ServingNode::Make(executor, aSettings, std::move(platform)),
    aPath,
    aHeldSignals);
}

} // namespace

int
main(int argc, char** argv)
{
  OpenClosedStandardDescriptors();
  IgnoreWriteSignals();
  const HeldSignals heldSignals{ SIGHUP, SIGINT, SIGTERM };
  CLI::App app("apricottrack node daemon");
  std::string path;
  bool checkOnly = false;
  app.add_option("settings", path, "TOML settings file")
    ->envname("APRICOTTRACK_NODE_FILE")
    ->required();
  app.add_flag("--check",
               checkOnly,
               "check the settings, also for unknown keys, and exit");
  CLI11_PARSE(app, argc, argv);

  // While VMs are upgraded one by one, a file may have keys of a later version.
  Mistakes unknownKeys;
  const auto settings = ReadSettings(path, checkOnly ? nullptr : &unknownKeys);
  if (!settings) {
    std::cerr << Describe(settings.error(), path);
    return kExitBadSettings;
  }
  if (checkOnly) {
    std::cout << path << ": ok\n";
    return 0;
  }
  StartLogging(settings->logLevel);
  LogUnknownKeys(unknownKeys);
  return RunNode(*settings, path, heldSignals);
}
