/// The daemon of an entry VM.

#include "apricottrack/Node.h"
#include "apricottrack/Settings.h"
#include "base/Log.h"

#include <CLI/CLI.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <fstream>
#include <iostream>
#include <sstream>

using namespace apricottrack;

namespace {

constexpr int kExitBadSettings = 2;
constexpr int kExitNotStarted = 3;

int
RunNode(const Settings& aSettings)
{
  boost::asio::io_context context(1);
  auto node = Node::Make(context.get_executor(), aSettings);
  if (!node) {
    LogLine("node_not_started").With(node.error()).Warn();
    return kExitNotStarted;
  }
  boost::asio::signal_set signals(context, SIGTERM, SIGINT);
  signals.async_wait([&](const boost::system::error_code& aError, int) {
    if (!aError) {
      (*node)->Stop([&context] { context.stop(); });
    }
  });
  context.run();
  return 0;
}

} // namespace

int
main(int argc, char** argv)
{
  CLI::App app("apricottrack node daemon");
  std::string path;
  bool checkOnly = false;
  app.add_option("settings", path, "TOML settings file")->required();
  app.add_flag("--check", checkOnly, "check the settings and exit");
  CLI11_PARSE(app, argc, argv);

  std::ifstream file(path);
  if (!file) {
    std::cerr << path << ": cannot be read\n";
    return kExitBadSettings;
  }
  std::stringstream text;
  text << file.rdbuf();
  const auto settings = ParseSettings(text.str());
  if (!settings) {
    std::cerr << Describe(settings.error(), path);
    return kExitBadSettings;
  }
  if (checkOnly) {
    std::cout << path << ": ok\n";
    return 0;
  }
  StartLogging(settings->logLevel);
  return RunNode(*settings);
}
