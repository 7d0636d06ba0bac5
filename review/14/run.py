"""Callers ask with HEAD and then with GET on kept connections. TROUBLE=0 asks
with GET each time."""

import asyncio
import os
import re
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "lib-3"))
from world import Runner, World, config, route, service  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
CONNECTIONS = 12
PATHS = ["/view/2f", "/view/none/2f", "/gone/2f"]
BODY = b"availability of the booth"


async def answer(runner, request, writer):
    """A sound answer; that to HEAD has the same header and no body."""
    method, _, headers, _ = request
    attempt = {name.lower(): value for name, value in headers}["request-attempt-id"]
    runner.run(request)
    await asyncio.sleep(0.02)
    whole = runner.success(attempt, BODY)
    writer.write(whole[: -len(BODY)] if method == "HEAD" else whole)
    await writer.drain()
    return True


class Caller:
    """A client on one kept connection, which reads answers as HTTP/1.1 says."""

    def __init__(self, record, name):
        self.record = record
        self.name = name
        self.count = 0

    async def connect(self, port):
        self.reader, self.writer = await asyncio.open_connection("127.0.0.1", port)

    async def ask(self, method, path):
        """Returns the status, or None if the bytes that came are no answer."""
        self.count += 1
        attempt = f"{self.name}-{self.count}"
        lines = [f"{method} {path} HTTP/1.1", "Host: shop.example",
                 f"Request-Attempt-Id: {attempt}", "Deadline-Ms: 2500",
                 "Authorization: Token key-1"]
        self.writer.write(("\r\n".join(lines) + "\r\n\r\n").encode())
        head = await asyncio.wait_for(self.reader.readuntil(b"\r\n\r\n"), 5)
        match = re.match(rb"HTTP/1\.1 (\d{3}) ", head)
        if match is None:
            self.record(f"{attempt} {method} {path}: no answer but {head[:60]!r}")
            return None
        length = re.search(rb"(?i)\r\ncontent-length: *(\d+)", head)
        if method != "HEAD" and length:
            await asyncio.wait_for(self.reader.readexactly(int(length.group(1))), 5)
        self.record(f"{attempt} {method} {path}: {int(match.group(1))}")
        return int(match.group(1))


async def main():
    world = World(FOLDER)
    runners = [Runner(f"b-{index}", "booking", world.record) for index in range(3)]
    for runner in runners:
        runner.behave = answer
    routes = [route("view", "/view/", "idempotent", "booking", attempts=2)]
    try:
        await world.start(config(7, routes, [service("booking")]), runners, 2)
        broken, answered, unserved = 0, 0, 0
        for number in range(CONNECTIONS):
            caller = Caller(world.record, f"c{number}")
            await caller.connect(world.nodes[number % 2].listen)
            path = PATHS[number % len(PATHS)]
            first = await caller.ask("HEAD" if TROUBLE else "GET", path)
            unserved += first == 504
            # Whatever the node has sent beyond the answer is here by now.
            await asyncio.sleep(0.2)
            second = await caller.ask("GET", path)
            broken += second is None
            answered += second is not None
            caller.writer.close()
        text = (f"trouble {int(TROUBLE)}: {CONNECTIONS} connections, {unserved} first requests "
                f"with 504 though a runner had answered; the answer to the second one is read on "
                f"{answered}, other bytes come in its place on {broken}")
        world.record(text)
        print(text)
        return 1 if broken else 0
    except (RuntimeError, OSError, asyncio.TimeoutError, asyncio.IncompleteReadError) as error:
        print(f"could not run: {error!r}")
        return 2
    finally:
        await world.stop()


sys.exit(asyncio.run(main()))
