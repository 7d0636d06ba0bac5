#ifndef APRICOTTRACK_MEMBERSHIP_NODEDIRECTORY_H
#define APRICOTTRACK_MEMBERSHIP_NODEDIRECTORY_H

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace apricottrack {

/// A node's registration in the platform's key-value service.
struct NodeRecord
{
  std::string node;
  /// Identifies one start of the node.
  std::string incarnation;
  std::string availabilityZone;
  /// IP:port of the admin endpoint and of the endpoint for other nodes.
  std::string admin;
  std::string peerAddress;
  /// IP:port for callers; empty in the record of an older node.
  std::string callerAddress;

  friend bool operator==(const NodeRecord&, const NodeRecord&) = default;
};

std::string
EncodeNodeRecord(const NodeRecord& aRecord);

/// Returns nothing if the text is not a node record.
std::optional<NodeRecord>
ParseNodeRecord(std::string_view aText);

/// The nodes that were registered when the platform's service was last read.
/// May be out of date; no safety property depends on it.
class NodeDirectory
{
public:
  explicit NodeDirectory(std::string aOwnNode);

  void Set(const NodeRecord& aRecord);
  void Remove(std::string_view aNode);
  /// Removes all nodes that are not listed in `aNodes`.
  void KeepOnly(const std::vector<std::string>& aNodes);

  /// Returns the node that sums up an account's demand, by rendezvous hashing:
  /// nodes with equal directories agree, accounts are spread evenly, and the
  /// loss of a node moves only the accounts that it owned.
  std::string OwnerOf(std::string_view aAccount) const;

  /// Returns the owner and the nodes that would own the key after its loss, in
  /// this order; fewer than `aCount` if there are not as many nodes.
  std::vector<std::string> OwnersOf(std::string_view aKey,
                                    std::size_t aCount) const;

  /// Null if the node is not registered.
  const NodeRecord* Find(std::string_view aNode) const;

  /// Returns all nodes but this one, ordered by name.
  std::vector<NodeRecord> Others() const;

  /// Number of nodes, including this one even if it is not registered.
  int Count() const;

private:
  std::string ownNode;
  std::map<std::string, NodeRecord, std::less<>> records;
};

} // namespace apricottrack

#endif
