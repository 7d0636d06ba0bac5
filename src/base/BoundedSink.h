#ifndef APRICOTTRACK_BASE_BOUNDEDSINK_H
#define APRICOTTRACK_BASE_BOUNDEDSINK_H

#include <chrono>
#include <cstdint>
#include <spdlog/details/null_mutex.h>
#include <spdlog/sinks/base_sink.h>
#include <string>

namespace apricottrack {

/// Writes log lines to standard output without ever waiting: a line that the
/// reader has no room for, or that is beyond the rate, is dropped and counted
/// in a line of its own later. Used by one thread.
class BoundedSink final
  : public spdlog::sinks::base_sink<spdlog::details::null_mutex>
{
public:
  struct Options
  {
    /// Lines a second; several per request at the rate of one node.
    double linesPerSecond = 400;
    /// Lines that may come at once.
    double burst = 800;
    int descriptor = 1;
  };

  explicit BoundedSink(Options aOptions);

  std::int64_t Dropped() const { return this->dropped; }

protected:
  void sink_it_(const spdlog::details::log_msg& aMessage) override;
  void flush_() override {}

private:
  bool TakeToken(std::chrono::steady_clock::time_point aNow);
  bool Write(const std::string& aText) const;

  Options options;
  double tokens;
  std::chrono::steady_clock::time_point filledAt;
  std::int64_t dropped = 0;
  std::int64_t untold = 0;
};

} // namespace apricottrack

#endif
