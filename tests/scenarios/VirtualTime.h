#ifndef APRICOTTRACK_TESTS_SCENARIOS_VIRTUALTIME_H
#define APRICOTTRACK_TESTS_SCENARIOS_VIRTUALTIME_H

#include "apricottrack/Time.h"

#include <functional>
#include <queue>
#include <tuple>

namespace apricottrack::scenarios {

/// A virtual clock with a queue of events. Runs them in the order of their
/// times, and events of the same time in the order in which they were added.
class VirtualTime
{
public:
  Instant Now() const { return this->now; }
  /// The virtual time as wall-clock time.
  UnixMillis Wall() const
  {
    return std::chrono::duration_cast<milliseconds>(
             this->now.time_since_epoch())
      .count();
  }

  void After(Duration aDelay, std::function<void()> aRun)
  {
    this->events.push({ this->now + aDelay, this->order++, std::move(aRun) });
  }

  /// Runs all events up to and including a time, then sets the clock to it.
  void RunUntil(Instant aEnd)
  {
    while (!this->events.empty() && this->events.top().at <= aEnd) {
      Event event = this->events.top();
      this->events.pop();
      this->now = event.at;
      event.run();
    }
    this->now = aEnd;
  }

private:
  struct Event
  {
    Instant at;
    std::uint64_t order = 0;
    std::function<void()> run;
    bool operator<(const Event& aOther) const
    {
      return std::tie(aOther.at, aOther.order) <
             std::tie(this->at, this->order);
    }
  };

  Instant now{ seconds(1000) };
  std::uint64_t order = 0;
  std::priority_queue<Event> events;
};

} // namespace apricottrack::scenarios

#endif
