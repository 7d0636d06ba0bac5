#ifndef APRICOTTRACK_NODE_TARGETATTEMPT_H
#define APRICOTTRACK_NODE_TARGETATTEMPT_H

#include "http/HttpClient.h"
#include "limits/TargetLimits.h"
#include "limits/TargetPauses.h"
#include "retry/RetryPolicy.h"

#include <functional>
#include <string>

namespace apricottrack {

class ResponseRelay;

/// One request to one target, and the limits on its response.
struct AttemptOptions
{
  std::string targetId;
  std::string address;
  HttpRequest message;
  /// Sent as X-Request-Id; the response must echo it if `expectsEcho`.
  std::string attemptId;
  bool expectsEcho = false;
  /// Use an idle connection if there is one, instead of a new one.
  bool mayReuseConnection = true;
  /// Return the connection to the pool afterwards.
  bool mayKeepConnection = true;
  Duration firstByteTimeout = seconds(5);
  /// Maximum time to send the request, and between parts of the body.
  Duration stallTimeout = seconds(2);
  /// All timeouts are shortened to end by it.
  Instant deadline;
  /// Called whenever a part of the response's body has arrived.
  std::function<void(Instant)> onProgress = [](Instant) {};
  /// Asked before sending: the target's zone was evacuated after the target
  /// was chosen.
  std::function<bool()> isEvacuated = [] { return false; };
  /// Maximum response body in bytes.
  std::uint64_t bodyLimit = std::uint64_t{ 16 } * 1024 * 1024;
};

/// Sends one request to one target and relays the response as it arrives.
class TargetAttempt
{
public:
  TargetAttempt(HttpConnectionPool& aPool,
                ResponseRelay& aRelay,
                TargetLimits& aLimits,
                TargetPauses& aPauses,
                AttemptOptions aOptions);

  Task<AttemptEnd> Run();

  /// Time from the start of sending to the response head; zero if none was
  /// received.
  Duration FirstByteDelay() const { return this->firstByteDelay; }

  /// True if the connection broke after sending began, before the response was
  /// complete.
  bool IsConnectionLost() const { return this->connectionLost; }

  /// When sending last began.
  Instant SentAt() const { return this->sentAt; }

  /// True if the target has asked for a pause and was not paused before.
  bool HasBegunPause() const { return this->hasBegunPause; }

  /// Why the attempt failed; unset if it was answered or the caller
  /// disconnected.
  const Error& Failure() const { return this->failure; }

private:
  /// Connects if there is no connection yet, sends the request and returns the
  /// response head.
  Task<Result<HttpResponse>> SendAndReceiveHead();
  Task<AttemptEnd> RelayResponse(const HttpResponse& aHead);
  /// True if the target has asked for a pause that has not ended.
  bool IsTargetPaused() const;
  /// Records the pause that a 503 asks for.
  void RecordPause(const HttpResponse& aHead);
  /// Records the error and classifies it by whether the request was sent.
  AttemptEnd ClassifyFailure(const Error& aError);
  /// Returns the timeout, shortened to end by the deadline.
  Duration BoundByDeadline(Duration aTimeout) const;
  /// True if the target echoes request ids and the response has another one
  /// or none.
  bool BelongsToOtherRequest(const HttpResponse& aHead) const;

  HttpConnectionPool& pool;
  ResponseRelay& relay;
  TargetLimits& limits;
  TargetPauses& pauses;
  AttemptOptions options;
  std::unique_ptr<HttpConnection> connection;
  /// True once any byte of the request may have been sent.
  bool mayHaveSent = false;
  bool connectionLost = false;
  Instant sentAt;
  Duration firstByteDelay = Duration::zero();
  bool hasBegunPause = false;
  Error failure;
};

} // namespace apricottrack

#endif
