#include "node/AnswerRelay.h"

#include "http/HopByHop.h"

namespace apricottrack {

namespace http = boost::beast::http;

namespace {

constexpr std::string_view kEventStream = "text/event-stream";
constexpr std::string_view kDoneEvent = "data: [DONE]\n\n";

} // namespace

AnswerRelay::AnswerRelay(HttpExchange& aExchange, std::string aRequestId)
  : exchange(aExchange)
  , requestId(std::move(aRequestId))
{
}

Task<bool>
AnswerRelay::OnHead(const HttpResponse& aHead)
{
  HttpResponse head;
  head.result(aHead.result_int());
  for (const auto& field : aHead) {
    if (!IsHopByHop(field.name_string())) {
      head.insert(field.name_string(), field.value());
    }
  }
  head.set("X-Request-Id", this->requestId);
  head.set("X-Request-Outcome", "answered");
  this->answer = std::move(head);
  this->streaming =
    this->answer[http::field::content_type].starts_with(kEventStream);
  this->partialEvent.clear();
  this->sawDone = false;
  if (!this->streaming || this->streamStarted) {
    co_return true;
  }
  HttpHeaders headers;
  for (const auto& field : this->answer) {
    if (field.name_string() != "X-Request-Outcome") {
      headers.emplace_back(field.name_string(), field.value());
    }
  }
  this->streamStarted = true;
  co_return co_await this->exchange.BeginStream(this->answer.result_int(),
                                                std::move(headers));
}

Task<bool>
AnswerRelay::OnPiece(std::string aPiece)
{
  if (!this->streaming) {
    this->answer.body().append(aPiece);
    co_return true;
  }
  this->partialEvent.append(aPiece);
  std::string whole;
  std::size_t end = 0;
  while ((end = this->partialEvent.find("\n\n")) != std::string::npos) {
    const std::string event = this->partialEvent.substr(0, end + 2);
    this->partialEvent.erase(0, end + 2);
    if (event == kDoneEvent) {
      this->sawDone = true;
    } else {
      whole.append(event);
      ++this->events;
    }
  }
  co_return co_await this->exchange.WriteChunk(std::move(whole));
}

bool
AnswerRelay::IsWhole() const
{
  return !this->streaming || this->sawDone;
}

void
AnswerRelay::Discard()
{
  this->answer.body().clear();
  this->partialEvent.clear();
}

void
AnswerRelay::Replay(unsigned aStatus,
                    std::string aContentType,
                    std::string aBody)
{
  this->answer = HttpResponse();
  this->answer.result(aStatus);
  this->answer.set(http::field::content_type, aContentType);
  this->answer.set("X-Request-Id", this->requestId);
  this->answer.set("X-Request-Outcome", "answered");
  this->answer.set("Idempotency-Replayed", "true");
  this->answer.body() = std::move(aBody);
}

Task<bool>
AnswerRelay::Finish()
{
  if (!this->streamStarted) {
    co_return co_await this->exchange.Reply(std::move(this->answer));
  }
  const bool written =
    co_await this->exchange.WriteChunk(std::string(kDoneEvent));
  co_return written&& co_await this->exchange.EndStream();
}

Task<void>
AnswerRelay::Break(std::string aErrorBody)
{
  std::string event = "event: error\ndata: ";
  event.append(aErrorBody).append("\n\n");
  co_await this->exchange.WriteChunk(std::move(event));
  this->exchange.Abort();
}

} // namespace apricottrack
