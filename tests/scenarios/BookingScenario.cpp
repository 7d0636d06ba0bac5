/// Booking scenarios: the production journal writer and retry policy run under
/// faults with a fake platform, a fake target and callers that retry at other
/// nodes.

#include "journal/JournalWriter.h"
#include "retry/RetryBudget.h"
#include "retry/RetryPolicy.h"
#include "scenarios/FakeStore.h"
#include "scenarios/Scenario.h"

#include <fmt/format.h>
#include <memory>

namespace apricottrack::scenarios {

namespace {

/// Interval at which nodes run their journal writer.
constexpr Duration kWriterInterval = milliseconds(5);
/// Deadline of an intent.
constexpr Duration kIntentTimeout = seconds(3);
/// Time that the target needs for a booking.
constexpr Duration kWorkTime = milliseconds(20);
constexpr Duration kAnswerTimeout = seconds(2);
constexpr Duration kCallerTimeout = seconds(8);
constexpr int kCallerAttempts = 5;

/// One execution of a booking at the target.
struct Run
{
  std::string key;
  std::string nonce;
};

/// One outcome that was reported to a caller.
struct ReportedOutcome
{
  std::string key;
  std::string nonce;
  Outcome outcome;
};

/// The fake target with its faults and executions.
struct Target
{
  bool dropsAnswers = false;
  bool answersLate = false;
  bool refusesConnections = false;
  std::vector<Run> runs;
};

/// Reports the outcome of a booking to its caller.
using ResponseCallback = std::function<void(Outcome, std::string aNonce)>;

class World;

/// A node that handles bookings: records the intent, makes attempts and records
/// the end.
class BookingNode
{
public:
  BookingNode(World& aWorld, int aIndex);

  void HandleBooking(std::string aKey, ResponseCallback aRespond);
  void RunWriter();

  bool dead = false;
  Instant pausedUntil;

  bool IsRunning(Instant aNow) const
  {
    return !this->dead && aNow >= this->pausedUntil;
  }

private:
  struct Request
  {
    std::string key;
    std::string nonce;
    ResponseCallback respond;
    int attempts = 0;
    bool mayHaveRun = false;
    Instant deadline;
  };
  using RequestPtr = std::shared_ptr<Request>;

  void RunOnNode(std::function<void()> aRun);
  void MakeJournalCall(JournalCall aCall);
  void DeliverResolutions();
  void OnVerdict(const RequestPtr& aRequest, const JournalResolution& aResult);
  void Attempt(const RequestPtr& aRequest);
  void OnAttemptEnd(const RequestPtr& aRequest, AttemptEnd aEnd);
  void Finish(const RequestPtr& aRequest, Outcome aOutcome);

  World& world;
  int index;
  JournalWriter writer;
  RetryBudget budget{ RetryBudget::Options{} };
  std::map<std::string, RequestPtr> waiting;
  int nextNonce = 0;
};

/// The store, the target, the nodes and the callers of one run, with the
/// checker of the outcomes.
class World
{
public:
  explicit World(const Scenario& aScenario)
    : scenario(aScenario)
    , store(this->time, aScenario.seed)
    , random(aScenario.seed * 7919)
    , start(this->time.Now())
  {
    if (aScenario.naiveVariant == "retry_on_error") {
      this->policy = std::make_unique<RetryOnErrorPolicy>();
    } else {
      this->policy = std::make_unique<SafeRetryPolicy>();
    }
    for (int i = 0; i < aScenario.nodes; ++i) {
      this->nodes.push_back(std::make_unique<BookingNode>(*this, i));
    }
  }

  Findings Run();

  const Scenario& scenario;
  VirtualTime time;
  FakeStore store;
  std::mt19937_64 random;
  Instant start;
  Target target;
  std::unique_ptr<RetryPolicy> policy;
  std::vector<std::unique_ptr<BookingNode>> nodes;
  /// All outcomes that were reported to callers, in the order of the reports.
  std::vector<ReportedOutcome> reported;

private:
  void Schedule(const Fault& aFault);
  void Apply(const Fault& aFault, bool aOn);
  void SubmitBooking(const std::string& aKey, int aAttempt);
  void Check();
  void RunWriters();

  Findings findings;
  std::map<std::string, Outcome> lastReported;
};

BookingNode::BookingNode(World& aWorld, int aIndex)
  : world(aWorld)
  , index(aIndex)
  , writer(JournalWriter::Options{ .prefix = "j/", .segmentBytes = 8192 })
{
}

/// Runs a function on this node: not at all if the node is dead, and after the
/// end of the pause if it is paused.
void
BookingNode::RunOnNode(std::function<void()> aRun)
{
  if (this->dead) {
    return;
  }
  const Instant now = this->world.time.Now();
  if (now < this->pausedUntil) {
    this->world.time.After(
      this->pausedUntil - now,
      [this, run = std::move(aRun)] { this->RunOnNode(run); });
    return;
  }
  aRun();
}

void
BookingNode::HandleBooking(std::string aKey, ResponseCallback aRespond)
{
  this->RunOnNode([this, key = std::move(aKey), respond = std::move(aRespond)] {
    auto request = std::make_shared<Request>();
    request->key = key;
    request->nonce = fmt::format("{}-{}", this->index, this->nextNonce++);
    request->respond = respond;
    request->deadline = this->world.time.Now() + kCallerTimeout;
    if (this->world.scenario.naiveVariant == "no_journal") {
      this->Attempt(request);
      return;
    }
    JournalIntent intent;
    intent.key = key;
    intent.nonce = request->nonce;
    intent.fingerprint = key;
    intent.at = this->world.time.Wall();
    this->waiting[request->nonce] = request;
    this->writer.AddIntent(intent, this->world.time.Now() + kIntentTimeout);
  });
}

void
BookingNode::RunWriter()
{
  const Instant now = this->world.time.Now();
  if (!this->IsRunning(now)) {
    return;
  }
  this->writer.Expire(now);
  if (auto call = this->writer.NextCall(now)) {
    this->MakeJournalCall(std::move(*call));
  }
  this->DeliverResolutions();
}

void
BookingNode::MakeJournalCall(JournalCall aCall)
{
  const auto now = [this] { return this->world.time.Now(); };
  FakeStore& store = this->world.store;
  switch (aCall.kind) {
    case JournalCall::Kind::kLoad:
      store.List(aCall.key, [this, now](Result<std::vector<KeyValue>> aReply) {
        this->RunOnNode([this, now, aReply] {
          this->writer.OnLoaded(aReply, now());
          this->DeliverResolutions();
        });
      });
      break;
    case JournalCall::Kind::kRead:
      store.Get(aCall.key, [this, now](Result<KeyValue> aReply) {
        this->RunOnNode([this, now, aReply] {
          this->writer.OnRead(aReply, now());
          this->DeliverResolutions();
        });
      });
      break;
    case JournalCall::Kind::kSwap:
      store.CompareAndSwap(std::move(aCall.swap),
                           [this, now](Result<Revision> aReply) {
                             this->RunOnNode([this, now, aReply] {
                               this->writer.OnSwapped(aReply, now());
                               this->DeliverResolutions();
                             });
                           });
      break;
  }
}

void
BookingNode::DeliverResolutions()
{
  for (const JournalResolution& result : this->writer.TakeResolutions()) {
    const auto found = this->waiting.find(result.nonce);
    if (found != this->waiting.end()) {
      const RequestPtr request = found->second;
      this->waiting.erase(found);
      this->OnVerdict(request, result);
    }
  }
  this->writer.TakeWrittenEnds();
}

void
BookingNode::OnVerdict(const RequestPtr& aRequest,
                       const JournalResolution& aResult)
{
  switch (aResult.verdict) {
    case IntentVerdict::kRun:
      this->Attempt(aRequest);
      break;
    case IntentVerdict::kDuplicate: {
      const auto& end = aResult.entry->end;
      aRequest->respond(end ? end->outcome : Outcome::kUnknown,
                        aResult.entry->intent.nonce);
      break;
    }
    case IntentVerdict::kKeyReused:
    case IntentVerdict::kUnavailable:
      if (this->world.scenario.naiveVariant == "run_unrecorded") {
        this->Attempt(aRequest);
      } else {
        aRequest->respond(Outcome::kNotRun, aRequest->nonce);
      }
      break;
  }
}

void
BookingNode::Attempt(const RequestPtr& aRequest)
{
  ++aRequest->attempts;
  Target& target = this->world.target;
  const auto end = [this, aRequest](AttemptEnd aEnd) {
    this->RunOnNode(
      [this, aRequest, aEnd] { this->OnAttemptEnd(aRequest, aEnd); });
  };
  VirtualTime& time = this->world.time;
  if (target.refusesConnections) {
    time.After(milliseconds(1), [end] { end(AttemptEnd::kNotSent); });
    return;
  }
  time.After(milliseconds(1), [&target, &time, aRequest, end] {
    target.runs.push_back({ aRequest->key, aRequest->nonce });
    if (target.dropsAnswers) {
      time.After(kWorkTime, [end] { end(AttemptEnd::kNoAnswer); });
    } else if (target.answersLate) {
      time.After(kAnswerTimeout, [end] { end(AttemptEnd::kNoAnswer); });
    } else {
      time.After(kWorkTime, [end] { end(AttemptEnd::kAnswered); });
    }
  });
}

void
BookingNode::OnAttemptEnd(const RequestPtr& aRequest, AttemptEnd aEnd)
{
  RetryState retryState;
  retryState.end = aEnd;
  retryState.idempotent = false;
  retryState.attempts = aRequest->attempts;
  retryState.mayHaveRun = aRequest->mayHaveRun;
  retryState.deadline = aRequest->deadline;
  aRequest->mayHaveRun = aRequest->mayHaveRun || !ProvesNotRun(aEnd);
  const RetryDecision decision = this->world.policy->Decide(
    retryState, this->budget, this->world.time.Now());
  if (decision.action == RetryAction::kRetry) {
    this->Attempt(aRequest);
  } else {
    this->Finish(aRequest, decision.outcome);
  }
}

void
BookingNode::Finish(const RequestPtr& aRequest, Outcome aOutcome)
{
  JournalEnd end;
  end.key = aRequest->key;
  end.nonce = aRequest->nonce;
  end.outcome = aOutcome;
  end.at = this->world.time.Wall();
  if (this->world.scenario.naiveVariant != "no_journal") {
    this->writer.AddEnd(end);
  }
  aRequest->respond(aOutcome, aRequest->nonce);
}

void
World::Apply(const Fault& aFault, bool aOn)
{
  if (aFault.what == "kill_node" && aOn) {
    this->nodes[std::stoul(aFault.where)]->dead = true;
  } else if (aFault.what == "pause_node" && aOn) {
    this->nodes[std::stoul(aFault.where)]->pausedUntil =
      this->time.Now() + aFault.activeDuration;
  } else if (aFault.what == "platform_down") {
    this->store.down = aOn;
  } else if (aFault.what == "platform_slow") {
    this->store.slow = aOn;
  } else if (aFault.what == "lose_replies") {
    this->store.losesReplies = aOn;
  } else if (aFault.what == "drop_answers") {
    this->target.dropsAnswers = aOn;
  } else if (aFault.what == "late_answers") {
    this->target.answersLate = aOn;
  } else if (aFault.what == "refuse_connections") {
    this->target.refusesConnections = aOn;
  }
}

void
World::Schedule(const Fault& aFault)
{
  this->time.After(aFault.at, [this, aFault] { this->Apply(aFault, true); });
  this->time.After(aFault.at + aFault.activeDuration,
                   [this, aFault] { this->Apply(aFault, false); });
}

/// Sends a booking to a random node. After a timeout, or 1 s after any outcome
/// but kAnswered, the caller retries with the same key at a random node.
void
World::SubmitBooking(const std::string& aKey, int aAttempt)
{
  if (aAttempt >= kCallerAttempts) {
    return;
  }
  const auto responded = std::make_shared<bool>(false);
  BookingNode& node = *this->nodes[this->random() % this->nodes.size()];
  const auto retry = [this, aKey, aAttempt] {
    this->SubmitBooking(aKey, aAttempt + 1);
  };
  node.HandleBooking(aKey, [=, this](Outcome aOutcome, std::string aNonce) {
    if (*responded) {
      return;
    }
    *responded = true;
    this->reported.push_back({ aKey, aNonce, aOutcome });
    this->lastReported[aKey] = aOutcome;
    if (aOutcome != Outcome::kAnswered) {
      this->time.After(seconds(1), retry);
    }
  });
  this->time.After(kCallerTimeout, [responded, retry] {
    if (!*responded) {
      *responded = true;
      retry();
    }
  });
}

void
World::RunWriters()
{
  for (const auto& node : this->nodes) {
    node->RunWriter();
  }
  this->time.After(kWriterInterval, [this] { this->RunWriters(); });
}

Findings
World::Run()
{
  for (const Fault& fault : this->scenario.faults) {
    this->Schedule(fault);
  }
  std::uniform_real_distribution<double> when(0,
                                              ToSeconds(this->scenario.length));
  for (int i = 0; i < this->scenario.bookings; ++i) {
    const std::string key = fmt::format("booking-{}", i);
    this->time.After(FromSeconds(when(this->random)),
                     [this, key] { this->SubmitBooking(key, 0); });
  }
  this->RunWriters();
  // Leaves time for all attempts of the callers: five with a timeout of 8 s.
  // Faults end before the length does.
  this->time.RunUntil(this->start + this->scenario.length + seconds(60));
  this->Check();
  return this->findings;
}

void
World::Check()
{
  std::map<std::string, int> runs;
  std::map<std::string, int> runsByNonce;
  for (const apricottrack::scenarios::Run& run : this->target.runs) {
    ++runs[run.key];
    ++runsByNonce[run.nonce];
  }
  for (const auto& [key, count] : runs) {
    if (count > 1) {
      ++this->findings.ranTwice;
      this->findings.violations.push_back("ran_twice " + key);
    }
  }
  for (const ReportedOutcome& reported : this->reported) {
    if (reported.outcome == Outcome::kNotRun &&
        runsByNonce[reported.nonce] > 0) {
      ++this->findings.falseNotRun;
      this->findings.violations.push_back("false_not_run " + reported.key);
    }
    if (reported.outcome == Outcome::kAnswered && runs[reported.key] == 0) {
      this->findings.violations.push_back("false_answer " + reported.key);
    }
  }
  JournalIndex index;
  for (const auto& [key, value] : this->store.Values()) {
    index.Apply(value.value);
  }
  index.ForEach([&](const JournalEntry& aEntry) {
    const int ran = runsByNonce[aEntry.intent.nonce];
    const bool recordedAsRun =
      aEntry.end && aEntry.end->outcome == Outcome::kAnswered;
    const bool recordedAsNotRun =
      aEntry.end && aEntry.end->outcome == Outcome::kNotRun;
    if ((recordedAsRun && ran == 0) || (recordedAsNotRun && ran > 0)) {
      this->findings.violations.push_back("false_record " + aEntry.intent.key);
    }
  });
  for (const auto& [key, count] : runs) {
    if (this->scenario.naiveVariant.empty() && index.Find(key) == nullptr) {
      this->findings.violations.push_back("unrecorded_run " + key);
    }
  }
  this->findings.submitted = this->scenario.bookings;
  for (const auto& [key, outcome] : this->lastReported) {
    this->findings.answered += outcome == Outcome::kAnswered ? 1 : 0;
    this->findings.notRun += outcome == Outcome::kNotRun ? 1 : 0;
    this->findings.unknown += outcome == Outcome::kUnknown ? 1 : 0;
  }
  this->findings.writes = this->store.writes;
  this->findings.reads = this->store.reads;
}

} // namespace

Findings
RunBookings(const Scenario& aScenario)
{
  return World(aScenario).Run();
}

} // namespace apricottrack::scenarios
