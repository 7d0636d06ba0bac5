#include "http/HopByHop.h"

#include <boost/beast/core/string.hpp>
#include <boost/beast/http/rfc7230.hpp>

namespace apricottrack {

namespace http = boost::beast::http;

bool
IsHopByHop(std::string_view aName)
{
  static constexpr std::string_view kNames[] = {
    "Connection",       "Keep-Alive", "Proxy-Authenticate",
    "Proxy-Connection", "TE",         "Trailer",
    "Upgrade",          "Expect",     "Transfer-Encoding",
    "Content-Length",   "Host",       "Proxy-Authorization"
  };
  for (const std::string_view name : kNames) {
    if (boost::beast::iequals(name, aName)) {
      return true;
    }
  }
  return false;
}

bool
IsListedInConnectionHeader(std::string_view aConnectionHeader,
                           std::string_view aName)
{
  return !aConnectionHeader.empty() &&
         boost::beast::http::token_list{ aConnectionHeader }.exists(aName);
}

void
CopyLengthOfHead(const HttpRequest& aRequest,
                 const HttpResponse& aFrom,
                 HttpResponse& aTo)
{
  const auto length = aFrom.find(http::field::content_length);
  if (aRequest.method() == http::verb::head && length != aFrom.end()) {
    aTo.set(http::field::content_length, length->value());
  }
}

} // namespace apricottrack
