#include "http/ReadDeadline.h"

namespace apricottrack {

ReadDeadline::ReadDeadline(boost::asio::ip::tcp::socket& aSocket,
                           Duration aTimeout)
  : timer(aSocket.get_executor(), aTimeout)
{
  this->timer.async_wait([this, &aSocket, active = this->isActive](
                           const boost::system::error_code& aError) {
    if (!aError && *active) {
      this->hasExpired = true;
      boost::system::error_code ignored;
      aSocket.cancel(ignored);
    }
  });
}

} // namespace apricottrack
