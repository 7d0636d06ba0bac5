#ifndef APRICOTTRACK_SERVING_REQUESTFLOW_H
#define APRICOTTRACK_SERVING_REQUESTFLOW_H

#include "http/HttpServer.h"
#include "serving/EventSplitter.h"
#include "serving/Intake.h"
#include "serving/Refusals.h"
#include "serving/RepeatRules.h"
#include "serving/ServingContext.h"
#include "serving/TargetCall.h"

#include <memory>
#include <set>
#include <string>

namespace apricottrack {

/// One caller's request from intake to its end.
class RequestFlow
{
public:
  RequestFlow(ServingContext& aContext, HttpExchange& aExchange);
  ~RequestFlow();
  RequestFlow(const RequestFlow&) = delete;
  RequestFlow& operator=(const RequestFlow&) = delete;

  Task<void> Serve();

  /// The target that runs the request stands still: go elsewhere.
  void LeaveTarget();

private:
  Task<void> Run();
  /// What demand is counted by: the model or, without one, the service.
  const std::string& DemandKey() const;
  PlacementChoice ChooseTarget(Instant aNow) const;
  Task<CallEnd> CallTarget(const Candidate& aTarget);
  Task<CallEnd> TakeAnswer(TargetCall& aCall, const HttpResponse& aHead);
  Task<CallEnd> RelayEvents(TargetCall& aCall, const HttpResponse& aHead);
  Task<CallEnd> HoldBody(TargetCall& aCall,
                         const HttpResponse& aHead,
                         const TargetHead& aMeaning);
  CallEnd JudgeFailure(const TargetCall& aCall, const Error& aError) const;
  NextStep Decide(CallEnd aEnd);
  Task<void> Finish(NextStep aStep);
  Task<void> Refuse(unsigned aStatus, std::string_view aReason);
  Task<void> RefuseAtIntake(IntakeRefusal aRefusal);
  void LogCall(const Candidate& aTarget, CallEnd aEnd) const;
  void LogEnd(std::string_view aOutcome, unsigned aStatus);
  RetryBudget& Budget();
  bool IsStream() const;

  ServingContext& context;
  HttpExchange& exchange;
  Instant arrived;
  CallerHead caller;
  AcceptedRequest accepted;
  EventSplitter events;
  CallHistory history;
  std::set<std::string> tried;
  /// The call that is under way, or null.
  TargetCall* call = nullptr;
  /// A whole plain answer, held until it is decided that it stands.
  std::unique_ptr<HttpResponse> answer;
  Error lastError;
  std::string lastTarget;
  /// Requests that it was thought to hold when it was chosen.
  double lastLoad = 0;
  Duration firstByte = Duration::zero();
  bool callerGone = false;
  bool leftTarget = false;
  /// Some of the present target's answer has come.
  bool answerBegun = false;
  bool streamBegun = false;
};

} // namespace apricottrack

#endif
