#ifndef APRICOTTRACK_SERVING_EVENTSPLITTER_H
#define APRICOTTRACK_SERVING_EVENTSPLITTER_H

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace apricottrack {

/// Cuts a target's bytes into whole events of an event stream and keeps them
/// in order across targets: an event whose id was passed on before is left
/// out, and part of an event is held back until the rest has come.
class EventSplitter
{
public:
  /// `aResumeAfter`: the caller has the stream up to this event.
  explicit EventSplitter(std::optional<std::int64_t> aResumeAfter)
    : lastId(aResumeAfter)
  {
  }

  /// The whole events that are new, as received.
  std::string Append(std::string_view aBytes);

  /// Another target continues: a part of an event is forgotten.
  void StartOver() { this->pending.clear(); }

  /// The last event that was passed on.
  std::optional<std::int64_t> LastId() const { return this->lastId; }

  /// Part of an event is held back.
  bool HasPart() const { return !this->pending.empty(); }

  std::int64_t EventCount() const { return this->count; }

private:
  std::string pending;
  std::optional<std::int64_t> lastId;
  std::int64_t count = 0;
};

} // namespace apricottrack

#endif
