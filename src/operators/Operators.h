#ifndef APRICOTTRACK_OPERATORS_OPERATORS_H
#define APRICOTTRACK_OPERATORS_OPERATORS_H

#include "apricottrack/KeyValueStore.h"
#include "apricottrack/Time.h"
#include "config/StoredConfiguration.h"
#include "groups/DrainedVms.h"
#include "groups/EvacuatedZones.h"
#include "journal/JournalIndex.h"
#include "membership/NodeDirectory.h"
#include "report/BurnLedger.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/json/object.hpp>
#include <string>
#include <vector>

/// Operations of the operators' command on the platform's key-value service
/// and on nodes.
namespace apricottrack {

/// A registered node and the status that it reports.
struct NodeStatus
{
  std::string node;
  /// Admin address, "IP:port".
  std::string admin;
  /// Empty if the node did not respond with a JSON object, or if the sending of
  /// the request, the header or a part of the body took longer than 1.5 s.
  boost::json::object status;
};

/// Options of one submission of a configuration.
struct ApplyOptions
{
  /// Version that the change was reviewed against; zero accepts the version
  /// that is in the store.
  std::uint64_t baseVersion = 0;
  /// Identifies the submission, so that a repeat is not applied twice.
  std::string submission;
  /// Time of the submission, which is stored with it.
  UnixMillis now = 0;
  /// Maximum number of tries against store errors and lost replies.
  int maxAttempts = 5;
};

/// Reads the configuration in the platform's key-value service; its version is
/// zero if there is none or it cannot be parsed.
Task<Result<StoredConfiguration>>
ReadConfiguration(KeyValueStore& aStore);

/// Submits a configuration by compare-and-swap. After a lost reply it reads the
/// store again to find out whether the submission was accepted. If it reads a
/// version of another submission than the base version, it fails with kConflict
/// and writes nothing more; if that read follows a lost reply, its own
/// submission may have been accepted and replaced since. After maxAttempts it
/// fails with the last store error; it is then unknown whether the submission
/// was accepted.
Task<Result<StoredConfiguration>>
ApplyConfiguration(KeyValueStore& aStore,
                   std::string aText,
                   ApplyOptions aOptions);

/// Queries the status of all registered nodes; fails only if the store does.
Task<Result<std::vector<NodeStatus>>>
ReadNodeStatuses(boost::asio::any_io_executor aExecutor, KeyValueStore& aStore);

/// Returns the names of the nodes whose reported configuration is older than
/// aVersion; nodes that did not respond are among them.
std::vector<std::string>
UnconfirmedNodes(const std::vector<NodeStatus>& aNodes, std::uint64_t aVersion);

/// Merges the burn ledgers of all nodes that respond, with the same time limits
/// as for NodeStatus::status. Fails only if the store does.
Task<Result<BurnLedger>>
ReadBurnLedger(boost::asio::any_io_executor aExecutor, KeyValueStore& aStore);

/// Adds VMs to the list of drained VMs (aDrain) or removes them from it, and
/// returns the new list. Fails with the last store error after ten attempts.
Task<Result<DrainedVms>>
UpdateDrainedVms(KeyValueStore& aStore,
                 std::vector<std::string> aVms,
                 bool aDrain);

/// Reads the evacuated zones. Fails with kBadReply if the store holds anything
/// else.
Task<Result<EvacuatedZones>>
ReadEvacuatedZones(KeyValueStore& aStore);

/// Evacuates zones (aEvacuate) or takes them back, and returns the new set.
/// Fails with kBadReply, without a write, if the store holds anything else than
/// zones, otherwise with the last store error after ten attempts; it is then
/// unknown whether the write took effect.
Task<Result<EvacuatedZones>>
UpdateEvacuatedZones(KeyValueStore& aStore,
                     std::vector<std::string> aZones,
                     bool aEvacuate);

/// Reads the journals of all nodes into one index.
Task<Result<JournalIndex>>
ReadJournals(KeyValueStore& aStore);

} // namespace apricottrack

#endif
