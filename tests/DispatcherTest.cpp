#include "node/Dispatcher.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>

using namespace apricottrack;

// Guards against a request that is told of its quarantine at its deadline.
TEST_CASE("Dispatcher refuses waiting requests once they are in quarantine")
{
  boost::asio::io_context io;
  Dispatcher dispatcher(io.get_executor(), Dispatcher::Options{});
  std::map<std::string, std::optional<Refusal>> refusals;
  for (const std::string& key :
       { std::string("deadly"), std::string("sound") }) {
    Ticket ticket;
    ticket.account = "a";
    ticket.crashKeys = { key };
    ticket.deadline = MonotonicNow() + seconds(30);
    boost::asio::co_spawn(
      io,
      [&, key, ticket]() -> Task<void> {
        auto refusal = co_await dispatcher.Admit(ticket);
        refusals[key] = std::move(refusal);
      },
      boost::asio::detached);
  }
  io.run_for(milliseconds(20));
  REQUIRE(refusals.empty());
  const Instant now = MonotonicNow();
  PromptQuarantine quarantine;
  quarantine.Add({ { .parts = { "deadly" }, .remaining = seconds(60) } }, now);
  dispatcher.RefuseQuarantined(quarantine, now);
  io.run_for(milliseconds(20));
  REQUIRE(refusals.size() == 1);
  REQUIRE(refusals["deadly"]);
  CHECK(refusals["deadly"]->status == 503);
  CHECK(refusals["deadly"]->outcome == Outcome::kNotRun);
  CHECK(refusals["deadly"]->retryAfter == seconds(60));
  CHECK(dispatcher.WaitingRequests() == 1);
}

TEST_CASE(
  "Dispatcher sends a request that waited to none of the targets that an "
  "evacuation has removed")
{
  boost::asio::io_context io;
  Dispatcher dispatcher(io.get_executor(), Dispatcher::Options{});
  dispatcher.SetNodeCount(1);
  const Target evacuated{ .id = "a#1",
                          .address = "a:1",
                          .availabilityZone = "a" };
  const Target other{ .id = "b#1", .address = "b:1", .availabilityZone = "b" };
  dispatcher.SetTargets({ evacuated }, MonotonicNow());
  int admitted = 0;
  const auto run = [&] {
    io.restart();
    io.run_for(milliseconds(20));
  };
  const auto admit = [&] {
    Ticket ticket;
    ticket.account = "a";
    ticket.deadline = MonotonicNow() + seconds(30);
    boost::asio::co_spawn(
      io,
      [&, ticket]() -> Task<void> {
        const auto refusal = co_await dispatcher.Admit(ticket);
        admitted += refusal ? 0 : 1;
      },
      boost::asio::detached);
    run();
  };
  admit();
  REQUIRE(admitted == 1);
  dispatcher.StartRequest();
  dispatcher.OnStart(evacuated, MonotonicNow());
  admit();
  REQUIRE(admitted == 1);
  dispatcher.SetTargets({}, MonotonicNow());
  dispatcher.OnEnd(evacuated, false, milliseconds(1), MonotonicNow());
  run();
  CHECK(admitted == 1);
  dispatcher.SetTargets({ other }, MonotonicNow());
  run();
  REQUIRE(admitted == 2);
  CHECK(dispatcher.Choose({}, {}, MonotonicNow()) == other);
  CHECK(dispatcher.Choose({}, { other.id }, MonotonicNow()) == other);
}
