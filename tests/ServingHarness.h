#ifndef APRICOTTRACK_TESTS_SERVINGHARNESS_H
#define APRICOTTRACK_TESTS_SERVINGHARNESS_H

#include "http/HttpServer.h"
#include "serving/Refusals.h"
#include "serving/RequestFlow.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <fmt/format.h>

/// Runs RequestFlow on real sockets between a caller and targets whose bytes a
/// test writes itself.
namespace apricottrack {

namespace asio = boost::asio;
using asio::ip::tcp;

/// Uses header names of its own; targets are plain ones, without replicas.
class TestProtocol final : public PlatformProtocol
{
public:
  std::string CatalogKey() const override { return "catalog"; }
  std::string OperatorPrefix() const override { return "operator/"; }
  std::string EvacuatedZoneOf(const std::string&) const override { return {}; }
  std::string TargetPrefix() const override { return "targets/"; }
  std::string TargetIdOf(const std::string& aKey) const override
  {
    return aKey;
  }
  Result<Catalog> ReadCatalog(std::string_view) const override
  {
    return Catalog{};
  }
  Result<TargetRecord> ReadTarget(const KeyValue&) const override
  {
    return TargetRecord{};
  }
  CallerHead ReadCaller(const HttpRequest& aRequest) const override
  {
    CallerHead head{ .attemptId = std::string(aRequest["X-Attempt"]),
                     .requestTimeout = milliseconds(
                       std::stoi(std::string(aRequest["X-Timeout"]))) };
    std::string_view parts = aRequest["X-Parts"];
    for (auto comma = parts.find(','); comma != std::string_view::npos;
         comma = parts.find(',')) {
      head.sharedPromptParts.emplace_back(parts.substr(0, comma));
      parts.remove_prefix(comma + 1);
    }
    return head;
  }
  HttpRequest MakeRequest(
    const HttpRequest& aCallerRequest,
    const TargetInstructions& aInstructions) const override
  {
    HttpRequest request = aCallerRequest;
    if (aInstructions.resumeAfter) {
      request.set("Last-Event-Id", std::to_string(*aInstructions.resumeAfter));
    }
    return request;
  }
  HttpRequest MakeForwarded(
    const HttpRequest& aCallerRequest,
    const TargetInstructions& aInstructions) const override
  {
    HttpRequest request = this->MakeRequest(aCallerRequest, aInstructions);
    request.set("X-Timeout",
                std::to_string(aInstructions.timeLeft / milliseconds(1)));
    return request;
  }
  TargetHead ReadHead(const HttpResponse& aHead) const override
  {
    return { .attemptId = std::string(aHead["X-Attempt"]),
             .notRun = aHead.count("X-Not-Run") > 0,
             .isSigned = aHead.count("X-Signed") > 0,
             .isEventStream = aHead["Content-Type"] == "text/event-stream",
             .requestLimit = ReadRequestLimit(aHead["X-Limit"]),
             .isLeaving = aHead.count("X-Leaving") > 0,
             .pause = ReadPauseRequest(aHead["X-Pause"]) };
  }
  HttpHeaders ResponseHeaders(const HttpResponse& aHead) const override
  {
    HttpHeaders headers;
    for (const auto& field : aHead) {
      if (field.name_string().starts_with("X-") ||
          field.name_string().starts_with("Apricottrack-")) {
        headers.emplace_back(field.name_string(), field.value());
      }
    }
    return headers;
  }
  HttpRequest MakeOrder(const ReplicaOrder&) const override { return {}; }
  OrderReply ReadOrderReply(const HttpResponse&) const override
  {
    return OrderReply::kUnknown;
  }
  HttpRequest MakeReportRequest(const std::string&) const override
  {
    return {};
  }
  Result<TargetReport> ReadReport(const HttpResponse&,
                                  std::string_view) const override
  {
    return TargetReport{};
  }
};

/// A connection that a scripted target has accepted.
class TargetConnection
{
public:
  explicit TargetConnection(tcp::socket aSocket)
    : socket(std::move(aSocket))
  {
  }

  /// Returns the head of the next request; empty if the caller closed.
  Task<std::string> ReadRequest()
  {
    auto [error, size] = co_await asio::async_read_until(
      this->socket, asio::dynamic_buffer(this->received), "\r\n\r\n", kAsTuple);
    if (error) {
      co_return std::string{};
    }
    std::string head = this->received.substr(0, size);
    this->received.erase(0, size);
    co_return head;
  }

  /// Returns false if the caller closed the connection.
  Task<bool> Write(std::string aBytes)
  {
    auto [error, size] =
      co_await asio::async_write(this->socket, asio::buffer(aBytes), kAsTuple);
    this->written += size;
    co_return !error;
  }

  Task<void> Wait(Duration aDuration)
  {
    asio::steady_timer timer(this->socket.get_executor(), aDuration);
    co_await timer.async_wait(kAsTuple);
  }

  /// Bytes written so far.
  std::size_t written = 0;

private:
  tcp::socket socket;
  std::string received;
};

class ServingHarness
{
public:
  /// Serves one connection. `aNumber` counts the target's connections from 0.
  using Script =
    std::function<Task<void>(TargetConnection& aConnection, int aNumber)>;

  ServingHarness()
    : context{ .settings = this->settings,
               .protocol = this->protocol,
               .executor = this->io.get_executor(),
               .counters = {},
               .catalog = CatalogHolder(
                 CatalogHolder::Options{ .maxVerificationAge = seconds(600) }),
               .fleet = Fleet(Fleet::Options{}),
               .candidates = {},
               .loads = LoadTracker(LoadTracker::Options{}),
               .stalls = StallDetector(StallDetector::Options{}),
               .limits = TargetLimits(TargetLimits::Options{}, 1),
               .pauses = TargetPauses(TargetPauses::Options{}),
               .demand = DemandMeter(DemandMeter::Options{}),
               .fleetDemands = {},
               .targetPool = HttpConnectionPool(this->io.get_executor(), {}),
               .startGate = StartGate(this->io.get_executor()),
               .retryBudgets = {},
               .running = {},
               .random = std::mt19937_64(1) }
  {
    this->settings.serving.emplace();
    this->context.nodeCount = 1;
    const auto route = [](std::string aPrefix, RouteKind aKind) {
      return CatalogRoute{ .name = aPrefix,
                           .host = "h",
                           .prefix = aPrefix,
                           .kind = aKind,
                           .resumable = aKind == RouteKind::kStream,
                           .maxTargets =
                             aKind == RouteKind::kNonIdempotent ? 1 : 2,
                           .services = { { .service = "app" } } };
    };
    this->context.catalog.Apply(
      Catalog{ .version = 1,
               .routes = { route("/idempotent/", RouteKind::kIdempotent),
                           route("/once/", RouteKind::kNonIdempotent),
                           route("/stream/", RouteKind::kStream) },
               .services = { { .name = "app" } } },
      MonotonicNow());
    this->context.startGate.Open();
    this->server = this->Listen(
      [this](HttpExchange& aExchange) -> Task<void> {
        RequestFlow flow(this->context, aExchange);
        co_await flow.Serve();
      },
      this->callerEndpoint);
  }

  /// Starts to serve what other nodes forward, and returns where.
  tcp::endpoint StartForwardServer()
  {
    tcp::endpoint endpoint;
    this->forwardServer = this->Listen(
      [this](HttpExchange& aExchange) -> Task<void> {
        RequestFlow flow(
          this->context, aExchange, ReadForwarded(aExchange.Request()));
        co_await flow.Serve();
      },
      endpoint);
    return endpoint;
  }

  /// Adds a target that runs the script for each connection.
  void AddTarget(std::string aId, Script aScript)
  {
    this->AddTargetAt(std::move(aId), this->StartScript(std::move(aScript)));
  }

  /// Adds a target that accepts no connections.
  void AddUnreachableTarget(std::string aId)
  {
    this->AddTargetAt(std::move(aId), FreeAddress(this->io));
  }

  /// Adds a node that requests may be forwarded to, which runs the script for
  /// each connection.
  void AddNode(Script aScript)
  {
    this->context.forwardingNodes.push_back(
      this->StartScript(std::move(aScript)));
  }

  void AddTargetAt(std::string aId, std::string aAddress)
  {
    this->context.fleet.Put({ .id = std::move(aId),
                              .service = "app",
                              .address = std::move(aAddress),
                              .availabilityZone = "a",
                              .slots = 8 },
                            MonotonicNow());
    this->context.candidates.Rebuild(
      this->context.catalog.Current()->Contents(), this->context.fleet, {}, {});
  }

  /// Returns the address at which the script runs for each connection.
  std::string StartScript(Script aScript)
  {
    auto acceptor = std::make_shared<tcp::acceptor>(
      this->io, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
    asio::co_spawn(
      this->io,
      [acceptor, script = std::move(aScript), this]() -> Task<void> {
        for (int number = 0;; ++number) {
          auto [error, socket] = co_await acceptor->async_accept(kAsTuple);
          if (error) {
            co_return;
          }
          asio::co_spawn(
            this->io, Serve(std::move(socket), script, number), asio::detached);
        }
      },
      asio::detached);
    return fmt::format("127.0.0.1:{}", acceptor->local_endpoint().port());
  }

  /// Sends a request and returns the bytes of the response up to the close of
  /// the connection, which the request asks for. `aParts` are the parts of its
  /// prompt, separated by commas.
  Task<std::string> Call(std::string aPath,
                         std::string aAttemptId,
                         Duration aTimeout,
                         std::string aParts = "own")
  {
    std::string request = fmt::format(
      "GET {} HTTP/1.1\r\nHost: h\r\nConnection: close\r\nX-Attempt: "
      "{}\r\nX-Timeout: {}\r\nX-Parts: {}\r\n\r\n",
      aPath,
      aAttemptId,
      aTimeout / milliseconds(1),
      aParts);
    co_return co_await this->Exchange(this->callerEndpoint, std::move(request));
  }

  /// Sends the bytes and returns those of the response, up to the close of the
  /// connection.
  Task<std::string> Exchange(tcp::endpoint aEndpoint, std::string aRequest)
  {
    tcp::socket socket(this->io);
    co_await socket.async_connect(aEndpoint, kAsTuple);
    co_await asio::async_write(socket, asio::buffer(aRequest), kAsTuple);
    std::string response;
    co_await asio::async_read(socket, asio::dynamic_buffer(response), kAsTuple);
    co_return response;
  }

  /// Runs the test's coroutine to its end, within `aLimit`. Returns false if it
  /// has not ended by then.
  bool Run(std::function<Task<void>()> aTest, Duration aLimit)
  {
    bool ended = false;
    asio::co_spawn(
      this->io,
      [&]() -> Task<void> {
        co_await aTest();
        ended = true;
        this->io.stop();
      },
      asio::detached);
    this->io.run_for(aLimit);
    return ended;
  }

  static std::string FreeAddress(asio::io_context& aIo)
  {
    const tcp::acceptor acceptor(
      aIo, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
    return fmt::format("127.0.0.1:{}", acceptor.local_endpoint().port());
  }

  asio::io_context io{ 1 };
  Settings settings;
  TestProtocol protocol;
  ServingContext context;
  std::shared_ptr<HttpServer> server;
  tcp::endpoint callerEndpoint;
  std::shared_ptr<HttpServer> forwardServer;

private:
  std::shared_ptr<HttpServer> Listen(const HttpHandler& aHandler,
                                     tcp::endpoint& aEndpoint)
  {
    // Another process may take the free port before it is bound.
    for (int attempt = 0; attempt < 20; ++attempt) {
      const std::string address = FreeAddress(this->io);
      auto listening = HttpServer::Make(
        this->io.get_executor(),
        { .address = address,
          .handler = aHandler,
          .errorResponder = [this](unsigned aStatus, std::string_view aReason) {
            return MakeRefusal(aStatus, aReason, this->context.random);
          } });
      if (listening) {
        aEndpoint = *ParseEndpoint(address);
        return *listening;
      }
    }
    FAIL("no port could be bound");
    return nullptr;
  }

  static Task<void> Serve(tcp::socket aSocket, Script aScript, int aNumber)
  {
    TargetConnection connection(std::move(aSocket));
    co_await aScript(connection, aNumber);
  }
};

/// Returns the number after " HTTP/1.1 " of a response, or 0.
inline int
StatusOf(const std::string& aResponse)
{
  return aResponse.size() < 12 ? 0 : std::stoi(aResponse.substr(9, 3));
}

/// Returns true if a chunked response ended with its last chunk.
inline bool
IsCompleteStream(const std::string& aResponse)
{
  return aResponse.ends_with("0\r\n\r\n");
}

} // namespace apricottrack

#endif
