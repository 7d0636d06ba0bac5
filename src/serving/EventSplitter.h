#ifndef APRICOTTRACK_SERVING_EVENTSPLITTER_H
#define APRICOTTRACK_SERVING_EVENTSPLITTER_H

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace apricottrack {

/// Splits a target's bytes into complete events of an event stream and keeps
/// their order across targets: drops events whose id is not above the last one
/// passed on, and buffers a partial event until the rest arrives.
class EventSplitter
{
public:
  /// `aResumeAfter`: id of the last event that the caller already has.
  explicit EventSplitter(std::optional<std::int64_t> aResumeAfter)
    : lastId(aResumeAfter)
  {
  }

  /// Returns the new complete events, byte for byte as received. An event
  /// without a numeric id always counts as new.
  std::string Append(std::string_view aBytes);

  /// Discards a partial event, because another target continues the stream.
  void DiscardPartialEvent() { this->pendingBytes.clear(); }

  /// Id of the last event that was passed on.
  std::optional<std::int64_t> LastId() const { return this->lastId; }

  /// True while a partial event is buffered.
  bool HasPartialEvent() const { return !this->pendingBytes.empty(); }

  /// Events passed on so far.
  std::int64_t EventCount() const { return this->eventCount; }

private:
  std::string pendingBytes;
  std::optional<std::int64_t> lastId;
  std::int64_t eventCount = 0;
};

} // namespace apricottrack

#endif
