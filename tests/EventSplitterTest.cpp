#include "serving/EventSplitter.h"

#include <catch2/catch.hpp>
#include <random>

using namespace apricottrack;

namespace {

std::string
EventText(int aId)
{
  return "id: " + std::to_string(aId) + "\ndata: x" + std::to_string(aId) +
         "\n\n";
}

} // namespace

TEST_CASE("EventSplitter given partial events returns only complete ones")
{
  EventSplitter splitter(std::nullopt);
  CHECK(splitter.Append("id: 1\nda").empty());
  CHECK(splitter.HasPartialEvent());
  CHECK(splitter.Append("ta: x1\n\nid: 2\n") == EventText(1));
  CHECK(splitter.LastId() == 1);
}

TEST_CASE("EventSplitter drops events that a previous target already sent")
{
  EventSplitter splitter(std::nullopt);
  CHECK(splitter.Append(EventText(1) + EventText(2) + "id: 3\nda") ==
        EventText(1) + EventText(2));
  splitter.DiscardPartialEvent();
  CHECK(splitter.Append(EventText(2) + EventText(3)) == EventText(3));
  CHECK(splitter.EventCount() == 3);
}

TEST_CASE(
  "EventSplitter of a resumed stream starts after the caller's last event")
{
  EventSplitter splitter(12);
  CHECK(splitter.Append(EventText(12) + EventText(13)) == EventText(13));
}

TEST_CASE(
  "EventSplitter returns each event once and in order for random chunks "
  "and interruptions")
{
  std::mt19937 random(7);
  for (int round = 0; round < 200; ++round) {
    EventSplitter splitter(std::nullopt);
    std::string returnedEvents;
    for (int nextId = 1; nextId <= 40;) {
      // The next target resumes at the last event or up to two events earlier.
      const auto lastId = static_cast<int>(splitter.LastId().value_or(0));
      const int firstId = std::max(1, lastId - static_cast<int>(random() % 3));
      std::string bytes;
      for (int id = firstId; id <= 40; ++id) {
        bytes += EventText(id);
      }
      bytes.resize(random() % (bytes.size() + 1));
      while (!bytes.empty()) {
        const std::size_t size = 1 + random() % 50;
        returnedEvents += splitter.Append(bytes.substr(0, size));
        bytes.erase(0, size);
      }
      splitter.DiscardPartialEvent();
      nextId = static_cast<int>(splitter.LastId().value_or(0)) + 1;
    }
    std::string expected;
    for (int id = 1; id <= 40; ++id) {
      expected += EventText(id);
    }
    REQUIRE(returnedEvents == expected);
  }
}

TEST_CASE("EventSplitter reports an event without end")
{
  EventSplitter splitter(std::nullopt);
  const std::string filler(std::size_t{ 64 } * 1024, 'x');
  for (int i = 0; i < 4; ++i) {
    CHECK(splitter.Append(filler).empty());
    CHECK_FALSE(splitter.IsEventTooLarge());
  }
  CHECK(splitter.Append("x").empty());
  CHECK(splitter.IsEventTooLarge());
}

TEST_CASE("EventSplitter finds an event's end that is split between two parts")
{
  EventSplitter splitter(std::nullopt);
  CHECK(splitter.Append("id: 1\n").empty());
  CHECK(splitter.Append("\nid: 2\n") == "id: 1\n\n");
  CHECK(splitter.Append("\n") == "id: 2\n\n");
}
