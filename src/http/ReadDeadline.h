#ifndef APRICOTTRACK_HTTP_READDEADLINE_H
#define APRICOTTRACK_HTTP_READDEADLINE_H

#include "apricottrack/Time.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <memory>

namespace apricottrack {

/// Cancels the reads of a socket that are pending at a deadline. Unlike the
/// timeout of a Beast stream it does not close the socket: a response can still
/// be sent, and bytes that arrived before this process noticed the deadline can
/// still be read. The socket must outlive the object.
class ReadDeadline
{
public:
  ReadDeadline(boost::asio::ip::tcp::socket& aSocket, Duration aTimeout);
  ~ReadDeadline() { *this->isActive = false; }
  ReadDeadline(const ReadDeadline&) = delete;
  ReadDeadline& operator=(const ReadDeadline&) = delete;

  bool HasExpired() const { return this->hasExpired; }

private:
  boost::asio::steady_timer timer;
  bool hasExpired = false;
  /// False once this object is gone; its timer's handler may be queued then.
  std::shared_ptr<bool> isActive = std::make_shared<bool>(true);
};

} // namespace apricottrack

#endif
