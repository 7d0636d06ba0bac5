"""One of three runners fails part of its bookings with 503 after it has run them.

Two nodes, three runners of a plain service. Callers send bookings, which are not
idempotent, and do what PROTOCOL.md says of clients: after 429 or 503 they try once more,
on a new connection and with a new id. With trouble one runner answers two in five of the
bookings that it has run with its own, signed 503 without `Not-Executed`, while its health
check is good. With TROUBLE=0 no runner fails.
"""

import asyncio
import collections
import os
import random
import shutil
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib-2"))
from world import (  # noqa: E402
    Runner,
    World,
    ZONES,
    call,
    client_headers,
    configuration,
    render,
    route,
    service,
)

HERE = os.path.dirname(os.path.abspath(__file__))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
SHARE_OF_REQUESTS = 0.4  # `x` of srv_grey
BOOKINGS = 120
PROMISES = ("408", "421", "429", "503")


class Grey(Runner):
    """Runs a booking and then fails, as an application whose own store is away."""

    async def run(self, request, writer):
        if random.random() >= SHARE_OF_REQUESTS:
            return await super().run(request, writer)
        await asyncio.sleep(self.work_s)
        headers = self.base_headers(request) + [("Response-Signature", "3e1b.failed")]
        self.record.add(
            "runner_fails", runner=self.id, attempt=request.get("Request-Attempt-Id")
        )
        writer.write(render(503, headers, b"booked, but the receipt could not be made"))
        return True


async def book(world, index):
    for _ in range(2):
        attempt = world.attempt()
        node = random.choice(world.nodes)
        try:
            answer = await asyncio.wait_for(
                call(
                    node.client,
                    "POST",
                    f"/book/{index}",
                    client_headers(attempt),
                    f"booking {index}".encode(),
                ),
                3,
            )
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError) as error:
            world.record.add("answered", attempt=attempt, status=type(error).__name__)
            return
        status = answer.first.split(" ")[1]
        world.record.add(
            "answered",
            attempt=attempt,
            booking=index,
            status=status,
            signature=answer.get("Response-Signature"),
            not_executed=answer.get("Not-Executed"),
        )
        if status not in PROMISES:
            return


async def main():
    world = World()
    kinds = [Grey if TROUBLE else Runner, Runner, Runner]
    runners = [kinds[n](world, f"i-{n}", zone=ZONES[n]) for n in range(3)]
    routes = [route("book", "/book/", "non_idempotent", "booking", attempts=1)]
    try:
        await world.start(configuration(routes, [service("booking")]), 2, runners)
        await asyncio.sleep(3)
        tasks = []
        for index in range(BOOKINGS):
            tasks.append(asyncio.ensure_future(book(world, index)))
            await asyncio.sleep(0.1)
        await asyncio.gather(*tasks)
    finally:
        world.stop()
        shutil.rmtree(world.folder, ignore_errors=True)
    lines = world.record.lines
    ran = {line["attempt"] for line in lines if line["event"] == "run"}
    promised = [
        line["attempt"]
        for line in lines
        if line["event"] == "answered" and line["status"] in PROMISES
    ]
    wrong = [attempt for attempt in promised if attempt in ran]
    runs = collections.Counter(
        line["target"] for line in lines if line["event"] == "run"
    )
    doubled = sum(count > 1 for count in runs.values())
    verdict = (
        f"{len(wrong)} bookings were answered with a status that promises that they have "
        f"not run, and had run; {doubled} of {BOOKINGS} bookings ran twice since their "
        f"callers trusted it; REFUSED {'broken' if wrong else 'held'}"
    )
    print(verdict)
    world.record.write(os.path.join(HERE, "record.txt"), verdict)
    if not ran:
        return 2
    return 1 if wrong else 0


if __name__ == "__main__":
    try:
        sys.exit(asyncio.run(main()))
    except (RuntimeError, OSError) as error:
        print("could not run:", error)
        sys.exit(2)
