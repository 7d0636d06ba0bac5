#include "replicas/IssuedOrders.h"

#include <catch2/catch.hpp>

using namespace apricottrack;

namespace {

ReplicaOrder
MakeOrder(OrderKind aKind, std::int64_t aEpoch, std::string aTarget = "t1")
{
  return { .kind = aKind,
           .target = std::move(aTarget),
           .replica = "r1",
           .epoch = aEpoch,
           .fencingToken = 7 };
}

} // namespace

// Guards against a planner that gives up when its orders arrive out of order.
TEST_CASE("IssuedOrders attributes the refusal of a join to a newer one of the "
          "same planner")
{
  IssuedOrders orders;
  const ReplicaOrder older = MakeOrder(OrderKind::kJoin, 35);
  orders.OnIssued(older);
  orders.OnIssued(MakeOrder(OrderKind::kJoin, 36));
  CHECK(orders.NewestJoinEpoch("t1") == 36);
  CHECK_FALSE(orders.ShowsNewerPlanner(older));
}

TEST_CASE("IssuedOrders attributes other refusals to a newer planner")
{
  IssuedOrders orders;
  orders.OnIssued(MakeOrder(OrderKind::kJoin, 35));
  orders.OnIssued(MakeOrder(OrderKind::kJoin, 36));
  orders.OnIssued(MakeOrder(OrderKind::kJoin, 40, "t2"));
  CHECK(orders.ShowsNewerPlanner(MakeOrder(OrderKind::kJoin, 36)));
  CHECK(orders.ShowsNewerPlanner(MakeOrder(OrderKind::kStage, 0)));
  CHECK(orders.ShowsNewerPlanner(MakeOrder(OrderKind::kOpen, 35)));
  CHECK(orders.ShowsNewerPlanner(MakeOrder(OrderKind::kJoin, 1, "t3")));
  orders.Clear();
  CHECK(orders.ShowsNewerPlanner(MakeOrder(OrderKind::kJoin, 35)));
}
