#include "http/HttpTypes.h"

#include <array>
#include <charconv>

namespace apricottrack {

Result<boost::asio::ip::tcp::endpoint>
ParseEndpoint(const std::string& aAddress)
{
  const auto colon = aAddress.rfind(':');
  std::uint16_t port = 0;
  if (colon != std::string::npos) {
    const char* const end = aAddress.data() + aAddress.size();
    const auto parsed = std::from_chars(aAddress.data() + colon + 1, end, port);
    if (parsed.ec != std::errc{} || parsed.ptr != end) {
      port = 0;
    }
  }
  boost::system::error_code error;
  const auto ip = boost::asio::ip::make_address(
    aAddress.substr(0, colon == std::string::npos ? 0 : colon), error);
  // make_address reads up to a zero byte.
  if (error || port == 0 || aAddress.find('\0') != std::string::npos) {
    return Failure(ErrorCode::kInvalidInput,
                   "address.parse",
                   aAddress,
                   "expected IP:port, such as 127.0.0.1:8080");
  }
  return boost::asio::ip::tcp::endpoint(ip, port);
}

Result<void>
Bind(boost::asio::ip::tcp::acceptor& aAcceptor,
     const boost::asio::ip::tcp::endpoint& aEndpoint,
     std::string_view aStep)
{
  using boost::asio::ip::tcp;
  boost::system::error_code error;
  aAcceptor.open(aEndpoint.protocol(), error);
  aAcceptor.set_option(tcp::acceptor::reuse_address(true), error);
  aAcceptor.bind(aEndpoint, error);
  if (!error) {
    aAcceptor.listen(boost::asio::socket_base::max_listen_connections, error);
  }
  if (error) {
    const std::string address =
      aEndpoint.address().to_string() + ":" + std::to_string(aEndpoint.port());
    return Failure(ErrorCode::kInvalidInput, aStep, address, error.message());
  }
  return {};
}

ReceiveState
PeekReceived(boost::asio::ip::tcp::socket& aSocket)
{
  std::array<char, 1> byte{};
  boost::system::error_code error;
  aSocket.non_blocking(true, error);
  const auto size = aSocket.receive(boost::asio::buffer(byte),
                                    boost::asio::ip::tcp::socket::message_peek,
                                    error);
  if (error == boost::asio::error::would_block) {
    return ReceiveState::kNothing;
  }
  return !error && size > 0 ? ReceiveState::kBytes : ReceiveState::kClosed;
}

HttpResponse
JsonResponse(unsigned aStatus, std::string aBody)
{
  HttpResponse response;
  response.result(aStatus);
  response.set(boost::beast::http::field::content_type, "application/json");
  response.body() = std::move(aBody);
  return response;
}

HttpResponse
TextResponse(unsigned aStatus, std::string aBody)
{
  HttpResponse response;
  response.result(aStatus);
  response.set(boost::beast::http::field::content_type, "text/plain");
  response.body() = std::move(aBody);
  return response;
}

} // namespace apricottrack
