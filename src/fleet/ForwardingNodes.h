#ifndef APRICOTTRACK_FLEET_FORWARDINGNODES_H
#define APRICOTTRACK_FLEET_FORWARDINGNODES_H

#include "apricottrack/Time.h"

#include <cstddef>
#include <map>
#include <random>
#include <string>
#include <vector>

namespace apricottrack {

/// The nodes that reach targets and accept requests from nodes that do not. The
/// planner's node keeps it from what the nodes report.
class ForwardingNodes
{
public:
  struct Options
  {
    /// A node that has not reported for longer is left out.
    Duration lifetime = seconds(1);
    /// Between two updates of the list that samples are drawn from, which
    /// bounds the cost of a sample.
    Duration refreshInterval = milliseconds(50);
  };

  explicit ForwardingNodes(Options aOptions)
    : options(aOptions)
  {
  }

  /// Records the report of a node. `aAddress` is empty while the node accepts
  /// no forwarded requests.
  void OnReport(const std::string& aNode, std::string aAddress, Instant aNow);

  /// Returns up to `aCount` addresses, chosen at random so that the load of
  /// many senders spreads evenly; `aAsker` is left out.
  std::vector<std::string> Sample(const std::string& aAsker,
                                  std::size_t aCount,
                                  Instant aNow,
                                  std::mt19937_64& aRandom);

private:
  struct Entry
  {
    std::string address;
    Instant reportedAt;
  };

  void Refresh(Instant aNow);

  Options options;
  std::map<std::string, Entry> nodes;
  /// Names of the nodes that accept requests, as of `refreshedAt`.
  std::vector<std::string> accepting;
  Instant refreshedAt;
};

} // namespace apricottrack

#endif
