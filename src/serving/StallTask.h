#ifndef APRICOTTRACK_SERVING_STALLTASK_H
#define APRICOTTRACK_SERVING_STALLTASK_H

#include "serving/FollowTask.h"
#include "serving/PlannerTask.h"
#include "serving/ReachTask.h"
#include "serving/ServingContext.h"

namespace apricottrack {

/// Periodically looks for targets whose responses have stopped, has them
/// probed, and hedges their requests.
class StallTask
{
public:
  StallTask(ServingContext& aContext,
            PlannerTask& aPlanner,
            FollowTask& aFollower,
            ReachTask& aReach);

  void Start();

private:
  Task<void> Run();
  void CheckOnce(Instant aNow);
  /// Has the targets probed by the planner's node. Connects to one of them if
  /// all of this node's responses have stopped.
  void ReportSuspected(const std::vector<std::string>& aSuspected,
                       Instant aNow);
  /// Hedges this node's running requests of a target.
  void HedgeCallsTo(const std::string& aTarget);

  ServingContext& context;
  PlannerTask& planner;
  FollowTask& follower;
  ReachTask& reach;
};

} // namespace apricottrack

#endif
