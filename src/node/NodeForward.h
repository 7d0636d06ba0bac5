#ifndef APRICOTTRACK_NODE_NODEFORWARD_H
#define APRICOTTRACK_NODE_NODEFORWARD_H

#include "http/HttpExchange.h"
#include "intake/RequestIntake.h"
#include "node/NodeContext.h"

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace apricottrack {

/// Forwards a caller's request to another node, because this one hears no
/// target of the service. The other node handles it as if the caller had sent
/// it there; its journal keeps a repeated request from running twice. A request
/// is forwarded once at most. Owned by the RequestRun.
class NodeForward
{
public:
  NodeForward(NodeContext& aContext,
              HttpExchange& aExchange,
              const RequestSpec& aSpec);

  /// Returns whether another node has forwarded the request.
  static bool IsForwarded(const HttpRequest& aRequest);

  /// Returns the version of the configuration by which the node that has
  /// forwarded the request has admitted it; zero if none is stated.
  static std::uint64_t ConfigurationVersion(const HttpRequest& aRequest);

  /// Returns the outcome once the caller has a response or has disconnected;
  /// nothing, with nothing sent, if no node has accepted the request, which has
  /// then not run.
  Task<std::optional<Outcome>> Run();

private:
  /// Addresses of some other nodes, in random order.
  std::vector<std::string> Nodes() const;
  /// Calls one node. Returns nothing if it has not run the request.
  Task<std::optional<Outcome>> Call(std::string aAddress);
  HttpRequest MakeRequest() const;
  Task<Outcome> RelayStream(HttpConnection& aConnection, HttpResponse aHead);
  Task<Result<HttpResponse>> ReadResponse(HttpConnection& aConnection,
                                          HttpResponse aHead);
  Task<Outcome> Fail(Error aError);
  Duration TimeLeft() const;

  NodeContext& context;
  HttpExchange& exchange;
  const RequestSpec& spec;
};

} // namespace apricottrack

#endif
