#include "ServingHarness.h"

using namespace apricottrack;

namespace {

constexpr std::size_t kKibibyte = 1024;

const std::string kChunkedHead =
  "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n";
const std::string kRequest =
  "POST / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n"
  "Content-Length: 4\r\n\r\nbody";

/// Returns the header and `aChunks` chunks of `aBytes` bytes.
std::string
UnfinishedRequest(std::size_t aChunks, std::size_t aBytes)
{
  std::string request = kChunkedHead;
  for (std::size_t i = 0; i < aChunks; ++i) {
    request += fmt::format("{:x}\r\n{}\r\n", aBytes, std::string(aBytes, 'a'));
  }
  return request;
}

HttpServer::Options
OptionsFor(const std::string& aAddress, ByteBudget& aMemory)
{
  return { .address = aAddress,
           .handler = [](HttpExchange& aExchange) -> Task<void> {
             HttpResponse response;
             response.body() = aExchange.Request().body();
             co_await aExchange.Reply(std::move(response));
           },
           .errorResponder =
             [](unsigned aStatus, std::string_view aReason) {
               return TextResponse(aStatus, std::string(aReason));
             },
           .memory = &aMemory };
}

/// Connects and sends, until the server has read all.
std::shared_ptr<tcp::socket>
Send(asio::io_context& aIo, const std::string& aAddress, std::string aBytes)
{
  auto socket = std::make_shared<tcp::socket>(aIo);
  socket->connect(*ParseEndpoint(aAddress));
  auto written = std::make_shared<bool>(false);
  asio::co_spawn(
    aIo,
    [socket, written, bytes = std::move(aBytes)]() -> Task<void> {
      co_await asio::async_write(*socket, asio::buffer(bytes), kAsTuple);
      *written = true;
    },
    asio::detached);
  for (int i = 0; i < 100 && !*written; ++i) {
    aIo.restart();
    aIo.run_for(milliseconds(50));
  }
  aIo.restart();
  aIo.run_for(milliseconds(50));
  return socket;
}

/// Reads what the server has sent, without waiting for more.
std::string
ReadAvailable(tcp::socket& aSocket)
{
  std::string response(aSocket.available(), '\0');
  asio::read(aSocket, asio::buffer(response));
  return response;
}

} // namespace

// Guards against bodies without end that together exhaust the memory.
TEST_CASE("HttpServer refuses the oldest unfinished request as not run when "
          "the memory is used up")
{
  ByteBudget memory({ .totalBytes = 1024 * kKibibyte, .freeBytesPerBody = 0 });
  asio::io_context io{ 1 };
  const std::string address = ServingHarness::FreeAddress(io);
  const auto server =
    *HttpServer::Make(io.get_executor(), OptionsFor(address, memory));
  // In large or very small chunks.
  const std::size_t chunkBytes =
    GENERATE(std::size_t{ 64 } * 1024, std::size_t{ 16 });
  const std::string unfinished =
    UnfinishedRequest(192 * kKibibyte / chunkBytes, chunkBytes);
  std::vector<std::shared_ptr<tcp::socket>> crowd;
  for (int i = 0; i < 6; ++i) {
    crowd.push_back(Send(io, address, unfinished));
    CHECK(memory.UsedBytes() <= 1024 * kKibibyte);
  }
  const std::string refusal = ReadAvailable(*crowd.front());
  CHECK(StatusOf(refusal) == 503);
  CHECK(refusal.find("Connection: close") != std::string::npos);
  CHECK(ReadAvailable(*crowd.back()).empty());
  CHECK(server->Counts().refusedForMemory == memory.GetCounts().revoked);
  CHECK(server->Counts().failedRequests == 0);
  const auto caller = Send(io, address, kRequest);
  CHECK(ReadAvailable(*caller).ends_with("body"));
}

TEST_CASE("HttpServer takes memory for a body as its bytes arrive")
{
  ByteBudget memory({ .totalBytes = 8192 * kKibibyte, .freeBytesPerBody = 0 });
  asio::io_context io{ 1 };
  const std::string address = ServingHarness::FreeAddress(io);
  HttpServer::Options options = OptionsFor(address, memory);
  options.limits.bodyBytes = 4096 * kKibibyte;
  const auto server = *HttpServer::Make(io.get_executor(), std::move(options));
  const auto socket =
    Send(io,
         address,
         "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4194304\r\n\r\n");
  CHECK(memory.UsedBytes() > 0);
  CHECK(memory.UsedBytes() < 64 * kKibibyte);
  socket->close();
  io.restart();
  io.run_for(milliseconds(50));
  CHECK(memory.UsedBytes() == 0);
}

TEST_CASE("HttpServer serves a body of the largest size and returns its memory")
{
  ByteBudget memory({ .totalBytes = 4096 * kKibibyte, .freeBytesPerBody = 0 });
  asio::io_context io{ 1 };
  const std::string address = ServingHarness::FreeAddress(io);
  const auto server =
    *HttpServer::Make(io.get_executor(), OptionsFor(address, memory));
  const std::string body(1024 * kKibibyte, 'b');
  std::string response;
  asio::co_spawn(
    io,
    [&]() -> Task<void> {
      tcp::socket socket(io);
      co_await socket.async_connect(*ParseEndpoint(address), kAsTuple);
      const std::string request =
        "POST / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n"
        "Expect: 100-continue\r\nContent-Length: 1048576\r\n\r\n" +
        body;
      co_await asio::async_write(socket, asio::buffer(request), kAsTuple);
      co_await asio::async_read(
        socket, asio::dynamic_buffer(response), kAsTuple);
      io.stop();
    },
    asio::detached);
  io.run_for(seconds(10));
  CHECK(response.starts_with("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200"));
  CHECK(response.ends_with(body));
  io.restart();
  io.run_for(milliseconds(50));
  CHECK(memory.UsedBytes() == 0);
}

// Guards against a crowd that takes all connections and sends nothing.
TEST_CASE("HttpServer closes the connection that has waited longest for one "
          "above its limit")
{
  ByteBudget memory({ .totalBytes = 1024 * kKibibyte, .freeBytesPerBody = 0 });
  asio::io_context io{ 1 };
  const std::string address = ServingHarness::FreeAddress(io);
  HttpServer::Options options = OptionsFor(address, memory);
  options.limits.connections = 2;
  const auto server = *HttpServer::Make(io.get_executor(), std::move(options));
  const auto oldest = Send(io, address, kChunkedHead);
  const auto next = Send(io, address, kChunkedHead);
  const auto caller = Send(io, address, kRequest);
  CHECK(ReadAvailable(*caller).ends_with("body"));
  CHECK(PeekReceived(*oldest) == ReceiveState::kClosed);
  CHECK(PeekReceived(*next) == ReceiveState::kNothing);
  CHECK(server->Counts().evicted == 1);
  CHECK(server->Counts().overLimit == 0);
}
