#include "replicas/OpenOrders.h"

namespace apricottrack {

void
OpenOrders::OnSent(const std::string& aList)
{
  Orders& list = this->orders[aList];
  ++list.sent;
  ++list.unanswered;
}

void
OpenOrders::OnReply(const std::string& aList)
{
  const auto found = this->orders.find(aList);
  if (found != this->orders.end() && found->second.unanswered > 0) {
    --found->second.unanswered;
  }
}

void
OpenOrders::OnAdopted(const std::string& aList)
{
  this->orders[aList].adopted = true;
}

void
OpenOrders::OnFenced(const std::string& aList)
{
  const auto found = this->orders.find(aList);
  if (found == this->orders.end()) {
    return;
  }
  found->second.adopted = false;
  if (found->second.sent == 0) {
    this->orders.erase(found);
  }
}

void
OpenOrders::OnObservedOpen(const std::string& aList)
{
  const auto found = this->orders.find(aList);
  if (found != this->orders.end()) {
    found->second.observedOpen = true;
  }
}

bool
OpenOrders::MayTakeEffect(std::string_view aList) const
{
  const auto found = this->orders.find(aList);
  if (found == this->orders.end()) {
    return false;
  }
  const Orders& list = found->second;
  // A head that serves has carried out one of the orders, but which one is
  // known only if there was no other.
  const bool isCarriedOut =
    list.observedOpen && (list.sent == 1 || list.unanswered == 0);
  return list.adopted || !isCarriedOut;
}

void
OpenOrders::Prune(const std::set<std::string>& aLists, Instant aNow)
{
  for (auto& [list, orders] : this->orders) {
    if (!orders.lastKeptAt || aLists.contains(list)) {
      orders.lastKeptAt = aNow;
    }
  }
  std::erase_if(this->orders, [&](const auto& aEntry) {
    return aNow - *aEntry.second.lastKeptAt > this->options.lateOrderTime;
  });
}

} // namespace apricottrack
