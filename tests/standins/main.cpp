/// Runs one stand-in for the platform or for a target as a process.

#include "base/Log.h"
#include "standins/KvStandin.h"
#include "standins/TargetStandin.h"
#include "standins/VmListStandin.h"

#include <CLI/CLI.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <fstream>
#include <iostream>
#include <sstream>

using namespace apricottrack;
using namespace apricottrack::standins;

namespace {

/// Serves a stand-in at an address; exits if it cannot listen.
template<typename Standin>
void
Listen(boost::asio::io_context& aContext,
       const std::string& aAddress,
       std::shared_ptr<Standin> aStandin)
{
  HttpServerLimits limits;
  limits.bodyBytes = std::uint64_t{ 16 } * 1024 * 1024;
  limits.idleTimeout = seconds(3600);
  limits.receiveTimeout = seconds(3600);
  const auto server = HttpServer::Make(
    aContext.get_executor(),
    HttpServer::Options{
      .address = aAddress,
      .limits = limits,
      .handler = [aStandin](HttpExchange& aExchange) -> Task<void> {
        co_await aStandin->Handle(aExchange);
      },
      .errorResponder = {} });
  if (!server) {
    std::cerr << Describe(server.error()) << "\n";
    std::exit(1);
  }
}

} // namespace

int
main(int argc, char** argv)
{
  CLI::App app("stand-in for the platform or for a target");
  app.require_subcommand(1);
  std::string address;
  std::string listFile;
  int lagMs = 0;
  TargetOptions target;
  bool ignoreFencing = false;

  auto* const kv = app.add_subcommand("kv", "the key-value service");
  kv->add_option("--listen", address)->required();
  auto* const vms = app.add_subcommand("vms", "the list of VMs");
  vms->add_option("--listen", address)->required();
  vms->add_option("--file", listFile)->required();
  vms->add_option("--lag-ms", lagMs);
  auto* const run =
    app.add_subcommand("target", "a model engine or a plain service");
  run->add_option("--listen", target.address)->required();
  run->add_option("--vm", target.vm)->required();
  run->add_flag("--plain", target.plain);
  run->add_flag("--ignore-fencing", ignoreFencing);
  run->add_option("--slots", target.slots);
  run->add_option("--load-ms", target.loadMs);
  run->add_option("--prefill-ms", target.prefillMs);
  run->add_option("--token-ms", target.tokenMs);
  run->add_option("--work-ms", target.workMs);
  run->add_option("--report-lag-ms", target.reportLagMs);
  run->add_option("--record", target.recordFile);
  CLI11_PARSE(app, argc, argv);
  target.checksFencing = !ignoreFencing;

  StartLogging("warn");
  boost::asio::io_context context(1);
  const auto executor = context.get_executor();
  if (kv->parsed()) {
    Listen(context, address, std::make_shared<KvStandin>(executor));
  } else if (vms->parsed()) {
    std::ifstream file(listFile);
    std::stringstream text;
    text << file.rdbuf();
    Listen(context,
           address,
           std::make_shared<VmListStandin>(text.str(), milliseconds(lagMs)));
  } else {
    Listen(context,
           target.address,
           std::make_shared<TargetStandin>(executor, target));
  }
  boost::asio::signal_set signals(context, SIGTERM, SIGINT);
  signals.async_wait(
    [&](const boost::system::error_code&, int) { context.stop(); });
  context.run();
}
