"""Searches for requests that end without a complete response, by hand: real nodes on
the prepared platform's stand-ins, callers on kept connections, random faults.

    BUILD_DIR=build tests/wholepath/lost_requests.py --seed 1 --faults stop,config

Prints a line for each such request and counts them; exits with 1 if there are any that
a target has run or that took longer than a crossing close. The nodes' logs stay in the
printed folder then. A seed fixes the choices, not the times.
"""

import argparse
import asyncio
import collections
import json
import os
import random
import shutil
import signal
import sys
import tempfile
from dataclasses import asdict, dataclass

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "../.."))
sys.path.insert(0, os.path.join(ROOT, "review", "lib"))

import standins
from standins import now

# Path, method and Deadline-Ms of each kind of request.
KINDS = {
    "view": ("/view/1", "GET", 2500),
    "book": ("/book/1", "POST", 2500),
    "stream": ("/stream/1", "POST", 8000),
}
NOT_RUN_STATUSES = (408, 421, 429, 503)
# A request that ends sooner without a response may have crossed the close.
CROSSING_S = 0.2
GRACE_S = 8.0


@dataclass
class Ending:
    """What the caller of one request saw; times in seconds since the start."""

    attempt: str
    kind: str
    node: str
    kept: bool
    sent: float = 0.0
    ended: float = 0.0
    status: int = 0
    events: int = 0
    complete: bool = False


class PlainTarget(standins.Runner):
    """A target of a plain service whose work varies."""

    async def serve(self, method, target, headers, body, writer):
        self.work_s = random.choice([0.02, 0.05, 0.2, 0.6, 1.4])
        self.stream_s = 1.5
        return await super().serve(method, target, headers, body, writer)


class Search:
    """One run: callers and faults beside each other."""

    def __init__(self, world, options):
        self.world, self.options = world, options
        self.random = random.Random(options.seed)
        self.endings: list[Ending] = []
        self.config = {}

    def elapsed(self):
        return round(now() - self.world.record.start, 3)

    def make_targets(self):
        zones = ["ie-south-a", "ie-south-b", "ie-south-c"]
        store, record = self.world.store, self.world.record
        targets = [
            PlainTarget(store, record, f"i-b{n:07x}", "booking", zones[n % 3])
            for n in range(8)
        ]
        services = [standins.plain_service("booking")]
        if self.options.engines:
            targets += [
                standins.Engine(
                    store, record, f"i-{n:08x}", "advisor", zones[n // 5],
                    domain=f"d{n // 5}", stream_s=self.options.stream_s,
                )
                for n in range(15)
            ]  # fmt: skip
            models = [("m0", 2, 1.0, 0.3, 1.0)]
            services.append(standins.engine_service("advisor", models))
        streams = "advisor" if self.options.engines else "booking"
        routes = [
            standins.route("view", "/view/", "idempotent", "booking"),
            standins.route("book", "/book/", "non_idempotent", "booking", attempts=1),
            standins.route(
                "stream", "/stream/", "streaming", streams, timeout_ms=8000,
                gap_aim_ms=1000, resumable=self.options.resumable,
            ),
        ]  # fmt: skip
        self.config = standins.configuration(routes, services)
        return targets

    async def run(self):
        targets = self.make_targets()
        await self.world.start(self.config, self.options.nodes, targets)
        self.engines = [t for t in targets if isinstance(t, standins.Engine)]
        if self.engines:
            await standins.wait_for_groups(self.engines, 4)
        await asyncio.sleep(3)
        end = now() + self.options.seconds
        callers = [
            self.world.task(self.call_until(end, index))
            for index in range(self.options.callers)
        ]
        await self.inject_faults(end - GRACE_S - 1)
        await asyncio.gather(*callers)

    async def call_until(self, end, index):
        choices = random.Random(self.options.seed * 1000 + index)
        connection = node = None
        while now() < end:
            if connection and connection[0].at_eof():
                connection[1].close()
                connection = None
            kept = connection is not None
            node = node if kept else choices.choice(self.world.nodes)
            kind = choices.choice(sorted(KINDS))
            ending = Ending(self.world.attempt(), kind, node.name, kept)
            closes = True
            try:
                if not kept:
                    ip, port = node.client.split(":")
                    connection = await asyncio.open_connection(ip, int(port))
                closes = await self.request(connection, ending, choices)
            except (OSError, ValueError, asyncio.IncompleteReadError):
                pass
            except asyncio.TimeoutError:
                pass
            ending.ended = self.elapsed()
            self.endings.append(ending)
            if connection and closes:
                connection[1].close()
                connection = None
            await asyncio.sleep(choices.expovariate(1 / self.options.pause))

    async def request(self, connection, ending, choices):
        """Sends a request and reads its response; returns whether that announces the
        connection's end."""
        reader, writer = connection
        path, method, deadline_ms = KINDS[ending.kind]
        headers = {
            "Host": standins.HOST,
            "Request-Attempt-Id": ending.attempt,
            "Deadline-Ms": deadline_ms,
            "Authorization": "Token " + standins.KEY,
        }
        body = b""
        if method == "POST":
            body = b"x" * choices.choice([2, 200, 2000, 300_000])
            headers["Content-Length"] = len(body)
        if ending.kind == "stream":
            part = f"{choices.getrandbits(32):08x}:700"
            headers |= {"Model": "m0", "Token-Count": "700,200", "Prompt-Prefix": part}
        lines = [f"{method} {path} HTTP/1.1", *(f"{k}: {v}" for k, v in headers.items())]
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
        await writer.drain()
        ending.sent = self.elapsed()
        line, answer = await asyncio.wait_for(
            standins.Http.head(reader), deadline_ms / 1000 + 1
        )
        ending.status = int(line.split()[1])
        if "chunked" in answer.get("transfer-encoding", ""):
            while not ending.complete:
                size = int(await asyncio.wait_for(reader.readline(), 6) or b"x", 16)
                part = await reader.readexactly(size + 2)
                ending.events += part.count(b"id: ")
                ending.complete = size == 0
        else:
            await asyncio.wait_for(standins.Http.body(reader, answer), 5)
            ending.complete = True
        return answer.get("connection", "").lower() == "close"

    async def inject_faults(self, until):
        faults = {
            "config": (1.5, self.change_config),
            "stop": (3, self.stop_node),
            "overlap": (5, self.stop_two_nodes),
            "hup": (0.7, self.hang_up),
            "pause": (4, self.pause_node),
            "store": (6, self.interrupt_store),
            "silence": (2, self.silence_head),
            "slow": (9, self.slow_member),
        }

        async def repeat(gap, inject):
            await asyncio.sleep(self.random.random() * gap)
            while now() < until:
                await inject()
                await asyncio.sleep(gap * self.random.uniform(0.6, 1.4))

        names = self.options.faults.split(",")
        await asyncio.gather(*(repeat(*faults[name]) for name in names))

    def note(self, what, node):
        self.world.record.add(what, node=node.name)

    async def change_config(self):
        self.config["version"] += self.random.randint(1, 3)
        for route in self.config["routes"][:2]:
            route["timeout_ms"] = self.random.choice([2500, 2600, 2700])
        self.world.store.put("op/config", self.config)
        self.world.record.add("config", version=self.config["version"])

    async def stop(self, node):
        """Stops a node as the platform does; the world starts it again."""
        process = node.process
        if process.poll() is not None:
            return
        self.note("sigterm", node)
        process.send_signal(signal.SIGTERM)
        end = now() + GRACE_S
        while process.poll() is None and now() < end:
            await asyncio.sleep(0.02)
        if process.poll() is None:
            self.note("sigkill_after_grace", node)
            process.kill()

    async def stop_node(self):
        await self.stop(self.random.choice(self.world.nodes))

    async def stop_two_nodes(self):
        first, second = self.random.sample(self.world.nodes, 2)
        self.world.task(self.stop(first))
        await asyncio.sleep(self.random.uniform(0, 3))
        self.world.task(self.stop(second))

    async def hang_up(self):
        node = self.random.choice(self.world.nodes)
        if node.process.poll() is None:
            self.note("sighup", node)
            node.process.send_signal(signal.SIGHUP)

    async def pause_node(self):
        node = self.random.choice(self.world.nodes)
        process = node.process
        self.note("sigstop", node)
        process.send_signal(signal.SIGSTOP)
        await asyncio.sleep(self.random.choice([0.3, 1.0, 2.0]))
        process.send_signal(signal.SIGCONT)

    async def interrupt_store(self):
        self.world.record.add("store_down")
        self.world.store.up = False
        await asyncio.sleep(self.random.uniform(0.5, 4))
        self.world.store.up = True

    def open_heads(self):
        return standins.open_heads(self.engines)

    async def silence_head(self):
        if heads := self.open_heads():
            await self.random.choice(heads).silence(self.random.uniform(0.8, 1.4))

    async def slow_member(self):
        if heads := self.open_heads():
            head = self.random.choice(heads)
            await standins.Engine.all[head.list[1]].slow(6, 8)

    def report(self):
        """Prints what ended without a complete response; returns the exit code."""
        runs = collections.defaultdict(list)
        for line in self.world.record.lines:
            if line["what"] == "run":
                runs[line["attempt"]].append(line["runner"])
        counts = collections.Counter(requests=len(self.endings))
        for ending in self.endings:
            deadline_s = KINDS[ending.kind][2] / 1000 - 0.1
            waited = ending.ended - ending.sent
            found = None
            if not ending.complete and ending.sent and waited < deadline_s:
                if runs[ending.attempt]:
                    found = "lost"
                else:
                    found = "late" if waited > CROSSING_S else "crossed"
            elif ending.kind == "book" and len(runs[ending.attempt]) > 1:
                found = "run_twice"
            elif ending.kind == "book" and ending.status in NOT_RUN_STATUSES:
                found = "untrue" if runs[ending.attempt] else None
            if found:
                counts[found] += 1
                print(found, json.dumps(asdict(ending)), runs[ending.attempt])
        print(dict(counts))
        return 1 if counts.keys() - {"requests", "crossed"} else 0


async def search(options):
    with tempfile.TemporaryDirectory() as folder:
        world = standins.World(folder)
        run = Search(world, options)
        code = 2
        try:
            await run.run()
            code = run.report()
        finally:
            await world.stop()
            if code == 0:
                shutil.rmtree(world.folder, ignore_errors=True)
            else:
                print("logs:", world.folder)
    return code


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=30)
    parser.add_argument("--nodes", type=int, default=5)
    parser.add_argument("--callers", type=int, default=44)
    parser.add_argument("--pause", type=float, default=0.3, help="seconds, on average")
    parser.add_argument("--stream_s", type=float, default=2, help="of engines' streams")
    parser.add_argument("--faults", default="stop,config", help="names, comma-separated")
    parser.add_argument("--engines", action="store_true")
    parser.add_argument("--resumable", action="store_true")
    options = parser.parse_args()
    random.seed(options.seed)
    standins.raise_own_fd_limit()
    standins.DAEMON = os.path.abspath(
        os.path.join(os.environ["BUILD_DIR"], "apricottrackd")
    )
    code = asyncio.new_event_loop().run_until_complete(search(options))
    sys.stdout.flush()
    # Connections that are still open need no orderly end.
    os._exit(code)


if __name__ == "__main__":
    main()
