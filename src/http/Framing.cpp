#include "http/Framing.h"

#include <algorithm>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/error.hpp>

namespace apricottrack {

namespace http = boost::beast::http;

namespace {

constexpr unsigned kFirstVersionWithCodings = 11;

bool
IsDecimal(std::string_view aText)
{
  return !aText.empty() &&
         std::all_of(aText.begin(), aText.end(), [](char aByte) {
           return aByte >= '0' && aByte <= '9';
         });
}

} // namespace

boost::system::error_code
CheckFraming(const http::fields& aFields, unsigned aVersion)
{
  const auto codings = aFields.count(http::field::transfer_encoding);
  const auto lengths = aFields.count(http::field::content_length);
  if (codings == 0) {
    const bool isValid =
      lengths == 0 ||
      (lengths == 1 && IsDecimal(aFields[http::field::content_length]));
    return isValid ? boost::system::error_code{}
                   : make_error_code(http::error::bad_content_length);
  }
  const bool isChunked =
    codings == 1 &&
    boost::beast::iequals(aFields[http::field::transfer_encoding], "chunked");
  return isChunked && lengths == 0 && aVersion >= kFirstVersionWithCodings
           ? boost::system::error_code{}
           : make_error_code(http::error::bad_transfer_encoding);
}

} // namespace apricottrack
