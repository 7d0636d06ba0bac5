#ifndef APRICOTTRACK_SERVING_TARGETCALL_H
#define APRICOTTRACK_SERVING_TARGETCALL_H

#include "http/HttpClient.h"
#include "serving/PlatformProtocol.h"

#include <memory>
#include <string>

namespace apricottrack {

/// One request on one connection to one target.
class TargetCall
{
public:
  struct Options
  {
    std::string address;
    HttpRequest message;
    /// The answer to this request names it.
    std::string attemptId;
    /// A kept connection will do; otherwise one is made for this request.
    bool mayReuse = true;
    /// End of the request's time.
    Instant deadline;
  };

  TargetCall(HttpConnectionPool& aPool,
             const PlatformProtocol& aProtocol,
             Options aOptions);

  /// Sends the request and receives the head of its own answer; answers to
  /// earlier requests on the connection are dropped.
  Task<Result<HttpResponse>> Start();

  /// The next bytes of the body; empty at its end.
  Task<Result<std::string>> NextPiece();

  /// Receives the rest of the body as a whole.
  Task<Result<std::string>> WholeBody(std::size_t aLimit);

  /// Keeps the connection for further requests, if its answer was whole.
  void Finish();

  /// Cuts the connection, which also stops the target's work.
  void Cancel();

  /// Bytes of the request may have reached the target.
  bool Sent() const { return this->sent; }
  bool Reused() const { return this->reused; }

private:
  Task<Result<void>> Connect();
  Task<Result<HttpResponse>> ReceiveOwnHead();
  Duration Left() const;

  HttpConnectionPool& pool;
  const PlatformProtocol& protocol;
  Options options;
  std::unique_ptr<HttpConnection> connection;
  bool sent = false;
  bool reused = false;
  bool cancelled = false;
};

} // namespace apricottrack

#endif
