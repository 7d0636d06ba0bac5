#include "http/Framing.h"

#include "TargetResponses.h"

using namespace apricottrack;

namespace {

constexpr Duration kTestLimit = seconds(20);

const std::string kHidden = "GET /hidden HTTP/1.1\r\nHost: h\r\n\r\n";

struct Framing
{
  std::string fields;
  std::string version = "1.1";
};

/// Framings by which the end of a body has more than one reading, or none.
const std::vector<Framing> kAmbiguous = {
  { "Transfer-Encoding: gzip" },
  { "Transfer-Encoding: identity" },
  { "Transfer-Encoding: xchunked" },
  { "Transfer-Encoding: chunkedx" },
  { "Transfer-Encoding: \"chunked\"" },
  { "Transfer-Encoding: chunked;q=1" },
  { "Transfer-Encoding: chunked, gzip" },
  { "Transfer-Encoding: gzip, chunked" },
  { "Transfer-Encoding: chunked, identity" },
  { "Transfer-Encoding: chunked, chunked" },
  { "Transfer-Encoding: chunked," },
  { "Transfer-Encoding: ,chunked" },
  { "Transfer-Encoding:" },
  { "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked" },
  { "Transfer-Encoding: chunked\r\nTransfer-Encoding: gzip" },
  { "Transfer-Encoding: gzip\r\ntransfer-encoding: chunked" },
  { "Transfer-Encoding:\x0b"
    "chunked" },
  { "Transfer-Encoding: chunked\r\nContent-Length: 5" },
  { "Content-Length: 5\r\nTransfer-Encoding: chunked" },
  { "Content-Length: 5\r\nTransfer-Encoding: gzip" },
  { "Content-Length: 0\r\nContent-Length: 5" },
  { "Content-Length: 5\r\nContent-Length: 5" },
  { "Content-Length: 5, 5" },
  { "Content-Length: 5, 0" },
  { "Content-Length: +5" },
  { "Content-Length: -5" },
  { "Content-Length: 0x5" },
  { "Content-Length: 5 5" },
  { "Content-Length: 5;" },
  { "Content-Length:" },
  { "Content-Length: 99999999999999999999" },
  { "Transfer-Encoding : chunked" },
  { " Transfer-Encoding: chunked" },
  { "Content-Length : 5" },
  { "Transfer-Encoding: chunked", "1.0" },
  { "Transfer-Encoding: gzip", "1.0" },
};

struct SentMessage
{
  std::string framing;
  std::string body;

  std::string BodyText() const { return this->body.empty() ? "" : "hello"; }
};

/// Messages with one reading; each has the body "hello", or none.
const std::vector<SentMessage> kClear = {
  { "", "" },
  { "Content-Length: 0\r\n", "" },
  { "Content-Length: 5\r\n", "hello" },
  { "Content-Length:   005  \r\n", "hello" },
  { "Transfer-Encoding: chunked\r\n", "5\r\nhello\r\n0\r\n\r\n" },
  { "transfer-encoding:  CHUNKED \r\n", "5;x=y\r\nhello\r\n0\r\n\r\n" },
};

int
Count(const std::string& aText, std::string_view aPart)
{
  int count = 0;
  for (auto at = aText.find(aPart); at != std::string::npos;
       at = aText.find(aPart, at + 1)) {
    ++count;
  }
  return count;
}

/// Receives the response that a server sends as `aBytes` before it closes the
/// connection. Returns its body, or nothing if there is no such response.
std::optional<std::string>
Receive(const std::string& aBytes, bool aAcceptsCloseDelimited)
{
  ServingHarness harness;
  const std::string address =
    harness.StartScript([&](TargetConnection& aConnection, int) -> Task<void> {
      co_await aConnection.ReadRequest();
      co_await aConnection.Write(aBytes);
    });
  std::optional<std::string> body;
  REQUIRE(harness.Run(
    [&]() -> Task<void> {
      HttpConnection connection(harness.io.get_executor(), address);
      if (aAcceptsCloseDelimited) {
        connection.AcceptCloseDelimited();
      }
      co_await connection.Connect(seconds(1));
      HttpRequest request(boost::beast::http::verb::get, "/", 11);
      co_await connection.Send(std::move(request), seconds(1));
      const auto head = co_await connection.ReceiveHead(seconds(1), 1000);
      if (head) {
        const auto chunk = co_await connection.ReceiveBodyChunk(seconds(1));
        body = chunk.value_or("incomplete");
      }
    },
    kTestLimit));
  return body;
}

} // namespace

// Guards against a request that runs although it was only text in the body of
// another one.
TEST_CASE("HttpServer serves no request whose body has more than one end")
{
  const Framing framing = GENERATE(from_range(kAmbiguous));
  CAPTURE(framing.fields, framing.version);
  ServingHarness harness;
  std::vector<std::string> heads;
  harness.AddTarget("t1",
                    [&](TargetConnection& aConnection, int) -> Task<void> {
                      std::string head = co_await aConnection.ReadRequest();
                      while (!head.empty()) {
                        heads.push_back(std::move(head));
                        co_await aConnection.Write(
                          PlainResponse(200, "X-Signed: 1\r\n", "ran"));
                        head = co_await aConnection.ReadRequest();
                      }
                    });
  const tcp::endpoint forwardEndpoint = harness.StartForwardServer();
  std::vector<std::string> responses;
  REQUIRE(harness.Run(
    [&]() -> Task<void> {
      for (const tcp::endpoint& endpoint :
           { harness.callerEndpoint, forwardEndpoint }) {
        responses.push_back(co_await harness.Exchange(
          endpoint,
          fmt::format("POST /once/x HTTP/{}\r\nHost: h\r\nX-Timeout: 500\r\n"
                      "X-Attempt: a\r\nConnection: keep-alive\r\n{}\r\n\r\n{}",
                      framing.version,
                      framing.fields,
                      kHidden)));
      }
    },
    kTestLimit));
  CHECK(heads.empty());
  for (const std::string& response : responses) {
    CHECK(StatusOf(response) == 400);
    CHECK(Count(response, "HTTP/1.") == 1);
  }
}

TEST_CASE("HttpServer reads bodies with one length or in chunks")
{
  const SentMessage message = GENERATE(from_range(kClear));
  CAPTURE(message.framing);
  asio::io_context io{ 1 };
  const std::string address = ServingHarness::FreeAddress(io);
  std::vector<std::string> bodies;
  const auto server =
    *HttpServer::Make(io.get_executor(),
                      { .address = address,
                        .handler = [&](HttpExchange& aExchange) -> Task<void> {
                          bodies.push_back(aExchange.Request().body());
                          co_await aExchange.Reply(JsonResponse(200, "{}"));
                        },
                        .errorResponder = {} });
  tcp::socket socket(io);
  socket.connect(*ParseEndpoint(address));
  const std::string request =
    "POST / HTTP/1.1\r\nHost: h\r\n" + message.framing + "\r\n" + message.body;
  asio::write(socket, asio::buffer(request + request));
  io.run_for(milliseconds(100));
  CHECK(bodies ==
        std::vector<std::string>{ message.BodyText(), message.BodyText() });
}

// Guards against bytes that are taken for a complete body, or for the response
// to another request.
TEST_CASE("HttpConnection receives no response whose body has more than one "
          "end")
{
  const Framing framing = GENERATE(from_range(kAmbiguous));
  const bool acceptsCloseDelimited = GENERATE(false, true);
  CAPTURE(framing.fields, framing.version, acceptsCloseDelimited);
  const auto body =
    Receive(fmt::format("HTTP/{} 200 OK\r\n{}\r\n\r\n5\r\nhello\r\n0\r\n\r\n{}",
                        framing.version,
                        framing.fields,
                        PlainResponse(200, "", "other")),
            acceptsCloseDelimited);
  CHECK(body == std::nullopt);
}

TEST_CASE("HttpConnection receives responses with one length or in chunks")
{
  const SentMessage message = GENERATE(from_range(kClear));
  CAPTURE(message.framing);
  CHECK(Receive("HTTP/1.1 200 OK\r\n" + message.framing + "\r\n" + message.body,
                true) == message.BodyText());
}

TEST_CASE("HttpConnection receives a response that ends with its connection")
{
  const std::string bytes = "HTTP/1.1 200 OK\r\n\r\nhello";
  CHECK(Receive(bytes, true) == "hello");
  CHECK(Receive(bytes, false) == std::nullopt);
}
