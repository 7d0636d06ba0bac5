#include "node/ResponseRelay.h"
#include "ServingHarness.h"

using namespace apricottrack;

namespace {

HttpResponse
HeadOf(unsigned aStatus, const std::string& aContentType)
{
  HttpResponse head;
  head.result(aStatus);
  head.set(boost::beast::http::field::content_type, aContentType);
  return head;
}

} // namespace

// Guards against a truncated stream that ends like a complete one.
TEST_CASE("ResponseRelay does not complete a stream by a response of another "
          "kind")
{
  asio::io_context io{ 1 };
  const std::string address = ServingHarness::FreeAddress(io);
  bool complete = true;
  const auto server = *HttpServer::Make(
    io.get_executor(),
    { .address = address,
      .handler = [&](HttpExchange& aExchange) -> Task<void> {
        ResponseRelay relay(aExchange, "id");
        co_await relay.OnHead(HeadOf(200, "text/event-stream"));
        co_await relay.OnBodyChunk("data: 1\n\n");
        relay.DiscardIncomplete();
        co_await relay.OnHead(HeadOf(500, "application/json"));
        co_await relay.OnBodyChunk("{}");
        complete = relay.IsComplete();
      },
      .errorResponder = {} });
  tcp::socket socket(io);
  socket.connect(*ParseEndpoint(address));
  asio::write(socket, asio::buffer(std::string("GET / HTTP/1.1\r\n\r\n")));
  io.run_for(milliseconds(100));
  CHECK_FALSE(complete);
}
