#include "replicas/OpenOrders.h"

#include <catch2/catch.hpp>

using namespace apricottrack;

namespace {

const std::string kList = "r1/7";
constexpr Instant kStart{ seconds(1000) };
constexpr Duration kLateOrderTime = seconds(30);

OpenOrders
MakeOrders()
{
  return OpenOrders(OpenOrders::Options{ .lateOrderTime = kLateOrderTime });
}

} // namespace

TEST_CASE(
  "OpenOrders takes a single order for carried out once the head serves")
{
  OpenOrders orders = MakeOrders();
  CHECK_FALSE(orders.MayTakeEffect(kList));
  orders.OnSent(kList);
  CHECK(orders.MayTakeEffect(kList));
  SECTION("with a reply")
  {
    orders.OnReply(kList);
    CHECK(orders.MayTakeEffect(kList));
  }
  SECTION("without a reply") {}
  orders.OnObservedOpen(kList);
  CHECK_FALSE(orders.MayTakeEffect(kList));
  CHECK_FALSE(orders.MayTakeEffect("r1/8"));
}

// Guards against a head that serves again after it was closed.
TEST_CASE("OpenOrders waits for the replies to all of several transmissions")
{
  OpenOrders orders = MakeOrders();
  orders.OnSent(kList);
  orders.OnSent(kList);
  orders.OnReply(kList);
  orders.OnObservedOpen(kList);
  CHECK(orders.MayTakeEffect(kList));
  orders.OnReply(kList);
  CHECK_FALSE(orders.MayTakeEffect(kList));
}

TEST_CASE("OpenOrders expects orders of an earlier planner until the head has "
          "seen one of its own")
{
  OpenOrders orders = MakeOrders();
  orders.OnAdopted(kList);
  orders.OnObservedOpen(kList);
  CHECK(orders.MayTakeEffect(kList));
  const bool sendsOpen = GENERATE(false, true);
  if (sendsOpen) {
    orders.OnSent(kList);
    orders.OnReply(kList);
  }
  orders.OnFenced(kList);
  CHECK_FALSE(orders.MayTakeEffect(kList));
}

TEST_CASE("OpenOrders forgets lists of members that have not existed for as "
          "long as an order may be late")
{
  OpenOrders orders = MakeOrders();
  orders.OnSent(kList);
  orders.OnSent("r2/9");
  orders.Prune({ kList, "r2/9" }, kStart);
  // A late order to join may bring the head back to its list.
  orders.Prune({ "r2/9" }, kStart + kLateOrderTime);
  CHECK(orders.MayTakeEffect(kList));
  orders.Prune({ "r2/9" }, kStart + kLateOrderTime + milliseconds(1));
  CHECK_FALSE(orders.MayTakeEffect(kList));
  CHECK(orders.MayTakeEffect("r2/9"));
}
