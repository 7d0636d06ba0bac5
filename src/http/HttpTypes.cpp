#include "http/HttpTypes.h"

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
  if (error || port == 0) {
    return Failure(ErrorCode::kInvalidInput,
                   "address.parse",
                   aAddress,
                   "expected IP:port, such as 127.0.0.1:8080");
  }
  return boost::asio::ip::tcp::endpoint(ip, port);
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

} // namespace apricottrack
