#ifndef APRICOTTRACK_REPLICAS_OPENORDERS_H
#define APRICOTTRACK_REPLICAS_OPENORDERS_H

#include "apricottrack/Time.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>

namespace apricottrack {

/// The orders to serve that were sent to the heads of lists of members, which
/// are identified as NAME/EPOCH. An order without a reply may be carried out
/// seconds later, after newer orders. As an order to serve applies to its list
/// of members only, it is void once the head has left that list.
class OpenOrders
{
public:
  struct Options
  {
    /// An order without a reply may be carried out for this long. A target that
    /// has left its list of members may return to it by a late order to join,
    /// and then serve by a late order of this kind.
    Duration lateOrderTime = seconds(30);
  };

  explicit OpenOrders(Options aOptions)
    : options(aOptions)
  {
  }

  /// Records one transmission of an order to serve.
  void OnSent(const std::string& aList);

  /// Records that one transmission was replied to or did not reach the target.
  void OnReply(const std::string& aList);

  /// Records a list of members of another planner, of whose orders nothing is
  /// known.
  void OnAdopted(const std::string& aList);

  /// Records that the head has accepted or rejected an order of this planner,
  /// and therefore refuses those of earlier ones.
  void OnFenced(const std::string& aList);

  /// Records that the head has been observed serving.
  void OnObservedOpen(const std::string& aList);

  /// Returns true if the head may start to serve although it is not ordered to
  /// from now on.
  bool MayTakeEffect(std::string_view aList) const;

  /// Forgets the lists that were not among `aLists` for longer than
  /// `Options::lateOrderTime`.
  void Prune(const std::set<std::string>& aLists, Instant aNow);

private:
  struct Orders
  {
    int sent = 0;
    int unanswered = 0;
    bool observedOpen = false;
    /// Orders of another planner may be outstanding.
    bool adopted = false;
    /// When the list was last among those given to Prune; none before.
    std::optional<Instant> lastKeptAt;
  };

  Options options;
  std::map<std::string, Orders, std::less<>> orders;
};

} // namespace apricottrack

#endif
