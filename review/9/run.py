"""Callers ask for the head of an answer alone.

Two nodes, three runners of a plain service. A caller keeps a connection and sends five
pairs of requests: first one that asks for a page that does not exist, and, once that
is answered, a lookup. With trouble the first request of a pair is a HEAD request, with
TROUBLE=0 a GET request. By HTTP/1.1 an answer to HEAD has no body, so the next bytes on
the connection belong to the next answer.
"""

import asyncio
import os
import shutil
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib-2"))
from world import (  # noqa: E402
    Runner,
    World,
    ZONES,
    client_headers,
    configuration,
    connect,
    now,
    read_message,
    request_bytes,
    route,
    service,
)

HERE = os.path.dirname(os.path.abspath(__file__))
METHOD = "HEAD" if os.environ.get("TROUBLE", "1") != "0" else "GET"
PAIRS = 5


async def ask(world, reader, writer, method, path):
    """Sends one request and reads its answer; returns whether that is one."""
    attempt = world.attempt()
    writer.write(request_bytes(method, path, client_headers(attempt)))
    sent = now()
    world.record.add("sent", attempt=attempt, method=method, path=path)
    try:
        answer = await asyncio.wait_for(
            read_message(reader, is_response=True, method=method), 5
        )
    except asyncio.TimeoutError:
        world.record.add("no_answer", attempt=attempt)
        return False
    first = answer.first
    is_answer = first.startswith("HTTP/1.1 ")
    world.record.add(
        "answered",
        attempt=attempt,
        first_line=first,
        took_s=round(now() - sent, 2),
        id=answer.get("Request-Attempt-Id"),
    )
    return is_answer


async def keep_connection(world, node, path):
    """Returns how many answers of a kept connection were none."""
    spoiled = 0
    for _ in range(PAIRS):
        reader, writer = await connect(node.client)
        await ask(world, reader, writer, METHOD, path)
        try:
            spoiled += 0 if await ask(world, reader, writer, "GET", "/view/2") else 1
        except (ValueError, IndexError, asyncio.IncompleteReadError) as error:
            world.record.add("no_answer_in_the_protocol", error=repr(error))
            spoiled += 1
        writer.close()
    return spoiled


async def main():
    world = World()
    runners = [Runner(world, f"i-{n}", zone=ZONES[n]) for n in range(3)]
    routes = [route("view", "/view/", "idempotent", "booking")]
    try:
        await world.start(configuration(routes, [service("booking")]), 2, runners)
        await asyncio.sleep(2)
        unknown = await keep_connection(world, world.nodes[0], "/nowhere/1")
        known = await keep_connection(world, world.nodes[1], "/view/1")
    finally:
        world.stop()
        shutil.rmtree(world.folder, ignore_errors=True)
    broken = unknown + known > 0
    verdict = (
        f"after {METHOD}, {unknown} of {PAIRS} (no such route) and {known} of {PAIRS} "
        f"(known route) answers on the kept connection were no answer in the protocol; "
        f"MIXED {'broken' if broken else 'held'}"
    )
    print(verdict)
    world.record.write(os.path.join(HERE, "record.txt"), verdict)
    return 1 if broken else 0


if __name__ == "__main__":
    try:
        sys.exit(asyncio.run(main()))
    except (RuntimeError, OSError) as error:
        print("could not run:", error)
        sys.exit(2)
