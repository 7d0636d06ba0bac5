#ifndef APRICOTTRACK_TESTS_TARGETRESPONSES_H
#define APRICOTTRACK_TESTS_TARGETRESPONSES_H

#include "ServingHarness.h"

/// Bytes that scripted targets send.
namespace apricottrack {

inline std::string
StreamHead(const std::string& aAttempt)
{
  return fmt::format("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
                     "X-Signed: 1\r\nX-Attempt: {}\r\n"
                     "Transfer-Encoding: chunked\r\n\r\n",
                     aAttempt);
}

inline std::string
Chunk(const std::string& aText)
{
  return fmt::format("{:x}\r\n{}\r\n", aText.size(), aText);
}

inline std::string
Event(int aId)
{
  return Chunk(fmt::format("id: {}\ndata: x\n\n", aId));
}

inline std::string
PlainResponse(int aStatus,
              const std::string& aHeaders,
              const std::string& aBody)
{
  return fmt::format("HTTP/1.1 {} X\r\n{}Content-Length: {}\r\n\r\n{}",
                     aStatus,
                     aHeaders,
                     aBody.size(),
                     aBody);
}

/// Answers the first connection of any target with events 1 to 3 and closes it,
/// and the second with `aResumed`.
inline ServingHarness::Script
BreakThenAnswer(std::shared_ptr<int> aCalls, std::string aResumed)
{
  return [aCalls, aResumed](TargetConnection& aConnection, int) -> Task<void> {
    co_await aConnection.ReadRequest();
    if ((*aCalls)++ == 0) {
      co_await aConnection.Write(StreamHead("a") + Event(1) + Event(2) +
                                 Event(3));
    } else {
      co_await aConnection.Write(aResumed);
    }
  };
}

} // namespace apricottrack

#endif
