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
