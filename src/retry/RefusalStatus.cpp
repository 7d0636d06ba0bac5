#include "retry/RefusalStatus.h"

#include "http/HttpTypes.h"

namespace apricottrack {

bool
StatesNotRun(unsigned aStatus)
{
  namespace http = boost::beast::http;
  switch (http::int_to_status(aStatus)) {
    case http::status::request_timeout:
    case http::status::misdirected_request:
    case http::status::too_many_requests:
    case http::status::service_unavailable:
      return true;
    default:
      return false;
  }
}

} // namespace apricottrack
