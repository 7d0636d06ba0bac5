#include "serving/EventSplitter.h"

#include <algorithm>
#include <charconv>

namespace apricottrack {

namespace {

constexpr std::string_view kEventEnd = "\n\n";

/// Returns the number in an event's id line, or none without such a line.
std::optional<std::int64_t>
ParseEventId(std::string_view aEvent)
{
  constexpr std::string_view kIdField = "id:";
  std::size_t start = 0;
  while (start < aEvent.size()) {
    auto end = aEvent.find('\n', start);
    end = end == std::string_view::npos ? aEvent.size() : end;
    std::string_view line = aEvent.substr(start, end - start);
    if (line.starts_with(kIdField)) {
      line.remove_prefix(kIdField.size());
      line.remove_prefix(std::min(line.find_first_not_of(' '), line.size()));
      std::int64_t id = 0;
      const auto parsed =
        std::from_chars(line.data(), line.data() + line.size(), id);
      if (parsed.ec == std::errc{}) {
        return id;
      }
    }
    start = end + 1;
  }
  return std::nullopt;
}

} // namespace

std::string
EventSplitter::Append(std::string_view aBytes)
{
  this->pendingBytes.append(aBytes);
  std::string newEvents;
  std::size_t start = 0;
  for (;;) {
    const auto end =
      this->pendingBytes.find(kEventEnd, std::max(start, this->searchedBytes));
    if (end == std::string::npos) {
      break;
    }
    const std::string_view event =
      std::string_view(this->pendingBytes).substr(start, end + 2 - start);
    start = end + 2;
    const auto id = ParseEventId(event);
    if (id && this->lastId && *id <= *this->lastId) {
      continue;
    }
    if (id) {
      this->lastId = id;
    }
    ++this->eventCount;
    newEvents.append(event);
  }
  this->pendingBytes.erase(0, start);
  // The last byte may be the first half of an event's end.
  this->searchedBytes = std::max<std::size_t>(this->pendingBytes.size(), 1) - 1;
  return newEvents;
}

} // namespace apricottrack
