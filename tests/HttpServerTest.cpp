#include "ServingHarness.h"

#include <thread>

using namespace apricottrack;

namespace {

HttpServer::Options
OptionsFor(const std::string& aAddress)
{
  return { .address = aAddress,
           .handler = [](HttpExchange& aExchange) -> Task<void> {
             HttpResponse response;
             response.result(200);
             response.body() = "served";
             co_await aExchange.Reply(std::move(response));
           },
           .errorResponder = {} };
}

} // namespace

// A node that stops under load has connections in its accept queue, and
// requests in sockets that it has not read yet.
TEST_CASE("HttpServer::Stop answers requests that were sent before it")
{
  asio::io_context io{ 1 };
  const std::string address = ServingHarness::FreeAddress(io);
  const auto server = *HttpServer::Make(io.get_executor(), OptionsFor(address));
  const bool connectedBefore = GENERATE(true, false);
  constexpr int kCallers = 40;
  // Callers that block, so that the server's loop does not run meanwhile.
  asio::io_context callersIo{ 1 };
  std::vector<tcp::socket> sockets;
  const std::string request = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";
  for (int i = 0; i < kCallers; ++i) {
    sockets.emplace_back(callersIo);
    sockets.back().connect(*ParseEndpoint(address));
  }
  if (connectedBefore) {
    io.run_for(milliseconds(50));
    CHECK(server->ConnectionCount() == kCallers);
  }
  for (tcp::socket& socket : sockets) {
    asio::write(socket, asio::buffer(request));
  }
  server->Stop();
  io.restart();
  io.run_for(milliseconds(200));
  int answered = 0;
  for (tcp::socket& socket : sockets) {
    std::string response;
    boost::system::error_code error;
    asio::read(socket, asio::dynamic_buffer(response), error);
    answered += response.ends_with("served") ? 1 : 0;
  }
  CHECK(answered == kCallers);
  CHECK(server->ConnectionCount() == 0);
}

// Guards against requests that are lost because a stopping node closes a
// connection that it has promised to keep open.
TEST_CASE("HttpServer::Stop answers the next request after a response that "
          "promised to keep the connection open")
{
  asio::io_context io{ 1 };
  HttpServer::Options options = OptionsFor(ServingHarness::FreeAddress(io));
  HttpServer* server = nullptr;
  options.handler = [&](HttpExchange& aExchange) -> Task<void> {
    if (aExchange.Request().target() == "/stream") {
      co_await aExchange.BeginStream(200, {});
      server->Stop();
      co_await aExchange.WriteChunk("event");
      co_await aExchange.EndStream();
      // The caller's next request arrives before the handler returns.
      std::this_thread::sleep_for(milliseconds(50));
      co_return;
    }
    HttpResponse response;
    response.body() = "served";
    co_await aExchange.Reply(std::move(response));
  };
  const std::string address = options.address;
  const auto owner = *HttpServer::Make(io.get_executor(), std::move(options));
  server = owner.get();
  const Duration pause = GENERATE(milliseconds(0), milliseconds(150));
  std::string received;
  std::thread caller([&] {
    asio::io_context callerIo{ 1 };
    tcp::socket socket(callerIo);
    boost::system::error_code error;
    socket.connect(*ParseEndpoint(address), error);
    const auto send = [&](const std::string& aTarget) {
      asio::write(
        socket,
        asio::buffer("GET " + aTarget + " HTTP/1.1\r\nHost: h\r\n\r\n"),
        error);
    };
    send("/stream");
    asio::read_until(
      socket, asio::dynamic_buffer(received), "0\r\n\r\n", error);
    std::this_thread::sleep_for(pause);
    received.clear();
    send("/next");
    asio::read(socket, asio::dynamic_buffer(received), error);
  });
  io.run_for(milliseconds(700));
  CHECK(server->ConnectionCount() == 0);
  caller.join();
  CHECK(StatusOf(received) == 200);
  CHECK(received.find("Connection: close") != std::string::npos);
  CHECK(server->Counts() == HttpServerCounts{});
}

// Guards against callers that reuse a connection because a response which was
// written during a stop promised to keep it open.
TEST_CASE("HttpServer announces the close of a connection in responses to "
          "requests that arrived before a stop")
{
  asio::io_context io{ 1 };
  HttpServer::Options options = OptionsFor(ServingHarness::FreeAddress(io));
  const bool isOrdered = GENERATE(true, false);
  const bool isStream = GENERATE(true, false);
  HttpServer* server = nullptr;
  options.handler = [&](HttpExchange& aExchange) -> Task<void> {
    if (isOrdered) {
      server->CloseAfterNextResponse();
    } else {
      server->Stop();
    }
    if (isStream) {
      co_await aExchange.BeginStream(200, {});
      co_await aExchange.EndStream();
      co_return;
    }
    HttpResponse response;
    response.body() = "served";
    co_await aExchange.Reply(std::move(response));
  };
  const std::string address = options.address;
  const auto owner = *HttpServer::Make(io.get_executor(), std::move(options));
  server = owner.get();
  std::string response;
  asio::co_spawn(
    io,
    [&]() -> Task<void> {
      tcp::socket socket(io);
      co_await socket.async_connect(*ParseEndpoint(address), kAsTuple);
      const std::string request = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";
      co_await asio::async_write(socket, asio::buffer(request), kAsTuple);
      co_await asio::async_read(
        socket, asio::dynamic_buffer(response), kAsTuple);
      io.stop();
    },
    asio::detached);
  io.run_for(seconds(2));
  CHECK(StatusOf(response) == 200);
  CHECK(response.find("Connection: close") != std::string::npos);
  CHECK(server->ConnectionCount() == 0);
}

// Guards against a caller whose request without end exhausts the memory.
TEST_CASE("HttpServer rejects a request without end")
{
  static constexpr std::size_t kEndlessBytes = std::size_t{ 48 } * 1024 * 1024;
  static constexpr std::size_t kMaxBufferedBytes =
    std::size_t{ 12 } * 1024 * 1024;
  const std::string chunkedHead =
    "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n";
  const std::string start = GENERATE_COPY(std::string("POST /"),
                                          chunkedHead,
                                          chunkedHead + "4;x=",
                                          chunkedHead + "4\r\nbody\r\n",
                                          chunkedHead + "0\r\nX-Own: ");
  CAPTURE(start);
  asio::io_context io{ 1 };
  HttpServer::Options options = OptionsFor(ServingHarness::FreeAddress(io));
  const bool hasErrorResponder = GENERATE(false, true);
  CAPTURE(hasErrorResponder);
  if (hasErrorResponder) {
    options.errorResponder = [](unsigned aStatus, std::string_view) {
      return TextResponse(aStatus, "rejected");
    };
  }
  const std::string address = options.address;
  const auto server = *HttpServer::Make(io.get_executor(), std::move(options));
  std::size_t written = 0;
  asio::co_spawn(
    io,
    [&]() -> Task<void> {
      tcp::socket socket(io);
      co_await socket.async_connect(*ParseEndpoint(address), kAsTuple);
      TargetConnection connection(std::move(socket));
      const std::string bytes(std::size_t{ 64 } * 1024, 'a');
      bool connected = co_await connection.Write(start);
      while (connected && connection.written < kEndlessBytes) {
        connected = co_await connection.Write(bytes);
      }
      written = connection.written;
      io.stop();
    },
    asio::detached);
  io.run_for(seconds(20));
  CHECK(written > 0);
  CHECK(written < kMaxBufferedBytes);
}

// Guards against a caller that waits forever because its handler has thrown.
TEST_CASE("HttpServer answers a request whose handler throws")
{
  asio::io_context io{ 1 };
  HttpServer::Options options = OptionsFor(ServingHarness::FreeAddress(io));
  const bool hasStarted = GENERATE(false, true);
  options.handler = [hasStarted](HttpExchange& aExchange) -> Task<void> {
    if (hasStarted) {
      co_await aExchange.BeginStream(200, {});
    }
    throw std::invalid_argument("thrown");
  };
  const std::string address = options.address;
  const auto server = *HttpServer::Make(io.get_executor(), std::move(options));
  std::string response;
  asio::co_spawn(
    io,
    [&]() -> Task<void> {
      tcp::socket socket(io);
      co_await socket.async_connect(*ParseEndpoint(address), kAsTuple);
      const std::string request = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";
      co_await asio::async_write(socket, asio::buffer(request), kAsTuple);
      co_await asio::async_read(
        socket, asio::dynamic_buffer(response), kAsTuple);
      io.stop();
    },
    asio::detached);
  io.run_for(seconds(5));
  CHECK(StatusOf(response) == (hasStarted ? 200 : 502));
  CHECK_FALSE(IsCompleteStream(response));
  CHECK(server->ConnectionCount() == 0);
}

// Guards against a response that is cut because bytes follow its request.
TEST_CASE(
  "HttpServer lets a caller read its response although it has sent more "
  "than its request")
{
  asio::io_context io{ 1 };
  HttpServer::Options options = OptionsFor(ServingHarness::FreeAddress(io));
  const std::string body(std::size_t{ 1024 } * 1024, 'a');
  options.handler = [&](HttpExchange& aExchange) -> Task<void> {
    asio::steady_timer timer(io, milliseconds(50));
    co_await timer.async_wait(kAsTuple);
    HttpResponse response;
    response.body() = body;
    co_await aExchange.Reply(std::move(response));
  };
  const std::string address = options.address;
  const auto server = *HttpServer::Make(io.get_executor(), std::move(options));
  const std::string next = GENERATE("\r\n", "GET /next HTTP/1.1\r\n\r\n");
  std::string received;
  std::thread caller([&] {
    asio::io_context callerIo{ 1 };
    tcp::socket socket(callerIo);
    boost::system::error_code error;
    socket.connect(*ParseEndpoint(address), error);
    asio::write(
      socket,
      asio::buffer(std::string("GET / HTTP/1.1\r\nConnection: close\r\n\r\n")),
      error);
    std::this_thread::sleep_for(milliseconds(20));
    asio::write(socket, asio::buffer(next), error);
    std::this_thread::sleep_for(milliseconds(200));
    asio::read(socket, asio::dynamic_buffer(received), error);
  });
  io.run_for(milliseconds(600));
  caller.join();
  CHECK(received.ends_with(body));
  CHECK(server->ConnectionCount() == 0);
}

// Guards against a rejection that its caller does not get, because the
// connection is reset while the caller still sends the request.
TEST_CASE("HttpServer lets the caller of a rejected request read the response")
{
  asio::io_context io{ 1 };
  HttpServer::Options options = OptionsFor(ServingHarness::FreeAddress(io));
  options.errorResponder = [](unsigned aStatus, std::string_view) {
    return TextResponse(aStatus, "rejected");
  };
  const std::string address = options.address;
  const auto server = *HttpServer::Make(io.get_executor(), std::move(options));
  std::string response;
  asio::co_spawn(
    io,
    [&]() -> Task<void> {
      tcp::socket socket(io);
      co_await socket.async_connect(*ParseEndpoint(address), kAsTuple);
      TargetConnection connection(std::move(socket));
      co_await connection.Write("POST / HTTP/1.1\r\nHost: h\r\n"
                                "Content-Length: 4000000\r\n\r\n");
      // A caller that reads only once it has sent all.
      const std::string part(50'000, 'a');
      for (int i = 0; i < 80; ++i) {
        co_await connection.Write(part);
        co_await connection.Wait(milliseconds(2));
      }
      response = co_await connection.ReadRequest();
      io.stop();
    },
    asio::detached);
  io.run_for(seconds(10));
  CHECK(StatusOf(response) == 413);
}

// Guards against a request that is closed without a response, because the node
// was delayed until after the idle timeout of its connection.
TEST_CASE("HttpServer answers a request that arrived before a late timeout")
{
  asio::io_context io{ 1 };
  HttpServer::Options options = OptionsFor(ServingHarness::FreeAddress(io));
  options.limits.idleTimeout = milliseconds(100);
  const std::string address = options.address;
  const auto server = *HttpServer::Make(io.get_executor(), std::move(options));
  // Callers that block, so that the server's loop does not run meanwhile.
  asio::io_context callersIo{ 1 };
  std::vector<tcp::socket> sockets;
  constexpr int kCallers = 20;
  for (int i = 0; i < kCallers; ++i) {
    sockets.emplace_back(callersIo);
    sockets.back().connect(*ParseEndpoint(address));
  }
  io.run_for(milliseconds(30));
  for (tcp::socket& socket : sockets) {
    asio::write(socket,
                asio::buffer(std::string("GET / HTTP/1.1\r\nHost: h\r\n\r\n")));
  }
  std::this_thread::sleep_for(milliseconds(200));
  io.restart();
  io.run_for(milliseconds(300));
  int answered = 0;
  for (tcp::socket& socket : sockets) {
    std::string response;
    boost::system::error_code error;
    asio::read(socket, asio::dynamic_buffer(response), error);
    answered += response.ends_with("served") ? 1 : 0;
  }
  CHECK(answered == kCallers);
  CHECK(server->ConnectionCount() == 0);
}

// Guards against requests that cross the close of an idle connection, because
// their callers count on another idle timeout than the server.
TEST_CASE("HttpServer keeps an idle connection for as long as it has announced "
          "or its limits allow")
{
  asio::io_context io{ 1 };
  HttpServer::Options options = OptionsFor(ServingHarness::FreeAddress(io));
  const bool isLowered = GENERATE(true, false);
  options.limits.idleTimeout = milliseconds(isLowered ? 1500 : 200);
  HttpServer* server = nullptr;
  options.handler = [&](HttpExchange& aExchange) -> Task<void> {
    co_await aExchange.BeginStream(200, {});
    if (isLowered) {
      server->SetLimits({ .idleTimeout = milliseconds(100) });
    }
    co_await aExchange.EndStream();
  };
  const std::string address = options.address;
  const auto owner = *HttpServer::Make(io.get_executor(), std::move(options));
  server = owner.get();
  std::string received;
  asio::co_spawn(
    io,
    [&]() -> Task<void> {
      tcp::socket socket(io);
      co_await socket.async_connect(*ParseEndpoint(address), kAsTuple);
      TargetConnection connection(std::move(socket));
      const std::string request = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";
      co_await connection.Write(request);
      co_await connection.ReadRequest();
      const std::string body = co_await connection.ReadRequest();
      CHECK(body == "0\r\n\r\n");
      co_await connection.Wait(milliseconds(100));
      if (!isLowered) {
        server->SetLimits({ .idleTimeout = milliseconds(2000) });
      }
      co_await connection.Wait(milliseconds(500));
      co_await connection.Write(request);
      received = co_await connection.ReadRequest();
      io.stop();
    },
    asio::detached);
  io.run_for(seconds(5));
  CHECK(StatusOf(received) == 200);
  CHECK(server->Counts() == HttpServerCounts{});
}

// Guards against requests that are rejected by limits which no longer hold.
TEST_CASE("HttpServer judges the next request of a waiting connection by the "
          "present limits")
{
  asio::io_context io{ 1 };
  HttpServer::Options options = OptionsFor(ServingHarness::FreeAddress(io));
  options.limits.bodyBytes = 10;
  options.errorResponder = [](unsigned aStatus, std::string_view) {
    return TextResponse(aStatus, "rejected");
  };
  const std::string address = options.address;
  const auto server = *HttpServer::Make(io.get_executor(), std::move(options));
  std::string received;
  asio::co_spawn(
    io,
    [&]() -> Task<void> {
      tcp::socket socket(io);
      co_await socket.async_connect(*ParseEndpoint(address), kAsTuple);
      TargetConnection connection(std::move(socket));
      co_await connection.Wait(milliseconds(50));
      server->SetLimits({ .bodyBytes = 20 });
      co_await connection.Write("POST / HTTP/1.1\r\nHost: h\r\n"
                                "Content-Length: 15\r\n\r\nfifteen letters");
      received = co_await connection.ReadRequest();
      io.stop();
    },
    asio::detached);
  io.run_for(seconds(5));
  CHECK(StatusOf(received) == 200);
}

// Guards against connections that end without a trace.
TEST_CASE("HttpServer counts connections that it closes and responses that it "
          "cannot write")
{
  asio::io_context io{ 1 };
  HttpServer::Options options = OptionsFor(ServingHarness::FreeAddress(io));
  options.limits.connections = 1;
  options.limits.sendTimeout = milliseconds(100);
  options.handler = [](HttpExchange& aExchange) -> Task<void> {
    HttpResponse response;
    // More than the socket buffers of a caller that does not read hold.
    response.body() = std::string(std::size_t{ 32 } * 1024 * 1024, 'a');
    co_await aExchange.Reply(std::move(response));
    CHECK_FALSE(aExchange.WriteError().empty());
  };
  const std::string address = options.address;
  const auto server = *HttpServer::Make(io.get_executor(), std::move(options));
  asio::io_context callersIo{ 1 };
  tcp::socket served(callersIo);
  tcp::socket refused(callersIo);
  served.connect(*ParseEndpoint(address));
  refused.connect(*ParseEndpoint(address));
  asio::write(served, asio::buffer(std::string("GET / HTTP/1.1\r\n\r\n")));
  io.run_for(milliseconds(300));
  CHECK(server->Counts() ==
        HttpServerCounts{ .overLimit = 1, .failedResponses = 1 });
}

// Guards against a slow request that is closed without a response.
TEST_CASE("HttpServer tells the caller that its request was too slow")
{
  asio::io_context io{ 1 };
  HttpServer::Options options = OptionsFor(ServingHarness::FreeAddress(io));
  options.limits.receiveTimeout = milliseconds(100);
  options.errorResponder = [](unsigned aStatus, std::string_view) {
    return TextResponse(aStatus, "rejected");
  };
  const std::string address = options.address;
  const auto server = *HttpServer::Make(io.get_executor(), std::move(options));
  const std::string part =
    GENERATE("GET / HT",
             "GET / HTTP/1.1\r\nHost: h\r\n",
             "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\nbo");
  std::string response;
  asio::co_spawn(
    io,
    [&]() -> Task<void> {
      tcp::socket socket(io);
      co_await socket.async_connect(*ParseEndpoint(address), kAsTuple);
      co_await asio::async_write(socket, asio::buffer(part), kAsTuple);
      co_await asio::async_read(
        socket, asio::dynamic_buffer(response), kAsTuple);
      io.stop();
    },
    asio::detached);
  io.run_for(seconds(5));
  CHECK(StatusOf(response) == 408);
}
