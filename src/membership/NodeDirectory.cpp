#include "membership/NodeDirectory.h"

#include "base/Hash.h"
#include "base/JsonFields.h"

#include <algorithm>
#include <boost/json.hpp>
#include <functional>
#include <utility>

namespace apricottrack {

namespace json = boost::json;

std::string
EncodeNodeRecord(const NodeRecord& aRecord)
{
  return json::serialize(
    json::object{ { "node", aRecord.node },
                  { "incarnation", aRecord.incarnation },
                  { "availability_zone", aRecord.availabilityZone },
                  { "admin", aRecord.admin },
                  { "peer", aRecord.peerAddress },
                  { "callers", aRecord.callerAddress } });
}

std::optional<NodeRecord>
ParseNodeRecord(std::string_view aText)
{
  const auto object = ParseJsonObject(aText, "node.read", "");
  if (!object || JsonText(*object, "node").empty()) {
    return std::nullopt;
  }
  return NodeRecord{ .node = JsonText(*object, "node"),
                     .incarnation = JsonText(*object, "incarnation"),
                     .availabilityZone = JsonText(*object, "availability_zone"),
                     .admin = JsonText(*object, "admin"),
                     .peerAddress = JsonText(*object, "peer"),
                     .callerAddress = JsonText(*object, "callers") };
}

NodeDirectory::NodeDirectory(std::string aOwnNode)
  : ownNode(std::move(aOwnNode))
{
}

void
NodeDirectory::Set(const NodeRecord& aRecord)
{
  this->records[aRecord.node] = aRecord;
}

void
NodeDirectory::Remove(std::string_view aNode)
{
  const auto found = this->records.find(aNode);
  if (found != this->records.end()) {
    this->records.erase(found);
  }
}

void
NodeDirectory::KeepOnly(const std::vector<std::string>& aNodes)
{
  std::erase_if(this->records, [&aNodes](const auto& aItem) {
    return std::find(aNodes.begin(), aNodes.end(), aItem.first) == aNodes.end();
  });
}

std::string
NodeDirectory::OwnerOf(std::string_view aAccount) const
{
  return this->OwnersOf(aAccount, 1).front();
}

std::vector<std::string>
NodeDirectory::OwnersOf(std::string_view aKey, std::size_t aCount) const
{
  const std::uint64_t seed = StableHash(aKey);
  std::vector<std::pair<std::uint64_t, std::string_view>> nodes;
  nodes.emplace_back(StableHash(this->ownNode, seed), this->ownNode);
  for (const auto& [node, record] : this->records) {
    if (node != this->ownNode) {
      nodes.emplace_back(StableHash(node, seed), node);
    }
  }
  const std::size_t count = std::min(aCount, nodes.size());
  std::partial_sort(nodes.begin(),
                    nodes.begin() + static_cast<std::ptrdiff_t>(count),
                    nodes.end(),
                    std::greater<>());
  std::vector<std::string> owners;
  for (std::size_t i = 0; i < count; ++i) {
    owners.emplace_back(nodes[i].second);
  }
  return owners;
}

const NodeRecord*
NodeDirectory::Find(std::string_view aNode) const
{
  const auto found = this->records.find(aNode);
  return found == this->records.end() ? nullptr : &found->second;
}

std::vector<NodeRecord>
NodeDirectory::Others() const
{
  std::vector<NodeRecord> others;
  for (const auto& [node, record] : this->records) {
    if (node != this->ownNode) {
      others.push_back(record);
    }
  }
  return others;
}

int
NodeDirectory::Count() const
{
  const bool isOwnNodeListed = this->records.contains(this->ownNode);
  return static_cast<int>(this->records.size()) + (isOwnNodeListed ? 0 : 1);
}

} // namespace apricottrack
