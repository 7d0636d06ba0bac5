/// Simulates routing strategies, and goodput under overload, for the same
/// seeded arrivals in virtual time. Targets are modelled as a queue with a
/// prefix cache; the router and the admission queue are the production ones.

#include "limits/AdmissionQueue.h"
#include "routing/Router.h"
#include "scenarios/VirtualTime.h"

#include <CLI/CLI.hpp>
#include <algorithm>
#include <deque>
#include <fmt/format.h>
#include <functional>
#include <iostream>

using namespace apricottrack;

namespace {

/// Parameters of one simulation.
struct Setup
{
  int targets = 50;
  /// Concurrent requests per target.
  int slots = 8;
  /// Distinct prompt prefixes in the load.
  int prefixes = 400;
  /// Prefixes that a target's cache holds.
  std::size_t cachedPrefixes = 16;
  /// Time to the first token without and with a cached prefix.
  double prefillSeconds = 0.25;
  double cachedPrefillSeconds = 0.06;
  /// Time from the first token to the end.
  double decodeSeconds = 1.0;
  /// Interval of the targets' load reports.
  double reportSeconds = 0.5;
  /// The first target is slower by this factor.
  double stragglerFactor = 4;
  /// Arrival rate as a share of the capacity without cache hits.
  double load = 0.7;
  /// Time from a request's arrival to its deadline.
  double deadlineSeconds = 6;
  /// Number of arrivals.
  int requests = 40'000;
  /// Whether the queue refuses requests that cannot meet their deadline and is
  /// bounded at 2,000; otherwise neither limit has an effect.
  bool earlyRefusal = true;
  /// Disables straggler detection and slot limits, for baselines.
  bool baselineRouter = false;
  std::uint64_t seed = 1;
};

/// Results of one simulation.
struct Outcomes
{
  /// Seconds from arrival to first token.
  std::vector<double> firstTokenSeconds;
  /// Prefix cache hits.
  int cacheHits = 0;
  int served = 0;
  /// Requests that finished before their deadline.
  int metDeadline = 0;
  /// Requests that the queue refused, that expired in it, or that found no
  /// target.
  int refused = 0;
  /// Seconds from the start to the last arrival, to the next 0.1 s.
  double lastArrivalSeconds = 0;
};

/// A simulated model engine: occupied slots, queued requests and the cached
/// prefixes, most recently used first.
struct Engine
{
  int running = 0;
  std::deque<std::function<void()>> waiting;
  std::deque<std::uint64_t> cache;

  /// Looks up a prefix, moves it to the front of the cache and returns whether
  /// it was there. Evicts the least recently used above aCapacity prefixes.
  bool LookUpPrefix(std::uint64_t aPrefix, std::size_t aCapacity)
  {
    const auto found =
      std::find(this->cache.begin(), this->cache.end(), aPrefix);
    const bool hit = found != this->cache.end();
    if (hit) {
      this->cache.erase(found);
    }
    this->cache.push_front(aPrefix);
    if (this->cache.size() > aCapacity) {
      this->cache.pop_back();
    }
    return hit;
  }

  int RequestCount() const
  {
    return this->running + static_cast<int>(this->waiting.size());
  }
};

/// A request from its arrival until its end.
struct Arrival
{
  Instant at;
  Instant deadline;
  std::uint64_t prefix = 0;
  std::string account;
};

/// Runs one simulation.
class Experiment
{
public:
  Experiment(Setup aSetup, std::unique_ptr<RoutingStrategy> aStrategy)
    : setup(aSetup)
    , router({ .availabilityZone = "a",
               .stragglerFactor = aSetup.baselineRouter ? 1e9 : 2.5,
               .overcommitFactor = aSetup.baselineRouter ? 1e6 : 1.0 },
             std::move(aStrategy))
    , queue({ .limit = aSetup.earlyRefusal ? 2000 : 1'000'000 })
    , engines(static_cast<std::size_t>(aSetup.targets))
    , random(aSetup.seed)
  {
    for (int i = 0; i < aSetup.targets; ++i) {
      Target target;
      target.id = std::to_string(i);
      target.group = fmt::format("g{}", i);
      target.availabilityZone = "a";
      target.slots = aSetup.slots;
      this->targets.push_back(target);
    }
  }

  Outcomes Run()
  {
    this->ReportLoads();
    this->ScheduleArrival();
    while (this->arrived < this->setup.requests) {
      this->time.RunUntil(this->time.Now() + milliseconds(100));
    }
    this->outcomes.lastArrivalSeconds =
      ToSeconds(this->time.Now() - this->start);
    while (this->pending > 0) {
      this->time.RunUntil(this->time.Now() + seconds(1));
    }
    return std::move(this->outcomes);
  }

private:
  void After(double aSeconds, std::function<void()> aRun)
  {
    this->time.After(FromSeconds(aSeconds), std::move(aRun));
  }

  /// Time that a request without a cache hit occupies a slot.
  double ServiceSeconds() const
  {
    return this->setup.prefillSeconds + this->setup.decodeSeconds;
  }

  void ScheduleArrival()
  {
    if (this->arrived >= this->setup.requests) {
      return;
    }
    const double capacity =
      this->setup.targets * this->setup.slots / this->ServiceSeconds();
    std::exponential_distribution<double> gap(capacity * this->setup.load);
    this->After(gap(this->random), [this] {
      this->HandleArrival();
      this->ScheduleArrival();
    });
  }

  /// Draws a prefix from a skewed, Zipf-like distribution.
  std::uint64_t DrawPrefix()
  {
    std::uniform_real_distribution<double> uniform(0, 1);
    const double share = uniform(this->random);
    return 1 + static_cast<std::uint64_t>(this->setup.prefixes * share * share);
  }

  void HandleArrival()
  {
    ++this->arrived;
    const TicketId id = static_cast<TicketId>(this->arrived);
    const Arrival arrival{ .at = this->time.Now(),
                           .deadline = this->time.Now() +
                                       FromSeconds(this->setup.deadlineSeconds),
                           .prefix = this->DrawPrefix(),
                           .account = fmt::format("a{}", id % 10) };
    this->arrivals[id] = arrival;
    const Ticket ticket{ .id = id,
                         .account = arrival.account,
                         .arrived = this->time.Now(),
                         .deadline = this->setup.earlyRefusal
                                       ? arrival.deadline
                                       : this->time.Now() + seconds(100'000) };
    if (this->queue.Add(ticket, this->time.Now()) != AdmissionRefusal::kNone) {
      ++this->outcomes.refused;
      this->arrivals.erase(id);
      return;
    }
    ++this->pending;
    this->DispatchWaiting();
  }

  void DispatchWaiting()
  {
    this->queue.SetConcurrency(this->router.TotalSlots());
    for (const TicketId id : this->queue.Expire(this->time.Now())) {
      ++this->outcomes.refused;
      --this->pending;
      this->arrivals.erase(id);
    }
    for (const TicketId id : this->queue.Dispatch(
           this->router.FreeSlots(this->time.Now()), this->time.Now())) {
      const RouteKey key{ .prefix = this->arrivals[id].prefix };
      const auto target =
        this->router.Choose(key, {}, this->time.Now(), this->random);
      if (target) {
        this->Send(id, *target);
      } else {
        ++this->outcomes.refused;
        --this->pending;
      }
    }
  }

  void Send(TicketId aId, const Target& aTarget)
  {
    const auto index = static_cast<std::size_t>(std::stoi(aTarget.id));
    this->router.OnStart(aTarget.id, this->time.Now());
    const Instant sentAt = this->time.Now();
    const auto start = [this, aId, index, sentAt] {
      this->StartOnEngine(aId, index, sentAt);
    };
    Engine& engine = this->engines[index];
    if (engine.running < this->setup.slots) {
      ++engine.running;
      start();
    } else {
      engine.waiting.emplace_back(start);
    }
  }

  void StartOnEngine(TicketId aId, std::size_t aIndex, Instant aSentAt)
  {
    const Arrival arrival = this->arrivals[aId];
    Engine& engine = this->engines[aIndex];
    const bool hit =
      engine.LookUpPrefix(arrival.prefix, this->setup.cachedPrefixes);
    const double slowdown = aIndex == 0 ? this->setup.stragglerFactor : 1;
    const double prefill = slowdown * (hit ? this->setup.cachedPrefillSeconds
                                           : this->setup.prefillSeconds);
    this->outcomes.cacheHits += hit ? 1 : 0;
    const std::string id = std::to_string(aIndex);
    this->After(prefill, [this, id, arrival, aSentAt] {
      this->outcomes.firstTokenSeconds.push_back(
        ToSeconds(this->time.Now() - arrival.at));
      this->router.OnFirstByte(id, this->time.Now() - aSentAt);
    });
    this->After(prefill + slowdown * this->setup.decodeSeconds,
                [this, aId, aIndex, id, arrival, aSentAt] {
                  this->router.OnEnd(id, false, this->time.Now());
                  this->queue.OnFinished(this->time.Now() - aSentAt);
                  this->FinishRequest(aId, aIndex, arrival);
                });
  }

  void FinishRequest(TicketId aId, std::size_t aIndex, const Arrival& aArrival)
  {
    ++this->outcomes.served;
    this->outcomes.metDeadline += this->time.Now() <= aArrival.deadline ? 1 : 0;
    --this->pending;
    this->arrivals.erase(aId);
    Engine& engine = this->engines[aIndex];
    if (engine.waiting.empty()) {
      --engine.running;
    } else {
      auto next = std::move(engine.waiting.front());
      engine.waiting.pop_front();
      next();
    }
    this->DispatchWaiting();
  }

  /// Reports the load of all engines to the router, every reportSeconds.
  void ReportLoads()
  {
    for (std::size_t i = 0; i < this->targets.size(); ++i) {
      this->targets[i].reportedRequests = this->engines[i].RequestCount();
      this->targets[i].reportedAt = this->time.Now();
    }
    this->router.SetTargets(this->targets);
    this->After(this->setup.reportSeconds, [this] { this->ReportLoads(); });
  }

  Setup setup;
  Router router;
  AdmissionQueue queue;
  std::vector<Engine> engines;
  std::vector<Target> targets;
  Random random;
  scenarios::VirtualTime time;
  Instant start = this->time.Now();
  std::map<TicketId, Arrival> arrivals;
  int arrived = 0;
  /// Requests in the queue or on an engine.
  int pending = 0;
  Outcomes outcomes;
};

double
Quantile(std::vector<double> aValues, double aShare)
{
  std::sort(aValues.begin(), aValues.end());
  return aValues.empty() ? 0
                         : aValues[static_cast<std::size_t>(
                             aShare * static_cast<double>(aValues.size() - 1))];
}

using MakeStrategy = std::unique_ptr<RoutingStrategy> (*)();

void
CompareStrategies(Setup aSetup)
{
  const std::pair<std::string_view, MakeStrategy> strategies[] = {
    { "affinity", MakeAffinityStrategy },
    { "round_robin", MakeRoundRobinStrategy },
    { "least_reported", MakeLeastReportedLoadStrategy },
  };
  for (const auto& [name, makeStrategy] : strategies) {
    aSetup.baselineRouter = name != "affinity";
    const Outcomes result = Experiment(aSetup, makeStrategy()).Run();
    std::cout << fmt::format(
      "experiment=routing strategy={} seed={} load={} served={} refused={} "
      "ttft_p50_s={:.3f} ttft_p95_s={:.3f} ttft_p99_s={:.3f} "
      "hit_share={:.3f}\n",
      name,
      aSetup.seed,
      aSetup.load,
      result.served,
      result.refused,
      Quantile(result.firstTokenSeconds, 0.5),
      Quantile(result.firstTokenSeconds, 0.95),
      Quantile(result.firstTokenSeconds, 0.99),
      static_cast<double>(result.cacheHits) / result.served);
  }
}

void
CompareOverload(Setup aSetup)
{
  for (const bool refusesEarly : { true, false }) {
    for (const double load : { 0.5, 1.0, 2.0, 4.0 }) {
      aSetup.load = load;
      aSetup.earlyRefusal = refusesEarly;
      aSetup.baselineRouter = !refusesEarly;
      const Outcomes result = Experiment(aSetup, MakeAffinityStrategy()).Run();
      std::cout << fmt::format(
        "experiment=overload early_refusal={} seed={} load={} served={} "
        "refused={} in_time={} goodput_per_s={:.1f}\n",
        refusesEarly,
        aSetup.seed,
        load,
        result.served,
        result.refused,
        result.metDeadline,
        result.metDeadline / result.lastArrivalSeconds);
    }
  }
}

} // namespace

int
main(int argc, char** argv)
{
  CLI::App app("simulates routing strategies and overload in virtual time");
  Setup setup;
  app.add_option("--seed", setup.seed);
  app.add_option("--targets", setup.targets);
  app.add_option("--requests", setup.requests);
  app.add_option("--load", setup.load);
  CLI11_PARSE(app, argc, argv);
  CompareStrategies(setup);
  CompareOverload(setup);
}
