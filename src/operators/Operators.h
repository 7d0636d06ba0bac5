#ifndef APRICOTTRACK_OPERATORS_OPERATORS_H
#define APRICOTTRACK_OPERATORS_OPERATORS_H

#include "apricottrack/KeyValueStore.h"
#include "apricottrack/Time.h"
#include "config/StoredConfiguration.h"
#include "groups/DrainedVms.h"
#include "journal/JournalIndex.h"
#include "membership/NodeDirectory.h"
#include "report/BurnLedger.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/json/object.hpp>
#include <string>
#include <vector>

/// What the operators' command does at the platform's service and at nodes.
namespace apricottrack {

/// One node as registered, and what it says of itself.
struct NodeStatus
{
  std::string node;
  std::string admin;
  /// Empty where the node did not answer.
  boost::json::object status;
};

struct ApplyOptions
{
  /// Version that the operator reviewed against; zero: whatever is there.
  std::uint64_t base = 0;
  std::string submission;
  UnixMillis now = 0;
  int attempts = 5;
};

/// The configuration that the platform's service holds; version zero if none.
Task<Result<StoredConfiguration>>
ReadConfiguration(KeyValueStore& aStore);

/// Submits a configuration by compare-and-swap. A lost reply is resolved by
/// reading back; a racing submission gives kConflict, and nothing changes.
Task<Result<StoredConfiguration>>
ApplyConfiguration(KeyValueStore& aStore,
                   std::string aText,
                   ApplyOptions aOptions);

Task<Result<std::vector<NodeStatus>>>
ReadNodes(boost::asio::any_io_executor aExecutor, KeyValueStore& aStore);

/// The counts of all nodes that answer, added up.
Task<Result<BurnLedger>>
ReadBurn(boost::asio::any_io_executor aExecutor, KeyValueStore& aStore);

/// Adds VMs to, or takes them off, the list of VMs that operators drain.
Task<Result<DrainedVms>>
ChangeDrained(KeyValueStore& aStore,
              std::vector<std::string> aVms,
              bool aDrain);

/// Reads all journals.
Task<Result<JournalIndex>>
ReadJournals(KeyValueStore& aStore);

} // namespace apricottrack

#endif
