#ifndef APRICOTTRACK_SERVING_HEDGECALL_H
#define APRICOTTRACK_SERVING_HEDGECALL_H

#include "placement/Candidate.h"
#include "serving/ServingContext.h"
#include "serving/TargetCall.h"

#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <optional>

namespace apricottrack {

/// A second call of a request whose current target is silent or in a broken
/// replica. The current call stays open until this one receives a usable
/// response, because that target may still complete the request and this call
/// may fail. Owned by its RequestFlow and, until the response's head has
/// arrived, by its own task.
class HedgeCall : public std::enable_shared_from_this<HedgeCall>
{
public:
  struct Options
  {
    Candidate target;
    /// Estimated number of requests at the target when it was chosen.
    double estimatedLoad = 0;
    TargetCall::Options call;
  };

  HedgeCall(ServingContext& aContext, Options aOptions);

  /// Sends the request. Calls `aOnHead` once the head of the response has
  /// arrived or the call has failed, unless Cancel was called before.
  void Start(std::function<void()> aOnHead);

  /// Closes the connection, which also cancels the work at the target.
  void Cancel();

  /// Returns once the head of the response has arrived or the call has failed.
  Task<void> WaitForHead();

  /// Before Start and until the head of the response has arrived or the call
  /// has failed.
  bool IsPending() const { return !this->head.has_value(); }

  /// Returns whether the response can complete the request. `aIsStream` states
  /// that the caller expects an event stream.
  bool IsUsable(bool aIsStream) const;

  const Candidate& Target() const { return this->options.target; }
  double EstimatedLoad() const { return this->options.estimatedLoad; }
  /// The head of the response; only if not pending.
  const Result<HttpResponse>& Head() const { return *this->head; }
  TargetCall& Call() { return this->call; }

private:
  Task<void> Run();

  ServingContext& context;
  Options options;
  TargetCall call;
  std::optional<Result<HttpResponse>> head;
  std::function<void()> onHead;
  /// Expires never; cancelled when the head arrives.
  boost::asio::steady_timer headTimer;
};

} // namespace apricottrack

#endif
