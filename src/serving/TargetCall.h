#ifndef APRICOTTRACK_SERVING_TARGETCALL_H
#define APRICOTTRACK_SERVING_TARGETCALL_H

#include "http/ByteBudget.h"
#include "http/HttpClient.h"
#include "serving/PlatformProtocol.h"

#include <memory>
#include <string>

namespace apricottrack {

/// One request to one target, on one connection.
class TargetCall
{
public:
  struct Options
  {
    std::string address;
    HttpRequest message;
    /// The response to this request names this id.
    std::string attemptId;
    /// False for another node, whose own responses name no attempt. It sends
    /// one response per request.
    bool expectsAttemptId = true;
    /// Allows an idle connection of the pool; otherwise a new one is opened.
    bool mayReuse = true;
    /// Deadline of the request.
    Instant deadline;
    /// Start of the target's process.
    UnixMillis targetStartedAt = 0;
  };

  TargetCall(HttpConnectionPool& aPool,
             const PlatformProtocol& aProtocol,
             Options aOptions);

  /// Sends the request and receives the head of its response. Discards
  /// responses to earlier requests on the connection.
  Task<Result<HttpResponse>> Start();

  /// Returns the next bytes of the body; empty at its end.
  Task<Result<std::string>> ReadChunk();

  /// Receives the rest of the body; fails if it exceeds `aLimit` bytes or the
  /// memory that the reservation grants.
  Task<Result<std::string>> ReadBody(std::size_t aLimit,
                                     ByteBudget::Reservation& aMemory);

  /// Returns the connection to the pool, if the response was complete.
  void Finish();

  /// Closes the connection, which also cancels the work at the target.
  void Cancel();

  /// True if bytes of the request may have reached the target.
  bool WasSent() const { return this->sent; }
  /// True if no connection could be opened.
  bool HasConnectFailed() const { return this->connectFailed; }
  /// When sending began; only if WasSent.
  Instant SentAt() const { return this->sentAt; }
  UnixMillis TargetStartedAt() const { return this->options.targetStartedAt; }
  /// True if the connection came from the pool.
  bool HasReusedConnection() const { return this->reusedConnection; }

private:
  Task<Result<void>> Connect();
  /// Receives the head of the final response to this request; skips 1xx
  /// responses and discards responses to earlier requests.
  Task<Result<HttpResponse>> ReceiveOwnHead();
  /// True if the response belongs to this request.
  bool IsOwnResponse(const HttpResponse& aHead) const;
  /// Reads the body of a response to another request to its end.
  Task<Result<void>> DiscardBody();
  /// Returns an error once the deadline has passed.
  std::optional<Error> DeadlineError(std::string_view aStep) const;
  /// Time until the deadline, but at least the smallest timeout.
  Duration TimeLeft() const;

  HttpConnectionPool& pool;
  const PlatformProtocol& protocol;
  Options options;
  std::unique_ptr<HttpConnection> connection;
  bool sent = false;
  Instant sentAt;
  bool reusedConnection = false;
  bool connectFailed = false;
  bool cancelled = false;
};

} // namespace apricottrack

#endif
