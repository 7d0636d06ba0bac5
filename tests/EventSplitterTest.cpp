#include "serving/EventSplitter.h"

#include <catch2/catch.hpp>
#include <random>

using namespace apricottrack;

namespace {

std::string
Event(int aId)
{
  return "id: " + std::to_string(aId) + "\ndata: x" + std::to_string(aId) +
         "\n\n";
}

} // namespace

TEST_CASE("EventSplitter given partial events returns only complete ones")
{
  EventSplitter events(std::nullopt);
  CHECK(events.Append("id: 1\nda").empty());
  CHECK(events.HasPartialEvent());
  CHECK(events.Append("ta: x1\n\nid: 2\n") == Event(1));
  CHECK(events.LastId() == 1);
}

TEST_CASE("EventSplitter drops events that a previous target already sent")
{
  EventSplitter events(std::nullopt);
  CHECK(events.Append(Event(1) + Event(2) + "id: 3\nda") ==
        Event(1) + Event(2));
  events.DiscardPartialEvent();
  CHECK(events.Append(Event(2) + Event(3)) == Event(3));
  CHECK(events.EventCount() == 3);
}

TEST_CASE(
  "EventSplitter of a resumed stream starts after the caller's last event")
{
  EventSplitter events(12);
  CHECK(events.Append(Event(12) + Event(13)) == Event(13));
}

TEST_CASE(
  "EventSplitter returns each event once and in order for random chunks "
  "and interruptions")
{
  std::mt19937 random(7);
  for (int round = 0; round < 200; ++round) {
    EventSplitter events(std::nullopt);
    std::string passed;
    for (int next = 1; next <= 40;) {
      // The next target resumes at the last event or up to two events earlier.
      const auto last = static_cast<int>(events.LastId().value_or(0));
      const int from = std::max(1, last - static_cast<int>(random() % 3));
      std::string bytes;
      for (int id = from; id <= 40; ++id) {
        bytes += Event(id);
      }
      bytes.resize(random() % (bytes.size() + 1));
      while (!bytes.empty()) {
        const std::size_t size = 1 + random() % 50;
        passed += events.Append(bytes.substr(0, size));
        bytes.erase(0, size);
      }
      events.DiscardPartialEvent();
      next = static_cast<int>(events.LastId().value_or(0)) + 1;
    }
    std::string expected;
    for (int id = 1; id <= 40; ++id) {
      expected += Event(id);
    }
    REQUIRE(passed == expected);
  }
}
