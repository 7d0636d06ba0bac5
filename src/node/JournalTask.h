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

/// Runs one journal: owns its JournalWriter and makes the writer's calls to
/// the key-value service. Must outlive the work of its executor.
class JournalTask
{
public:
  JournalTask(boost::asio::any_io_executor aExecutor,
              KeyValueStore& aStore,
              JournalWriter::Options aOptions);

  void Start();

  /// Appends an intent. Returns its verdict, or kUnavailable if there is none
  /// by the deadline.
  Task<JournalResolution> AppendIntent(JournalIntent aIntent,
                                       Instant aDeadline);

  /// Appends an end. Returns true once it is written, or false after
  /// `aTimeout`; the end then stays queued until it is written.
  Task<bool> AppendEnd(JournalEnd aEnd, Duration aTimeout);

  /// Number of ends that are not written yet.
  std::size_t PendingEnds() const { return this->writer.PendingEnds(); }

private:
  /// A coroutine that waits in AppendIntent or AppendEnd. Its timer expires at
  /// the end of the wait and is cancelled on a result.
  struct Waiter
  {
    boost::asio::steady_timer timer;
    std::optional<JournalResolution> resolution;
    bool endWritten = false;
  };

  Task<void> Run();
  Task<void> MakeCall(JournalCall aCall);
  Task<void> WaitForWork();
  void DeliverResults();

  boost::asio::any_io_executor executor;
  KeyValueStore& store;
  JournalWriter writer;
  /// Cancelled to end WaitForWork when there is new work.
  boost::asio::steady_timer wakeTimer;
  /// Keyed by nonce; the waiting coroutine owns its waiter.
  std::map<std::string, Waiter*> intentWaiters;
  std::map<std::string, Waiter*> endWaiters;
};

} // namespace apricottrack

#endif
