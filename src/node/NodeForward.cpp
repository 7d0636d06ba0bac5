#include "node/NodeForward.h"

#include "base/Log.h"
#include "http/HopByHop.h"
#include "intake/Refusal.h"
#include "retry/RefusalStatus.h"

#include <algorithm>
#include <charconv>
#include <random>

namespace apricottrack {

namespace http = boost::beast::http;

namespace {

/// Names the node that forwards, so that the other one does not forward again.
constexpr std::string_view kForwardedBy = "X-Forwarded-By-Node";
/// Version of the configuration by which that node has admitted the request.
constexpr std::string_view kConfigurationVersion = "X-Configuration-Version";
/// Nodes that are tried, one after the other.
constexpr std::size_t kMaxNodes = 3;
constexpr std::uint64_t kMaxBodyBytes = std::uint64_t{ 16 } * 1024 * 1024;
/// Smallest timeout of a read or write, used close to the deadline.
constexpr Duration kMinTimeout = milliseconds(1);

} // namespace

NodeForward::NodeForward(NodeContext& aContext,
                         HttpExchange& aExchange,
                         const RequestSpec& aSpec)
  : context(aContext)
  , exchange(aExchange)
  , spec(aSpec)
{
}

bool
NodeForward::IsForwarded(const HttpRequest& aRequest)
{
  return aRequest.find(kForwardedBy) != aRequest.end();
}

std::uint64_t
NodeForward::ConfigurationVersion(const HttpRequest& aRequest)
{
  const std::string_view text = aRequest[kConfigurationVersion];
  std::uint64_t version = 0;
  if (IsForwarded(aRequest)) {
    std::from_chars(text.data(), text.data() + text.size(), version);
  }
  return version;
}

Task<std::optional<Outcome>>
NodeForward::Run()
{
  for (const std::string& address : this->Nodes()) {
    if (const auto outcome = co_await this->Call(address)) {
      this->context.counters.Add("requests_forwarded_total",
                                 { { "outcome", OutcomeName(*outcome) } });
      LogLine("request_forwarded")
        .With("request", this->spec.requestId)
        .With("service", this->spec.service->name)
        .With("node", address)
        .With("outcome", OutcomeName(*outcome))
        .Info();
      co_return outcome;
    }
  }
  co_return std::nullopt;
}

std::vector<std::string>
NodeForward::Nodes() const
{
  std::vector<std::string> addresses;
  for (const NodeRecord& node : this->context.directory.Others()) {
    if (!node.callerAddress.empty()) {
      addresses.push_back(node.callerAddress);
    }
  }
  std::shuffle(addresses.begin(),
               addresses.end(),
               std::mt19937_64(std::random_device{}()));
  addresses.resize(std::min(addresses.size(), kMaxNodes));
  return addresses;
}

Task<std::optional<Outcome>>
NodeForward::Call(std::string aAddress)
{
  auto opened = co_await this->context.targetPool.OpenNewConnection(aAddress);
  if (!opened) {
    co_return std::nullopt;
  }
  const std::shared_ptr<HttpConnection> connection = std::move(*opened);
  this->exchange.NotifyOnDisconnect([weak = std::weak_ptr(connection)] {
    if (const auto open = weak.lock()) {
      open->Close();
    }
  });
  const auto sent =
    co_await connection->Send(this->MakeRequest(), this->TimeLeft());
  if (!sent) {
    co_return co_await this->Fail(sent.error());
  }
  auto head = co_await connection->ReceiveHead(this->TimeLeft(), kMaxBodyBytes);
  if (!head) {
    co_return co_await this->Fail(head.error());
  }
  const Outcome outcome = StatedOutcome(*head);
  if (outcome == Outcome::kUnknown && StatesNotRun(head->result_int())) {
    co_return co_await this->Fail(
      { .code = ErrorCode::kBadReply,
        .step = "node.head",
        .peer = std::move(aAddress),
        .detail = "no guarantee of not run, status " +
                  std::to_string(head->result_int()) });
  }
  const bool hasBody = this->exchange.Request().method() != http::verb::head;
  if (hasBody &&
      (*head)[http::field::content_type].starts_with("text/event-stream")) {
    co_return co_await this->RelayStream(*connection, std::move(*head));
  }
  auto response = co_await this->ReadResponse(*connection, std::move(*head));
  if (!response) {
    co_return co_await this->Fail(response.error());
  }
  if (outcome == Outcome::kNotRun &&
      response->result() == http::status::service_unavailable) {
    co_return std::nullopt;
  }
  co_await this->exchange.Reply(std::move(*response));
  co_return outcome;
}

HttpRequest
NodeForward::MakeRequest() const
{
  const HttpRequest& original = this->exchange.Request();
  HttpRequest message(original.method(), original.target(), 11);
  for (const auto& field : original) {
    if (!IsHopByHop(field.name_string())) {
      message.insert(field.name_string(), field.value());
    }
  }
  message.set(http::field::host, original[http::field::host]);
  message.set("X-Request-Id", this->spec.requestId);
  message.set("X-Request-Timeout-Ms",
              std::to_string(
                std::max<std::int64_t>(1, this->TimeLeft() / milliseconds(1))));
  message.set(kForwardedBy, this->context.settings.node);
  message.set(kConfigurationVersion,
              std::to_string(this->context.configuration.Stored().version));
  message.body() = original.body();
  return message;
}

Task<Outcome>
NodeForward::RelayStream(HttpConnection& aConnection, HttpResponse aHead)
{
  HttpHeaders headers;
  for (const auto& field : aHead) {
    if (!IsHopByHop(field.name_string())) {
      headers.emplace_back(field.name_string(), field.value());
    }
  }
  bool connected =
    co_await this->exchange.BeginStream(aHead.result_int(), std::move(headers));
  while (connected) {
    auto chunk = co_await aConnection.ReceiveBodyChunk(this->TimeLeft());
    if (!chunk) {
      // Only closing shows the caller that the response is incomplete.
      this->exchange.CloseAfterHandler();
      co_return Outcome::kUnknown;
    }
    if (chunk->empty()) {
      co_await this->exchange.EndStream();
      co_return Outcome::kAnswered;
    }
    connected = co_await this->exchange.WriteChunk(std::move(*chunk));
  }
  co_return Outcome::kUnknown;
}

Task<Result<HttpResponse>>
NodeForward::ReadResponse(HttpConnection& aConnection, HttpResponse aHead)
{
  HttpResponse response;
  response.result(aHead.result_int());
  for (const auto& field : aHead) {
    if (!IsHopByHop(field.name_string())) {
      response.insert(field.name_string(), field.value());
    }
  }
  CopyLengthOfHead(this->exchange.Request(), aHead, response);
  for (;;) {
    auto chunk = co_await aConnection.ReceiveBodyChunk(this->TimeLeft());
    if (!chunk) {
      co_return tl::unexpected(chunk.error());
    }
    if (chunk->empty()) {
      co_return response;
    }
    response.body().append(*chunk);
  }
}

Task<Outcome>
NodeForward::Fail(Error aError)
{
  LogLine("forward_failed")
    .With("request", this->spec.requestId)
    .With(aError)
    .Warn();
  co_await this->exchange.Reply(RefusalResponse(
    Refusal{ .status = 502,
             .code = "node_no_answer",
             .outcome = Outcome::kUnknown,
             .message = "another node got the request and sent no complete "
                        "response; it may have been run",
             .retryAfter = std::nullopt },
    this->spec.requestId));
  co_return Outcome::kUnknown;
}

Duration
NodeForward::TimeLeft() const
{
  return std::max(kMinTimeout, Duration(this->spec.deadline - MonotonicNow()));
}

} // namespace apricottrack
