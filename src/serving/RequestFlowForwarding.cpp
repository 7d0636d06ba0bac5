#include "serving/RequestFlow.h"

#include <algorithm>

// The part of RequestFlow that forwards a request to another node, because this
// one cannot connect to the targets, or serves a request that another node has
// forwarded.
namespace apricottrack {

bool
RequestFlow::ExcludeUnreachableTargets(
  const std::vector<Candidate>& aCandidates,
  std::set<std::string>& aExcluded) const
{
  bool hasUnreachable = false;
  for (const Candidate& candidate : aCandidates) {
    if (this->context.reach.IsUnreachable(candidate.id)) {
      aExcluded.insert(candidate.id);
      hasUnreachable = true;
    }
  }
  return hasUnreachable;
}

std::optional<Candidate>
RequestFlow::ChooseNode(const TargetChoice& aChoice, Instant aNow) const
{
  if (this->forwarded || !aChoice.hasUnreachable ||
      aChoice.placement.refusal != PlacementRefusal::kNoTarget ||
      aChoice.nextTurn || aChoice.pauseEnd || this->TargetsLeft() <= 0 ||
      this->grantedTargets.size() >= kMaxForwards) {
    return std::nullopt;
  }
  std::vector<Candidate> nodes;
  for (const std::string& address : this->context.forwardingNodes) {
    Candidate node = NodeCandidate(address);
    if (!this->calledTargets.contains(node.id)) {
      nodes.push_back(std::move(node));
    }
  }
  if (nodes.empty()) {
    return std::nullopt;
  }
  std::shuffle(nodes.begin(), nodes.end(), this->context.random);
  const auto rank = [&](const Candidate& aNode) {
    return std::pair(this->context.stalls.IsAvoided(aNode.id, aNow),
                     this->context.loads.OwnRequests(aNode.id));
  };
  return *std::min_element(
    nodes.begin(),
    nodes.end(),
    [&](const Candidate& aLeft, const Candidate& aRight) {
      return rank(aLeft) < rank(aRight);
    });
}

int
RequestFlow::MaxTargets() const
{
  const int maxTargets = this->admittedRequest.route->maxTargets;
  return this->forwarded ? std::min(maxTargets, this->forwarded->maxTargets)
                         : maxTargets;
}

int
RequestFlow::TargetsLeft() const
{
  int running = 0;
  if (this->call != nullptr &&
      !this->possibleRunners.contains(this->lastTargetId)) {
    const auto granted = this->grantedTargets.find(this->lastTargetId);
    running = granted == this->grantedTargets.end() ? 1 : granted->second;
  }
  return this->MaxTargets() - this->history.possibleRunCount - running;
}

void
RequestFlow::CountArrival()
{
  // A request that was forwarded before is counted at the other node.
  if (this->isCounted || !this->grantedTargets.empty()) {
    return;
  }
  this->isCounted = true;
  this->Budget().OnFirstAttempt();
  this->context.demand.OnRequest(this->DemandKey(),
                                 this->caller.promptTokens,
                                 this->caller.outputTokens,
                                 this->arrivedAt);
}

HttpHeaders
RequestFlow::ResponseHeaders(const HttpResponse& aHead) const
{
  HttpHeaders headers =
    WithoutNodeHeaders(this->context.protocol.ResponseHeaders(aHead));
  if (!this->forwarded || IsNodeCandidate(this->lastTargetId)) {
    return headers;
  }
  return WithCatalogVersion(WithTarget(std::move(headers), this->lastTargetId),
                            this->admittedRequest.catalog->Contents().version);
}

Task<void>
RequestFlow::ReplyOwn(HttpResponse aResponse)
{
  if (this->forwarded && this->history.possibleRunCount == 0) {
    SetRefusedByNode(aResponse);
  }
  co_await this->exchange.Reply(std::move(aResponse));
}

void
RequestFlow::RecordAvailability(const std::string& aTargetId,
                                const TargetCall& aCall,
                                CallEnd aEnd)
{
  const Instant now = MonotonicNow();
  if (IsNodeCandidate(aTargetId)) {
    // A response that breaks off may be the target's fault.
    if (aEnd == CallEnd::kNotSent) {
      this->context.stalls.OnFailure(aTargetId, now);
    }
    return;
  }
  if (aCall.HasConnectFailed()) {
    this->context.reach.OnConnectFailed(aTargetId, now);
  }
  if (aEnd == CallEnd::kNotSent || aEnd == CallEnd::kNoAnswer ||
      aEnd == CallEnd::kTruncated) {
    this->context.stalls.OnFailure(aTargetId, now);
  }
}

} // namespace apricottrack
