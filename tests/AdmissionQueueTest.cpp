#include "limits/AdmissionQueue.h"

#include <catch2/catch.hpp>

using namespace apricottrack;

namespace {

constexpr Instant kNow{ seconds(10) };

Ticket
MakeTicket(TicketId aId,
           std::string aAccount,
           Priority aPriority = Priority::kInteractive,
           Duration aAllowed = seconds(60))
{
  return Ticket{ .id = aId,
                 .account = std::move(aAccount),
                 .weight = 1,
                 .priority = aPriority,
                 .arrived = kNow,
                 .deadline = kNow + aAllowed };
}

} // namespace

TEST_CASE(
  "AdmissionQueue dispatches a small account before a large one's backlog")
{
  AdmissionQueue queue{ { .limit = 100 } };
  for (TicketId id = 1; id <= 40; ++id) {
    REQUIRE(queue.Add(MakeTicket(id, "large"), kNow) ==
            AdmissionRefusal::kNone);
  }
  REQUIRE(queue.Add(MakeTicket(99, "small"), kNow) == AdmissionRefusal::kNone);
  const auto dispatchedIds = queue.Dispatch(2, kNow);
  CHECK(std::find(dispatchedIds.begin(), dispatchedIds.end(), 99) !=
        dispatchedIds.end());
}

TEST_CASE("AdmissionQueue dispatches accounts in proportion to weight")
{
  AdmissionQueue queue{ { .limit = 100 } };
  for (TicketId id = 1; id <= 30; ++id) {
    Ticket heavy = MakeTicket(id, "heavy");
    heavy.weight = 3;
    queue.Add(heavy, kNow);
    queue.Add(MakeTicket(100 + id, "light"), kNow);
  }
  int heavyCount = 0;
  for (const TicketId id : queue.Dispatch(20, kNow)) {
    heavyCount += id < 100 ? 1 : 0;
  }
  CHECK(heavyCount >= 14);
  CHECK(heavyCount <= 16);
}

TEST_CASE("AdmissionQueue prefers interactive requests without starving batch")
{
  AdmissionQueue queue{ { .limit = 1000, .dispatchesPerBatch = 10 } };
  for (TicketId id = 1; id <= 100; ++id) {
    queue.Add(MakeTicket(id, "a"), kNow);
    queue.Add(MakeTicket(1000 + id, "b", Priority::kBatch), kNow);
  }
  int batchCount = 0;
  for (const TicketId id : queue.Dispatch(50, kNow)) {
    batchCount += id >= 1000 ? 1 : 0;
  }
  CHECK(batchCount == 5);
}

TEST_CASE("AdmissionQueue lets one account fill at most half of the queue")
{
  AdmissionQueue queue{ { .limit = 10 } };
  int accepted = 0;
  for (TicketId id = 1; id <= 10; ++id) {
    accepted +=
      queue.Add(MakeTicket(id, "large"), kNow) == AdmissionRefusal::kNone ? 1
                                                                          : 0;
  }
  CHECK(accepted == 5);
  CHECK(queue.Add(MakeTicket(20, "small"), kNow) == AdmissionRefusal::kNone);
}

TEST_CASE("AdmissionQueue refuses a request that would miss its deadline")
{
  AdmissionQueue queue{ { .limit = 100 } };
  queue.SetConcurrency(1);
  queue.OnFinished(seconds(1));
  for (TicketId id = 1; id <= 5; ++id) {
    REQUIRE(queue.Add(MakeTicket(id, "a"), kNow) == AdmissionRefusal::kNone);
  }
  const Ticket urgent = MakeTicket(9, "a", Priority::kInteractive, seconds(3));
  CHECK(queue.Add(urgent, kNow) == AdmissionRefusal::kDeadlineUnreachable);
}

TEST_CASE("AdmissionQueue accepts requests after a very long service time")
{
  AdmissionQueue queue{ { .limit = 100 } };
  queue.OnFinished(seconds(300));
  const Ticket ticket = MakeTicket(1, "a", Priority::kInteractive, seconds(2));
  CHECK(queue.Add(ticket, kNow) == AdmissionRefusal::kNone);
}

TEST_CASE(
  "AdmissionQueue expires queued requests that would miss their deadline")
{
  AdmissionQueue queue{ { .limit = 100 } };
  queue.Add(MakeTicket(1, "a", Priority::kInteractive, seconds(1)), kNow);
  queue.Add(MakeTicket(2, "a", Priority::kInteractive, seconds(9)), kNow);
  CHECK(queue.Expire(kNow + seconds(2)) == std::vector<TicketId>{ 1 });
  CHECK(queue.Size() == 1);
  queue.Remove(2);
  CHECK(queue.Size() == 0);
}
