#include "base/BoundedSink.h"

#include <algorithm>
#include <climits>
#include <fmt/format.h>
#include <poll.h>
#include <unistd.h>

namespace apricottrack {

namespace {

/// A writable pipe has room for this many bytes, so that writing them does not
/// block.
constexpr std::size_t kMaxWriteBytes = PIPE_BUF;
/// Reserved for the line that reports dropped lines.
constexpr std::size_t kDropReportBytes = 64;
constexpr std::string_view kTruncationMark = " [truncated]\n";

void
TruncateLine(std::string& aText)
{
  constexpr std::size_t kMaxLineBytes = kMaxWriteBytes - kDropReportBytes;
  if (aText.size() > kMaxLineBytes) {
    aText.resize(kMaxLineBytes - kTruncationMark.size());
    aText.append(kTruncationMark);
  }
}

} // namespace

BoundedSink::BoundedSink(Options aOptions)
  : options(aOptions)
  , tokens(aOptions.burst)
{
}

bool
BoundedSink::TakeToken(std::chrono::steady_clock::time_point aNow)
{
  const std::chrono::duration<double> passed = aNow - this->refilledAt;
  this->refilledAt = aNow;
  this->tokens =
    std::min(this->options.burst,
             this->tokens + passed.count() * this->options.linesPerSecond);
  if (this->tokens < 1) {
    return false;
  }
  this->tokens -= 1;
  return true;
}

bool
BoundedSink::Write(const std::string& aText) const
{
  pollfd pollState{ .fd = this->options.descriptor,
                    .events = POLLOUT,
                    .revents = 0 };
  if (poll(&pollState, 1, 0) != 1 || (pollState.revents & POLLOUT) == 0) {
    return false;
  }
  return write(this->options.descriptor, aText.data(), aText.size()) ==
         static_cast<ssize_t>(aText.size());
}

void
BoundedSink::sink_it_(const spdlog::details::log_msg& aMessage)
{
  spdlog::memory_buf_t buffer;
  this->formatter_->format(aMessage, buffer);
  std::string text(buffer.data(), buffer.size());
  TruncateLine(text);
  if (this->unreportedDrops > 0) {
    text +=
      fmt::format("event=log_lines_dropped count={}\n", this->unreportedDrops);
  }
  if (this->TakeToken(std::chrono::steady_clock::now()) && this->Write(text)) {
    this->unreportedDrops = 0;
    return;
  }
  ++this->droppedLines;
  ++this->unreportedDrops;
}

} // namespace apricottrack
