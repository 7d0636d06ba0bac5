#ifndef APRICOTTRACK_NODE_TARGETATTEMPT_H
#define APRICOTTRACK_NODE_TARGETATTEMPT_H

#include "http/HttpClient.h"
#include "retry/RetryPolicy.h"

#include <functional>
#include <string>

namespace apricottrack {

class AnswerRelay;

/// One request to one target and the bounds on its answer.
struct AttemptOptions
{
  std::string address;
  HttpRequest message;
  /// Sent as X-Request-Id; the answer must repeat it if `expectsEcho`.
  std::string attemptId;
  bool expectsEcho = false;
  /// A kept connection will do; otherwise one is made for this request.
  bool mayReuse = true;
  /// The connection may carry further requests afterwards.
  bool mayKeep = true;
  Duration firstByteTimeout = seconds(5);
  Duration stallTimeout = seconds(2);
  Instant deadline;
  std::uint64_t bodyLimit = std::uint64_t{ 16 } * 1024 * 1024;
};

/// Sends one request to one target and relays the answer as it comes.
class TargetAttempt
{
public:
  TargetAttempt(HttpConnectionPool& aPool,
                AnswerRelay& aRelay,
                AttemptOptions aOptions);

  Task<AttemptEnd> Run();

  /// Time from sending to the answer's head; zero without one.
  Duration FirstByte() const { return this->firstByte; }

  /// Why the attempt failed.
  const Error& Failure() const { return this->failure; }

private:
  Task<Result<HttpResponse>> SendAndReceiveHead();
  Task<AttemptEnd> Relay(const HttpResponse& aHead);
  AttemptEnd JudgeFailure(const Error& aError);
  Duration Bounded(Duration aTimeout) const;
  bool IsForeign(const HttpResponse& aHead) const;

  HttpConnectionPool& pool;
  AnswerRelay& relay;
  AttemptOptions options;
  std::unique_ptr<HttpConnection> connection;
  bool sent = false;
  Duration firstByte = Duration::zero();
  Error failure;
};

} // namespace apricottrack

#endif
