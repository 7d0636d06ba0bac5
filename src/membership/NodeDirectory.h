#ifndef APRICOTTRACK_MEMBERSHIP_NODEDIRECTORY_H
#define APRICOTTRACK_MEMBERSHIP_NODEDIRECTORY_H

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace apricottrack {

/// A node as it registered itself at the platform's service.
struct NodeRecord
{
  std::string node;
  std::string incarnation;
  std::string availabilityZone;
  /// IP:port of its admin endpoint and of its link to other nodes.
  std::string admin;
  std::string peer;

  friend bool operator==(const NodeRecord&, const NodeRecord&) = default;
};

std::string
EncodeNodeRecord(const NodeRecord& aRecord);

/// Nothing where the text is no node record.
std::optional<NodeRecord>
ParseNodeRecord(std::string_view aText);

/// Which nodes there are, as last heard from the platform. A hint: nothing
/// that must hold depends on it being right.
class NodeDirectory
{
public:
  explicit NodeDirectory(std::string aOwnNode);

  void Set(const NodeRecord& aRecord);
  void Remove(std::string_view aNode);
  /// Removes all nodes that are not among the given.
  void KeepOnly(const std::vector<std::string>& aNodes);

  /// The node that sums up an account's demand: the same at all nodes with
  /// the same view, and spread evenly over nodes.
  std::string OwnerOf(std::string_view aAccount) const;

  const NodeRecord* Find(std::string_view aNode) const;

  /// Nodes other than this one, in the order of their names.
  std::vector<NodeRecord> Others() const;

  /// All nodes, this one always included.
  int Count() const;

private:
  std::string ownNode;
  std::map<std::string, NodeRecord, std::less<>> records;
};

} // namespace apricottrack

#endif
