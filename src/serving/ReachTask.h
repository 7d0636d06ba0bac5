#ifndef APRICOTTRACK_SERVING_REACHTASK_H
#define APRICOTTRACK_SERVING_REACHTASK_H

#include "serving/ServingContext.h"

#include <functional>
#include <string>

namespace apricottrack {

/// Opens the connections that TargetReach asks for, and closes them at once.
class ReachTask
{
public:
  struct Options
  {
    /// A target that accepts connections does so within a few milliseconds.
    Duration connectTimeout = milliseconds(200);
    /// Between two checks of targets that are only suspected. One that fails
    /// is enough to show that something is wrong.
    Duration suspicionInterval = milliseconds(100);
  };

  /// `aOnJudged` is called when a failure has been attributed, to a target or
  /// to this node, and when this node reaches targets again.
  ReachTask(ServingContext& aContext,
            Options aOptions,
            std::function<void()> aOnJudged);

  /// Starts the checks that are due; called periodically.
  void CheckNow();

  /// Checks a target whose responses have stopped; a connection may be silent
  /// because its network path is gone.
  void CheckSuspected(const std::string& aTarget, Instant aNow);

private:
  Task<void> Check(std::string aTarget, std::string aAddress);
  void StartCheck(const std::string& aTarget);

  ServingContext& context;
  Options options;
  std::function<void()> onJudged;
  Instant suspicionCheckedAt;
  /// As of the last CheckNow.
  bool wasIsolated = false;
  bool wasInDoubt = false;
};

} // namespace apricottrack

#endif
