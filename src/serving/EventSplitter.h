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
  void DiscardPartialEvent()
  {
    this->pendingBytes.clear();
    this->searchedBytes = 0;
  }

  /// Id of the last event that was passed on.
  std::optional<std::int64_t> LastId() const { return this->lastId; }

  /// True if the partial event exceeds the size limit; the target then sends
  /// no event stream.
  bool IsEventTooLarge() const
  {
    return this->pendingBytes.size() > kMaxEventBytes;
  }

  /// True while a partial event is buffered.
  bool HasPartialEvent() const { return !this->pendingBytes.empty(); }

  /// Events passed on so far.
  std::int64_t EventCount() const { return this->eventCount; }

private:
  /// Bounds the memory that a target can use up by an event without end.
  static constexpr std::size_t kMaxEventBytes = std::size_t{ 256 } * 1024;

  std::string pendingBytes;
  /// Bytes of `pendingBytes` that were searched for the end of an event.
  std::size_t searchedBytes = 0;
  std::optional<std::int64_t> lastId;
  std::int64_t eventCount = 0;
};

} // namespace apricottrack

#endif
