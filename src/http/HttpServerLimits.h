#ifndef APRICOTTRACK_HTTP_HTTPSERVERLIMITS_H
#define APRICOTTRACK_HTTP_HTTPSERVERLIMITS_H

#include "apricottrack/Time.h"

#include <cstddef>
#include <cstdint>

namespace apricottrack {

/// Limits on the size and duration of callers' requests. They keep slow or
/// faulty callers from exhausting memory and connections.
struct HttpServerLimits
{
  /// Maximum size of a request's header.
  std::uint32_t headerBytes = 16 * 1024;
  /// Maximum size of a request's body.
  std::uint64_t bodyBytes = std::uint64_t{ 1024 } * 1024;
  /// Maximum number of open connections; further ones are closed.
  std::size_t connections = 4096;
  /// Maximum time that a connection waits for its next request. Responses
  /// announce a shorter time, in which callers may reuse it.
  Duration idleTimeout = seconds(30);
  /// Maximum time to receive a complete request, from its first byte.
  Duration receiveTimeout = seconds(30);
  /// Maximum time for one write to the caller.
  Duration sendTimeout = seconds(15);
};

} // namespace apricottrack

#endif
