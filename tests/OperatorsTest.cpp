#include "operators/Operators.h"
#include "QuarantineStore.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>

using namespace apricottrack;

namespace {

Result<EvacuatedZones>
Run(Task<Result<EvacuatedZones>> aTask)
{
  boost::asio::io_context io;
  Result<EvacuatedZones> result = EvacuatedZones{};
  boost::asio::co_spawn(
    io,
    std::move(aTask),
    [&](std::exception_ptr, Result<EvacuatedZones> aResult) {
      result = std::move(aResult);
    });
  io.run();
  return result;
}

} // namespace

TEST_CASE("UpdateEvacuatedZones adds zones to the set and removes them from it")
{
  QuarantineStore store;
  CHECK(Run(ReadEvacuatedZones(store))->empty());
  CHECK(Run(UpdateEvacuatedZones(store, { "a" }, true)) ==
        EvacuatedZones{ "a" });
  CHECK(Run(UpdateEvacuatedZones(store, { "b", "a" }, true)) ==
        EvacuatedZones{ "a", "b" });
  CHECK(Run(ReadEvacuatedZones(store)) == EvacuatedZones{ "a", "b" });
  CHECK(Run(UpdateEvacuatedZones(store, { "b", "c" }, false)) ==
        EvacuatedZones{ "a" });
  CHECK(store.value == R"(["a"])");
}

TEST_CASE(
  "UpdateEvacuatedZones that takes the last zone back writes an empty set")
{
  QuarantineStore store;
  Run(UpdateEvacuatedZones(store, { "a" }, true));
  Run(UpdateEvacuatedZones(store, { "a" }, false));
  CHECK(store.value == "[]");
  CHECK(store.revision == 2);
}

TEST_CASE("UpdateEvacuatedZones succeeds after a lost reply")
{
  QuarantineStore store;
  store.losesNextReply = true;
  CHECK(Run(UpdateEvacuatedZones(store, { "a" }, true)) ==
        EvacuatedZones{ "a" });
  CHECK(store.value == R"(["a"])");
}

TEST_CASE(
  "UpdateEvacuatedZones fails without a store or with an unreadable value")
{
  QuarantineStore store;
  store.isDown = true;
  CHECK(Run(UpdateEvacuatedZones(store, { "a" }, true)).error().code ==
        ErrorCode::kNoReply);
  store.isDown = false;
  store.value = "{}";
  store.revision = 3;
  CHECK(Run(UpdateEvacuatedZones(store, { "a" }, true)).error().code ==
        ErrorCode::kBadReply);
  CHECK(Run(ReadEvacuatedZones(store)).error().code == ErrorCode::kBadReply);
  CHECK(store.value == "{}");
}
