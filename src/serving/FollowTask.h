#ifndef APRICOTTRACK_SERVING_FOLLOWTASK_H
#define APRICOTTRACK_SERVING_FOLLOWTASK_H

#include "membership/PeerLink.h"
#include "serving/CatalogTask.h"
#include "serving/FleetTask.h"
#include "serving/ServingContext.h"

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace apricottrack {

/// Learns of changes from the node that plans. While that node is not to be
/// had, or is out of touch with the store itself, this node asks the store.
class FollowTask
{
public:
  struct Options
  {
    /// Longest wait for a change; targets' loads are passed on as often.
    Duration wait = milliseconds(250);
    /// Added for the answer to come; a longer silence is a failure.
    Duration slack = milliseconds(250);
    /// After a failure.
    Duration pause = milliseconds(100);
    /// After the store did not give a catalog that is known to be there; each
    /// call is paid for.
    Duration readAgain = milliseconds(800);
    /// Without a planner's node for longer, this node asks the store; well
    /// within the bound for leaving targets, and long enough for a successor.
    Duration grace = milliseconds(600);
    /// The planner's node must have heard from the store within this time.
    Duration mostAge = milliseconds(1300);
  };

  FollowTask(ServingContext& aContext,
             CatalogTask& aCatalog,
             FleetTask& aFleet,
             Options aOptions,
             std::function<void()> aOnChange);

  void Start();

  /// Where the node that plans listens.
  void SetLeader(const std::string& aAddress);

  /// This node plans itself, and asks the store.
  void SetLeading(bool aLeads);

  /// The planner's node answers and is in touch with the store.
  bool Follows() const { return this->follows; }

  /// When a planner's node that is in touch with the store first answered.
  const std::optional<Instant>& FirstFollowedAt() const
  {
    return this->firstFollowedAt;
  }

  /// Tells the planner's node of targets that stand still.
  void ReportStalls(std::vector<std::string> aTargets);

private:
  Task<void> Run();
  Task<bool> AskOnce();
  /// Reads the catalog from the store; false if that failed or is too soon.
  Task<bool> ReadCatalog();
  void Take(const FleetAnswer& aAnswer, Instant aNow);
  Task<void> SendNotices();
  void SetFollows(bool aFollows);

  ServingContext& context;
  CatalogTask& catalog;
  FleetTask& fleet;
  Options options;
  std::function<void()> onChange;
  std::string leader;
  std::unique_ptr<PeerLink> link;
  std::unique_ptr<PeerLink> noticeLink;
  std::set<std::string> unsentNotices;
  bool noticeUnderWay = false;
  bool follows = false;
  bool asksStore = false;
  bool leads = false;
  std::optional<Instant> firstFollowedAt;
  /// When the planner's node was last heard.
  Instant heardAt;
  /// When the last question was sent.
  Instant askedAt;
  std::string source;
  std::uint64_t sequence = 0;
  /// The store did not give this node a catalog that is known to be there.
  bool wantsCatalog = false;
  /// When the store may be asked for it again.
  Instant nextReadAt;
};

} // namespace apricottrack

#endif
