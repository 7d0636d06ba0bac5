/// Load generator: sends the same requests over several routes in alternating
/// rounds, so that latencies are comparable within one run, and prints latency
/// quantiles and their ratios to the first route.

#include "base/Log.h"
#include "http/HttpClient.h"

#include <CLI/CLI.hpp>
#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <fmt/format.h>
#include <iostream>

using namespace apricottrack;
namespace asio = boost::asio;

namespace {

/// Command-line arguments.
struct Arguments
{
  /// "label=IP:port/path"; the first one is the baseline.
  std::vector<std::string> routes;
  /// "Name: value".
  std::vector<std::string> headers;
  /// A body makes the requests POST instead of GET.
  std::string body;
  int connections = 1;
  /// Per connection and round.
  int requests = 200;
  int rounds = 5;
};

/// One route and its measurements over all rounds.
struct Route
{
  std::string label;
  std::string address;
  std::string path;
  /// Latency of each successful request.
  std::vector<double> seconds;
  /// Server-sent events received.
  std::int64_t events = 0;
  std::int64_t failures = 0;
  /// Elapsed time of this route's rounds.
  double roundSeconds = 0;
};

Route
ParseRoute(const std::string& aText)
{
  const std::size_t equals = aText.find('=');
  const std::size_t slash = aText.find('/', equals);
  return Route{ .label = aText.substr(0, equals),
                .address = aText.substr(equals + 1, slash - equals - 1),
                .path = aText.substr(slash) };
}

HttpRequest
MakeRequest(const Arguments& aArguments, const Route& aRoute)
{
  namespace http = boost::beast::http;
  HttpRequest request(aArguments.body.empty() ? http::verb::get
                                              : http::verb::post,
                      aRoute.path,
                      11);
  request.set(http::field::host, aRoute.address);
  for (const std::string& header : aArguments.headers) {
    const std::size_t colon = header.find(':');
    request.set(header.substr(0, colon), header.substr(colon + 2));
  }
  request.body() = aArguments.body;
  return request;
}

/// Sends a request and reads its complete response. Returns the number of
/// server-sent events, or -1 if the request failed.
Task<std::int64_t>
SendRequest(HttpConnection& aConnection, HttpRequest aRequest)
{
  // For each send or receive, not for the whole request.
  static constexpr Duration kTimeout = seconds(30);
  const auto sent = co_await aConnection.Send(std::move(aRequest), kTimeout);
  if (!sent) {
    co_return -1;
  }
  const auto head = co_await aConnection.ReceiveHead(kTimeout, 1U << 30);
  if (!head || head->result_int() != 200) {
    co_return -1;
  }
  std::int64_t events = 0;
  for (;;) {
    const auto chunk = co_await aConnection.ReceiveBodyChunk(kTimeout);
    if (!chunk) {
      co_return -1;
    }
    if (chunk->empty()) {
      co_return events;
    }
    for (std::size_t position = chunk->find("id: ");
         position != std::string::npos;
         position = chunk->find("id: ", position + 1)) {
      ++events;
    }
  }
}

/// Sends one round of requests on one connection; stops at the first failure.
Task<void>
RunClient(asio::any_io_executor aExecutor,
          const Arguments& aArguments,
          Route& aRoute)
{
  HttpConnection connection(aExecutor, aRoute.address);
  const auto connected = co_await connection.Connect(seconds(5));
  for (int i = 0; i < aArguments.requests; ++i) {
    const Instant start = MonotonicNow();
    const std::int64_t events =
      connected
        ? co_await SendRequest(connection, MakeRequest(aArguments, aRoute))
        : -1;
    if (events < 0) {
      ++aRoute.failures;
      co_return;
    }
    aRoute.events += events;
    aRoute.seconds.push_back(ToSeconds(MonotonicNow() - start));
  }
}

/// Returns a quantile, zero without values; reorders aValues. aShare lies
/// between 0 and 1.
double
Quantile(std::vector<double>& aValues, double aShare)
{
  if (aValues.empty()) {
    return 0;
  }
  const auto position = static_cast<std::ptrdiff_t>(
    aShare * static_cast<double>(aValues.size() - 1));
  std::nth_element(aValues.begin(), aValues.begin() + position, aValues.end());
  return aValues[static_cast<std::size_t>(position)];
}

/// Prints one line per route, with ratios to the first.
void
PrintRoutes(std::vector<Route>& aRoutes)
{
  const double baselineP50 = Quantile(aRoutes.front().seconds, 0.5);
  const double baselineP99 = Quantile(aRoutes.front().seconds, 0.99);
  for (Route& route : aRoutes) {
    const double p50 = Quantile(route.seconds, 0.5);
    const double p99 = Quantile(route.seconds, 0.99);
    std::cout << fmt::format(
      "route={} n={} failures={} p50_us={:.0f} p99_us={:.0f} "
      "p50_ratio={:.2f} p99_ratio={:.2f} requests_per_s={:.0f} "
      "events_per_s={:.0f}\n",
      route.label,
      route.seconds.size(),
      route.failures,
      p50 * 1e6,
      p99 * 1e6,
      baselineP50 > 0 ? p50 / baselineP50 : 0,
      baselineP99 > 0 ? p99 / baselineP99 : 0,
      static_cast<double>(route.seconds.size()) / route.roundSeconds,
      static_cast<double>(route.events) / route.roundSeconds);
  }
}

} // namespace

int
main(int argc, char** argv)
{
  CLI::App app("compares the latencies of routes under the same load");
  Arguments arguments;
  app.add_option("routes", arguments.routes, "label=IP:port/path")->required();
  app.add_option("--header", arguments.headers, "\"Name: value\"");
  app.add_option("--body", arguments.body, "body; sends POST instead of GET");
  app.add_option("--connections", arguments.connections);
  app.add_option("--requests", arguments.requests, "per connection and round");
  app.add_option("--rounds", arguments.rounds);
  CLI11_PARSE(app, argc, argv);
  StartLogging("warn");

  std::vector<Route> routes;
  for (const std::string& text : arguments.routes) {
    routes.push_back(ParseRoute(text));
  }
  for (int round = 0; round < arguments.rounds; ++round) {
    for (Route& route : routes) {
      asio::io_context loop(1);
      for (int i = 0; i < arguments.connections; ++i) {
        asio::co_spawn(loop,
                       RunClient(loop.get_executor(), arguments, route),
                       asio::detached);
      }
      const Instant start = MonotonicNow();
      loop.run();
      route.roundSeconds += ToSeconds(MonotonicNow() - start);
    }
  }
  PrintRoutes(routes);
}
