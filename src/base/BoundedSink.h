#ifndef APRICOTTRACK_BASE_BOUNDEDSINK_H
#define APRICOTTRACK_BASE_BOUNDEDSINK_H

#include <chrono>
#include <cstdint>
#include <spdlog/details/null_mutex.h>
#include <spdlog/sinks/base_sink.h>
#include <string>

namespace apricottrack {

/// Log sink that writes to standard output and never blocks, so that a slow
/// reader of the log cannot stall the node. A line that exceeds the rate, or
/// that the pipe has no room for, is dropped; one that is longer than a pipe
/// takes without blocking is truncated. The next line written is followed
/// by a line with the number of dropped ones. Used by one thread.
class BoundedSink final
  : public spdlog::sinks::base_sink<spdlog::details::null_mutex>
{
public:
  struct Options
  {
    /// Sustained rate, in lines per second. It allows several lines per request
    /// at the request rate of one node.
    double linesPerSecond = 400;
    /// Size of the token bucket, in lines.
    double burst = 800;
    /// File descriptor to write to; 1 is standard output.
    int descriptor = 1;
  };

  explicit BoundedSink(Options aOptions);

  /// Number of lines dropped since the start.
  std::int64_t DroppedLines() const { return this->droppedLines; }

protected:
  void sink_it_(const spdlog::details::log_msg& aMessage) override;
  void flush_() override {}

private:
  /// Refills the token bucket and takes a token; false if it is empty.
  bool TakeToken(std::chrono::steady_clock::time_point aNow);
  /// Writes if the descriptor is writable; false if the text was not written
  /// as a whole.
  bool Write(const std::string& aText) const;

  Options options;
  double tokens;
  std::chrono::steady_clock::time_point refilledAt;
  std::int64_t droppedLines = 0;
  /// Dropped lines that no written line has reported yet.
  std::int64_t unreportedDrops = 0;
};

} // namespace apricottrack

#endif
