#include "serving/RequestServers.h"

#include "config/CapacityShares.h"
#include "serving/Refusals.h"
#include "serving/RequestFlow.h"

namespace apricottrack {

Result<std::shared_ptr<HttpServer>>
ListenForRequests(ServingContext& aContext,
                  const std::string& aAddress,
                  std::size_t aMaxConnections,
                  HttpHandler aHandler)
{
  return HttpServer::Make(
    aContext.executor,
    HttpServer::Options{
      .address = aAddress,
      .limits = HttpServerLimits{ .connections = aMaxConnections },
      .handler = std::move(aHandler),
      .errorResponder =
        [&aContext](unsigned aStatus, std::string_view aReason) {
          return MakeRefusal(aStatus, aReason, aContext.random);
        },
      .memory = &aContext.callerMemory,
    });
}

Result<void>
RequestServers::Start()
{
  const CapacityShares shares = SharesOf(this->context.settings);
  auto listening = this->Listen(this->context.settings.listen,
                                shares.callerConnections,
                                [this](HttpExchange& aExchange) -> Task<void> {
                                  this->context.requestsSeen = true;
                                  RequestFlow flow(this->context, aExchange);
                                  co_await flow.Serve();
                                });
  const std::string& forwardListen =
    this->context.settings.serving->forwardListen;
  if (!listening || forwardListen.empty()) {
    return listening;
  }
  return this->Listen(forwardListen,
                      shares.forwardConnections,
                      [this](HttpExchange& aExchange) -> Task<void> {
                        RequestFlow flow(this->context,
                                         aExchange,
                                         ReadForwarded(aExchange.Request()));
                        co_await flow.Serve();
                      });
}

Result<void>
RequestServers::Listen(const std::string& aAddress,
                       std::size_t aMaxConnections,
                       HttpHandler aHandler)
{
  auto newServer = ListenForRequests(
    this->context, aAddress, aMaxConnections, std::move(aHandler));
  if (!newServer) {
    return tl::unexpected(newServer.error());
  }
  this->servers.push_back(std::move(*newServer));
  this->connectionLimits.push_back(aMaxConnections);
  return {};
}

void
RequestServers::SetLimits(const CallerLimits& aLimits)
{
  for (std::size_t i = 0; i < this->servers.size(); ++i) {
    this->servers[i]->SetLimits(HttpServerLimits{
      .headerBytes = aLimits.headerBytes,
      .bodyBytes = aLimits.bodyBytes,
      .connections = this->connectionLimits[i],
      .idleTimeout = aLimits.idleTimeout,
      .receiveTimeout = aLimits.headerTimeout,
    });
  }
}

void
RequestServers::CloseAfterNextResponse()
{
  for (const auto& server : this->servers) {
    server->CloseAfterNextResponse();
  }
}

void
RequestServers::Stop()
{
  for (const auto& server : this->servers) {
    server->Stop();
  }
}

Task<void>
RequestServers::WaitForConnections(Instant aUntil)
{
  for (const auto& server : this->servers) {
    co_await server->WaitForConnections(aUntil);
  }
}

void
RequestServers::CloseIdleConnections()
{
  for (const auto& server : this->servers) {
    server->CloseIdleConnections();
  }
}

void
RequestServers::ExportCounts() const
{
  this->servers.front()->ExportCounts(this->context.counters);
}

void
RequestServers::LogCounts() const
{
  this->servers.front()->LogCounts();
}

} // namespace apricottrack
