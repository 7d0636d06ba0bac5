#ifndef APRICOTTRACK_NODE_RESPONSERELAY_H
#define APRICOTTRACK_NODE_RESPONSERELAY_H

#include "http/HttpServer.h"
#include "http/HttpTypes.h"

#include <string>

namespace apricottrack {

/// Relays a target's response to the caller. An ordinary response is buffered
/// until it is complete. Server-sent events are relayed only as complete events
/// and counted, so that another target can resume the stream.
class ResponseRelay
{
public:
  ResponseRelay(HttpExchange& aExchange, std::string aRequestId);

  /// Takes the head of a target's response. The first event stream starts the
  /// response to the caller, and a later one continues it. Returns false once
  /// the caller has disconnected.
  Task<bool> OnHead(const HttpResponse& aHead);
  /// Buffers a part of the body, or relays the events that it completes.
  /// Returns false once the caller has disconnected.
  Task<bool> OnBodyChunk(std::string aChunk);

  /// True unless a stream ended without its `data: [DONE]` event.
  bool IsComplete() const;

  /// Returns true if the current event exceeds the size limit; the target then
  /// sends no event stream.
  bool IsEventTooLarge() const;

  /// Discards the body and the partial event of an incomplete response.
  void DiscardIncomplete();

  /// Sets the response that the journal recorded for an earlier attempt.
  void SetReplayedResponse(unsigned aStatus,
                           std::string aContentType,
                           std::string aBody);

  /// Sends the buffered response to the caller, or completes the stream.
  /// Returns false once the caller has disconnected.
  Task<bool> Finish();

  /// Ends a stream that cannot be resumed: sends an error event and closes
  /// the connection without a `[DONE]` event.
  Task<void> AbortStream(std::string aErrorBody);

  const std::string& RequestId() const { return this->requestId; }
  bool StreamStarted() const { return this->streamStarted; }
  std::size_t RelayedEventCount() const { return this->relayedEventCount; }
  const HttpResponse& Response() const { return this->response; }

private:
  HttpExchange& exchange;
  std::string requestId;
  /// The response head; while not streaming, also the body.
  HttpResponse response;
  /// True if the last response head announced server-sent events.
  bool isEventStream = false;
  /// True once the head of a stream was sent to the caller. The stream of a
  /// further target then continues it.
  bool streamStarted = false;
  /// True once the last response contained the `[DONE]` event, which Finish
  /// sends to the caller.
  bool doneReceived = false;
  /// Received bytes after the last complete event.
  std::string partialEvent;
  std::size_t relayedEventCount = 0;
};

} // namespace apricottrack

#endif
