#include "node/ResponseRelay.h"

#include "http/HopByHop.h"

namespace apricottrack {

namespace http = boost::beast::http;

namespace {

constexpr std::string_view kEventStream = "text/event-stream";
constexpr std::string_view kDoneEvent = "data: [DONE]\n\n";
constexpr std::size_t kMaxEventBytes = std::size_t{ 256 } * 1024;

} // namespace

ResponseRelay::ResponseRelay(HttpExchange& aExchange, std::string aRequestId)
  : exchange(aExchange)
  , requestId(std::move(aRequestId))
{
}

Task<bool>
ResponseRelay::OnHead(const HttpResponse& aHead)
{
  HttpResponse head;
  head.result(aHead.result_int());
  for (const auto& field : aHead) {
    if (!IsHopByHop(field.name_string())) {
      head.insert(field.name_string(), field.value());
    }
  }
  CopyLengthOfHead(this->exchange.Request(), aHead, head);
  head.set("X-Request-Id", this->requestId);
  head.set("X-Request-Outcome", "answered");
  this->response = std::move(head);
  this->isEventStream =
    this->exchange.Request().method() != http::verb::head &&
    this->response[http::field::content_type].starts_with(kEventStream);
  this->partialEvent.clear();
  this->doneReceived = false;
  if (!this->isEventStream || this->streamStarted) {
    co_return true;
  }
  HttpHeaders headers;
  for (const auto& field : this->response) {
    if (field.name_string() != "X-Request-Outcome") {
      headers.emplace_back(field.name_string(), field.value());
    }
  }
  this->streamStarted = true;
  co_return co_await this->exchange.BeginStream(this->response.result_int(),
                                                std::move(headers));
}

Task<bool>
ResponseRelay::OnBodyChunk(std::string aChunk)
{
  if (!this->isEventStream) {
    this->response.body().append(aChunk);
    co_return true;
  }
  this->partialEvent.append(aChunk);
  std::string completeEvents;
  std::size_t end = 0;
  while ((end = this->partialEvent.find("\n\n")) != std::string::npos) {
    const std::string event = this->partialEvent.substr(0, end + 2);
    this->partialEvent.erase(0, end + 2);
    if (event == kDoneEvent) {
      this->doneReceived = true;
    } else {
      completeEvents.append(event);
      ++this->relayedEventCount;
    }
  }
  co_return co_await this->exchange.WriteChunk(std::move(completeEvents));
}

bool
ResponseRelay::IsComplete() const
{
  // A started stream is not completed by a response of another kind.
  return this->isEventStream ? this->doneReceived : !this->streamStarted;
}

bool
ResponseRelay::IsEventTooLarge() const
{
  return this->partialEvent.size() > kMaxEventBytes;
}

void
ResponseRelay::DiscardIncomplete()
{
  this->response.body().clear();
  this->partialEvent.clear();
}

void
ResponseRelay::SetReplayedResponse(unsigned aStatus,
                                   std::string aContentType,
                                   std::string aBody)
{
  this->response = HttpResponse();
  this->response.result(aStatus);
  this->response.set(http::field::content_type, aContentType);
  this->response.set("X-Request-Id", this->requestId);
  this->response.set("X-Request-Outcome", "answered");
  this->response.set("Idempotency-Replayed", "true");
  this->response.body() = std::move(aBody);
}

Task<bool>
ResponseRelay::Finish()
{
  if (!this->streamStarted) {
    co_return co_await this->exchange.Reply(std::move(this->response));
  }
  const bool written =
    co_await this->exchange.WriteChunk(std::string(kDoneEvent));
  co_return written&& co_await this->exchange.EndStream();
}

Task<void>
ResponseRelay::AbortStream(std::string aErrorBody)
{
  std::string event = "event: error\ndata: ";
  event.append(aErrorBody).append("\n\n");
  co_await this->exchange.WriteChunk(std::move(event));
  this->exchange.CloseAfterHandler();
}

} // namespace apricottrack
