#include "fleet/ForwardingNodes.h"

#include <algorithm>
#include <iterator>

namespace apricottrack {

void
ForwardingNodes::OnReport(const std::string& aNode,
                          std::string aAddress,
                          Instant aNow)
{
  Entry& entry = this->nodes[aNode];
  if (entry.address != aAddress) {
    this->refreshedAt = Instant{};
  }
  entry = { .address = std::move(aAddress), .reportedAt = aNow };
}

void
ForwardingNodes::Refresh(Instant aNow)
{
  std::erase_if(this->nodes, [&](const auto& aEntry) {
    return aNow - aEntry.second.reportedAt > this->options.lifetime;
  });
  this->accepting.clear();
  for (const auto& [node, entry] : this->nodes) {
    if (!entry.address.empty()) {
      this->accepting.push_back(node);
    }
  }
  this->refreshedAt = aNow;
}

std::vector<std::string>
ForwardingNodes::Sample(const std::string& aAsker,
                        std::size_t aCount,
                        Instant aNow,
                        std::mt19937_64& aRandom)
{
  if (aNow - this->refreshedAt >= this->options.refreshInterval) {
    this->Refresh(aNow);
  }
  // One more, in case the asker is among them.
  const std::size_t drawn = std::min(aCount + 1, this->accepting.size());
  std::vector<std::string> addresses;
  for (std::size_t i = 0; i < drawn && addresses.size() < aCount; ++i) {
    std::uniform_int_distribution<std::size_t> index(
      i, this->accepting.size() - 1);
    std::swap(this->accepting[i], this->accepting[index(aRandom)]);
    const auto found = this->nodes.find(this->accepting[i]);
    if (found != this->nodes.end() && found->first != aAsker) {
      addresses.push_back(found->second.address);
    }
  }
  return addresses;
}

} // namespace apricottrack
