#ifndef APRICOTTRACK_HTTP_FRAMING_H
#define APRICOTTRACK_HTTP_FRAMING_H

#include <boost/beast/http/fields.hpp>
#include <boost/system/error_code.hpp>

namespace apricottrack {

/// Returns an error unless all receivers agree on where the body of a message
/// ends: by one length, by chunks, or by neither field. A transfer coding other
/// than chunked, a length beside one, and a repeated field have more than one
/// reading, by which a body may hide a further message.
/// `aVersion`: 10 or 11, for HTTP/1.0 and HTTP/1.1.
/// Source: RFC 9112, sections 6.1 to 6.3 and 11.2.
boost::system::error_code
CheckFraming(const boost::beast::http::fields& aFields, unsigned aVersion);

} // namespace apricottrack

#endif
