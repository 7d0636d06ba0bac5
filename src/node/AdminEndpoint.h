#ifndef APRICOTTRACK_NODE_ADMINENDPOINT_H
#define APRICOTTRACK_NODE_ADMINENDPOINT_H

#include "http/HttpServer.h"
#include "node/NodeContext.h"

namespace apricottrack {

/// Serves the load balancer's health check, metric collectors and operators:
/// /healthz, /metrics, /status and /report.
class AdminEndpoint
{
public:
  explicit AdminEndpoint(NodeContext& aContext);

  Task<void> Handle(HttpExchange& aExchange);

private:
  HttpResponse BuildResponse(std::string_view aPath);
  /// Returns 200 if this node accepts requests, or 503 while it drains or has
  /// no configuration.
  HttpResponse BuildHealthResponse() const;
  /// Returns the node's metrics in the Prometheus text format.
  HttpResponse BuildMetricsResponse();
  /// Returns the state of the node, its replica groups and its services as
  /// JSON.
  HttpResponse BuildStatusResponse() const;

  NodeContext& context;
};

} // namespace apricottrack

#endif
