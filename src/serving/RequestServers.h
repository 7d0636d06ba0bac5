#ifndef APRICOTTRACK_SERVING_REQUESTSERVERS_H
#define APRICOTTRACK_SERVING_REQUESTSERVERS_H

#include "http/HttpServer.h"
#include "serving/ServingContext.h"

#include <memory>
#include <string>
#include <vector>

namespace apricottrack {

/// The servers whose requests are run at targets: one for callers and, if the
/// settings name an address for it, one for requests that other nodes forward.
/// Both stop together.
class RequestServers
{
public:
  explicit RequestServers(ServingContext& aContext)
    : context(aContext)
  {
  }

  /// Starts to listen; fails if an address cannot be bound.
  Result<void> Start();

  void SetLimits(const CallerLimits& aLimits);

  /// Closes each connection after its next response.
  void CloseAfterNextResponse();
  /// Accepts no further connections.
  void Stop();
  /// Returns once all connections are closed, or at `aUntil`.
  Task<void> WaitForConnections(Instant aUntil);
  void CloseIdleConnections();

  /// Counts of the callers' connections.
  void ExportCounts() const;
  void LogCounts() const;

private:
  Result<void> Listen(const std::string& aAddress,
                      std::size_t aMaxConnections,
                      HttpHandler aHandler);

  ServingContext& context;
  /// The callers' server is the first.
  std::vector<std::shared_ptr<HttpServer>> servers;
  /// Maximum numbers of their connections.
  std::vector<std::size_t> connectionLimits;
};

/// Starts a server of a serving node, which answers errors with refusals.
Result<std::shared_ptr<HttpServer>>
ListenForRequests(ServingContext& aContext,
                  const std::string& aAddress,
                  std::size_t aMaxConnections,
                  HttpHandler aHandler);

} // namespace apricottrack

#endif
