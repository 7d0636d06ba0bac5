#include "replicas/OpenOrders.h"

#include <catch2/catch.hpp>

using namespace apricottrack;

namespace {

const std::string kList = "r1/7";

} // namespace

TEST_CASE(
  "OpenOrders takes a single order for carried out once the head serves")
{
  OpenOrders orders;
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
  OpenOrders orders;
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
  OpenOrders orders;
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

TEST_CASE("OpenOrders forgets lists of members that no longer exist")
{
  OpenOrders orders;
  orders.OnSent(kList);
  orders.OnSent("r2/9");
  orders.KeepOnly({ "r2/9" });
  CHECK_FALSE(orders.MayTakeEffect(kList));
  CHECK(orders.MayTakeEffect("r2/9"));
}
