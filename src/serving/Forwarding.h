#ifndef APRICOTTRACK_SERVING_FORWARDING_H
#define APRICOTTRACK_SERVING_FORWARDING_H

#include "http/HttpTypes.h"
#include "placement/Candidate.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

/// How a node that reaches no target passes a caller's request to another node:
/// as the caller sent it, with the time that is left, on a port for nodes only.
/// A request is forwarded once at most, so that it cannot circulate.
namespace apricottrack {

/// What the sending node allows the receiving one.
struct ForwardedRequest
{
  /// Number of targets that may run the request.
  int maxTargets = 1;
  /// Version of the catalog by which the sending node has admitted the request;
  /// zero if not stated.
  std::int64_t catalogVersion = 0;

  friend bool operator==(const ForwardedRequest&,
                         const ForwardedRequest&) = default;
};

/// Adds the terms to a request that is about to be forwarded.
void
SetForwarded(HttpRequest& aRequest, const ForwardedRequest& aTerms);

/// Returns the terms of a request that another node has forwarded.
ForwardedRequest
ReadForwarded(const HttpRequest& aRequest);

/// Marks a response to another node as this node's own: no target has run the
/// request, or ever will.
void
SetRefusedByNode(HttpResponse& aResponse);

/// Returns whether the node that sent the response has refused the request.
bool
IsRefusedByNode(const HttpResponse& aResponse);

/// States the version of the catalog by which this node has decided on a
/// forwarded request.
HttpHeaders
WithCatalogVersion(HttpHeaders aHeaders, std::int64_t aVersion);

/// Returns the version of the catalog that another node's response states; zero
/// if none is stated.
std::int64_t
CatalogVersionOf(const HttpResponse& aResponse);

/// Names the target that a response to another node comes from.
HttpHeaders
WithTarget(HttpHeaders aHeaders, std::string_view aTargetId);

/// Returns the target that another node's response comes from; empty if none is
/// named.
std::string
TargetOf(const HttpResponse& aResponse);

/// Removes what only concerns the two nodes, whoever has added it.
HttpHeaders
WithoutNodeHeaders(HttpHeaders aHeaders);

/// Returns the candidate that stands for another node.
Candidate
NodeCandidate(const std::string& aAddress);

/// Returns whether the id is one of a NodeCandidate.
bool
IsNodeCandidate(std::string_view aId);

} // namespace apricottrack

#endif
