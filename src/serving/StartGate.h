#ifndef APRICOTTRACK_SERVING_STARTGATE_H
#define APRICOTTRACK_SERVING_STARTGATE_H

#include "apricottrack/Time.h"
#include "http/HttpTypes.h"

#include <boost/asio/any_io_executor.hpp>

namespace apricottrack {

/// Lets requests wait that come before a node which has just started knows
/// the catalog and the targets. Answers the restart of all nodes at once: what
/// is missing takes some hundred milliseconds to read, and each caller has but
/// few tries.
class StartGate
{
public:
  explicit StartGate(boost::asio::any_io_executor aExecutor)
    : executor(std::move(aExecutor))
  {
  }

  /// The node knows enough to serve, or to refuse with reason.
  void Open() { this->isOpen = true; }

  bool IsOpen() const { return this->isOpen; }

  /// Returns at once when the gate is open, else when it opens, at `aUntil` at
  /// the latest.
  Task<void> Wait(Instant aUntil);

private:
  boost::asio::any_io_executor executor;
  bool isOpen = false;
};

} // namespace apricottrack

#endif
