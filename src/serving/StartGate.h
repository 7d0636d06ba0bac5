#ifndef APRICOTTRACK_SERVING_STARTGATE_H
#define APRICOTTRACK_SERVING_STARTGATE_H

#include "apricottrack/Time.h"
#include "http/HttpTypes.h"

#include <boost/asio/any_io_executor.hpp>

namespace apricottrack {

/// Holds requests that arrive before a starting node knows the catalog and the
/// targets. Covers a simultaneous restart of all nodes: reading the state takes
/// some hundred milliseconds, and callers retry only a few times.
class StartGate
{
public:
  explicit StartGate(boost::asio::any_io_executor aExecutor)
    : executor(std::move(aExecutor))
  {
  }

  /// Called once a verified catalog and the targets are known, so that a
  /// request can be sent to a target or refused correctly.
  void Open() { this->isOpen = true; }

  bool IsOpen() const { return this->isOpen; }

  /// Returns when the gate is open, within one poll interval, or at `aUntil`;
  /// does not wait if it is open already.
  Task<void> Wait(Instant aUntil);

private:
  boost::asio::any_io_executor executor;
  bool isOpen = false;
};

} // namespace apricottrack

#endif
