#ifndef APRICOTTRACK_NODE_ANSWERRELAY_H
#define APRICOTTRACK_NODE_ANSWERRELAY_H

#include "http/HttpServer.h"
#include "http/HttpTypes.h"

#include <string>

namespace apricottrack {

/// Passes a target's answer on to the caller. An answer with a known end is
/// held back until it is whole; server-sent events are passed on one whole
/// event at a time and counted, so that another target can continue them.
class AnswerRelay
{
public:
  AnswerRelay(HttpExchange& aExchange, std::string aRequestId);

  /// Starts an answer, or continues the stream after an interruption.
  Task<bool> OnHead(const HttpResponse& aHead);
  /// False once the caller is gone.
  Task<bool> OnPiece(std::string aPiece);

  /// True if the target's answer ended as such an answer must.
  bool IsWhole() const;

  /// Forgets the parts of an answer that was not whole.
  void Discard();

  /// Takes an answer that the journal kept.
  void Replay(unsigned aStatus, std::string aContentType, std::string aBody);

  /// Hands the whole answer to the caller, or completes the stream.
  Task<bool> Finish();

  /// Ends a stream that cannot be continued: an error event, then the
  /// connection closes without the end mark.
  Task<void> Break(std::string aErrorBody);

  const std::string& RequestId() const { return this->requestId; }
  bool StreamStarted() const { return this->streamStarted; }
  std::size_t EventsPassed() const { return this->events; }
  const HttpResponse& Answer() const { return this->answer; }

private:
  HttpExchange& exchange;
  std::string requestId;
  /// Head, and body unless streaming.
  HttpResponse answer;
  bool streaming = false;
  bool streamStarted = false;
  bool sawDone = false;
  std::string partialEvent;
  std::size_t events = 0;
};

} // namespace apricottrack

#endif
