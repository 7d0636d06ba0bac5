#ifndef APRICOTTRACK_NODE_JOURNALTASK_H
#define APRICOTTRACK_NODE_JOURNALTASK_H

#include "apricottrack/KeyValueStore.h"
#include "journal/JournalWriter.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/steady_timer.hpp>
#include <map>
#include <optional>
#include <string>

namespace apricottrack {

/// Owns one journal's writer and makes its calls at the platform's service.
/// Lives as long as its executor runs.
class JournalTask
{
public:
  JournalTask(boost::asio::any_io_executor aExecutor,
              KeyValueStore& aStore,
              JournalWriter::Options aOptions);

  void Start();

  /// Appends an intent; done at its verdict or at the deadline.
  Task<JournalResolution> Append(JournalIntent aIntent, Instant aDeadline);

  /// Appends an end. Returns once it is written or after the wait; in the
  /// latter case it is still written as soon as that can be.
  Task<bool> End(JournalEnd aEnd, Duration aWait);

  std::size_t PendingEnds() const { return this->writer.PendingEnds(); }

private:
  struct Waiter
  {
    boost::asio::steady_timer timer;
    std::optional<JournalResolution> resolution;
    bool endWritten = false;
  };

  Task<void> Run();
  Task<void> Perform(JournalCall aCall);
  Task<void> Sleep();
  void Deliver();

  boost::asio::any_io_executor executor;
  KeyValueStore& store;
  JournalWriter writer;
  boost::asio::steady_timer wake;
  /// By nonce; the waiting coroutine owns the waiter.
  std::map<std::string, Waiter*> intentWaiters;
  std::map<std::string, Waiter*> endWaiters;
};

} // namespace apricottrack

#endif
