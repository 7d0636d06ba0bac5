"""Replaces nodes of one build by nodes of another, one after the other, and back,
with real processes on loopback beside changes of the catalog.

    tests/wholepath/upgrade.py --old OTHER/target --new target --seed 1

The order of the builds is old, new, old. Reports requests that were handled as by
an older catalog, were lost or ran twice, revoked keys that were accepted, and
nodes that ended by themselves.
"""

import argparse
import asyncio
import collections
import os
import random
import shutil
import signal
import sys
import tempfile
import time

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "../.."))
sys.path.insert(0, os.path.join(ROOT, "review", "lib"))
import standins  # noqa: E402
from standins import HOST, KEY, Engine, Node, Runner, World, call, now  # noqa: E402

# Bounds in seconds, from the acknowledgement of a change to the sending.
CONVERGE_S = 2.0
REVOKE_S = 5.0
GRACE_S = 8.0
# A request from a node that has begun to stop may cross its end.
MAX_LOST = 3


class BuildNode(Node):
    """A node whose build can be replaced."""

    def __init__(self, world, index, build, **options):
        super().__init__(world, index, **options)
        self.build = build
        self.replacing = False
        self.calm_from = 0.0

    def start(self):
        standins.DAEMON = os.path.join(self.build, "apricottrackd")
        super().start()
        self.calm_from = now() + 3.0

    async def supervise(self):
        while self.keep_running:
            await asyncio.sleep(0.02)
            if not self.replacing and self.process.poll() is not None:
                code = self.process.wait()
                self.deaths.append(code)
                await asyncio.sleep(1.0)
                self.start()

    async def replace(self, build):
        self.replacing = True
        self.calm_from = float("inf")
        self.process.send_signal(signal.SIGTERM)
        ends = now() + GRACE_S
        while self.process.poll() is None and now() < ends:
            await asyncio.sleep(0.02)
        if self.process.poll() is None:
            self.process.kill()
            self.deaths.append("killed after grace")
        elif self.process.returncode != 0:
            self.deaths.append(self.process.returncode)
        self.process.wait()
        self.build = build
        self.start()
        self.replacing = False
        ends = now() + 8
        while not await self.is_ready() and now() < ends:
            await asyncio.sleep(0.05)


class Operator:
    """Changes the catalog and knows what was in force at a time."""

    def __init__(self, world, services, seed):
        self.world, self.services = world, services
        self.random = random.Random(seed)
        self.version = 1
        self.routes = [
            standins.route("book", "/book/", "non_idempotent", "booking", attempts=1),
            standins.route("view", "/view/", "idempotent", "booking"),
            standins.route("sheet", "/stream/", "streaming", "advisor",
                           timeout_ms=12000, resumable=True),
        ]  # fmt: skip
        self.keys = [KEY]
        # When each added route or key was acknowledged, and each removed one.
        self.added, self.removed = {}, {}

    def configuration(self):
        return standins.configuration(
            self.routes, self.services, version=self.version, keys=self.keys
        )

    def change(self):
        self.version += self.random.randint(1, 3)
        name = f"n{self.version}"
        if self.random.random() < 0.5:
            self.routes.append(
                standins.route(name, f"/view/{name}/", "idempotent", "booking")
            )
            added = "/" + name
            if len(self.routes) > 12:
                self.routes.pop(3)
        else:
            added = "key" + name
            self.keys.append(added)
            if len(self.keys) > 6:
                self.removed[self.keys[1]] = now()
                del self.keys[1]
        if self.version % 7 == 0:
            # More than nodes pass on to each other.
            self.routes += [
                standins.route(f"b{i}", f"/bulk/{self.version}/{i}/", "idempotent",
                               "booking") for i in range(350)
            ]  # fmt: skip
        elif self.version % 7 == 3:
            self.routes = [r for r in self.routes if not r["name"].startswith("b")
                           or r["name"] == "book"]  # fmt: skip
        self.world.store.put("op/config", self.configuration())
        self.added[added] = now()

    async def run(self, ends):
        while now() < ends:
            self.change()
            await asyncio.sleep(self.random.uniform(0.3, 0.9))


def headers(attempt, key=KEY, **more):
    return {"Host": HOST, "Request-Attempt-Id": attempt, "Deadline-Ms": 2500,
            "Authorization": f"Token {key}", **more}  # fmt: skip


class Play:
    def __init__(self, world, operator):
        self.world, self.operator = world, operator
        self.counts = collections.Counter()
        self.broken = []

    async def call(self, node, method, path, key=KEY):
        attempt = self.world.attempt()
        sent = now()
        try:
            status, answer, body = await asyncio.wait_for(
                call(node.client, method, path, headers(attempt, key)), 4
            )
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError,
                ValueError, IndexError):  # fmt: skip
            status, answer, body = 0, {}, b""
        self.counts[f"{method} {status}"] += 1
        if status == 200 and not body.decode().startswith(attempt):
            self.broken.append(f"foreign response: {attempt} {body[:40]}")
        if any("apricottrack" in name for name in answer):
            self.broken.append(f"header of nodes reached a caller: {answer}")
        return attempt, sent, status

    def is_calm(self, node, sent):
        return sent > node.calm_from and not node.replacing

    async def view(self, ends):
        while now() < ends:
            node = random.choice(self.world.nodes)
            await self.call(node, "GET", "/view/slots")
            await asyncio.sleep(0.05)

    async def book(self, ends):
        while now() < ends:
            node = random.choice(self.world.nodes)
            attempt, _, status = await self.call(node, "POST", "/book/slot")
            self.world.record.add("booked", attempt=attempt, status=status)
            await asyncio.sleep(0.05)

    async def probe(self, ends):
        """Asks for what was added or removed as long ago as the bounds state."""
        while now() < ends:
            await asyncio.sleep(0.02)
            node = random.choice(self.world.nodes)
            known = [n for n, at in self.operator.added.items()
                     if CONVERGE_S < now() - at < CONVERGE_S + 3
                     and n not in self.operator.removed]  # fmt: skip
            revoked = [n for n, at in self.operator.removed.items()
                       if REVOKE_S < now() - at < REVOKE_S + 5]  # fmt: skip
            if known and random.random() < 0.7:
                name = random.choice(known)
                at = self.operator.added[name]
                is_route = name.startswith("/")
                if is_route and not any(
                    r["name"] == name[1:] for r in self.operator.routes
                ):
                    continue
                path = f"/view{name}/x" if is_route else "/view/slots"
                key = KEY if is_route else name
                _, sent, status = await self.call(node, "GET", path, key)
                gone = not is_route and name in self.operator.removed
                if status in (401, 403, 404) and self.is_calm(node, sent) and not gone:
                    self.broken.append(
                        f"{name} refused with {status} by {node.name}, "
                        f"acknowledged {sent - at:.2f} s before"
                    )
            elif revoked:
                name = random.choice(revoked)
                _, sent, status = await self.call(node, "GET", "/view/slots", name)
                if status == 200:
                    self.broken.append(
                        f"revoked key accepted by {node.name} "
                        f"{sent - self.operator.removed[name]:.2f} s later"
                    )

    async def roll(self, builds):
        await asyncio.sleep(4)
        for build in builds:
            for node in random.sample(self.world.nodes, len(self.world.nodes)):
                await node.replace(build)
                await asyncio.sleep(0.5)

    def check_runs(self):
        lines = self.world.record.lines
        runs = collections.Counter(
            line["attempt"] for line in lines
            if line["what"] == "run" and line["target"].startswith("/book/")
        )  # fmt: skip
        twice = [attempt for attempt, count in runs.items() if count > 1]
        refused = [line["attempt"] for line in lines if line["what"] == "booked"
                   and line["status"] in (429, 503, 408, 421)
                   and runs[line["attempt"]] > 0]  # fmt: skip
        if twice:
            self.broken.append(f"ran twice: {twice}")
        if refused:
            self.broken.append(f"ran although refused as not run: {refused}")


async def play(world, old, new, seed, nodes, freeze):
    engines = [
        Engine(world.store, world.record, f"e-{n:04x}", "advisor",
               ["ie-south-a", "ie-south-b", "ie-south-c"][n % 3], domain=f"d{n // 4}")
        for n in range(12)
    ]  # fmt: skip
    plain = [
        Runner(world.store, world.record, f"i-{n:04x}", "booking", zone)
        for n, zone in enumerate(["ie-south-a", "ie-south-b", "ie-south-c"])
    ]
    services = [
        standins.plain_service("booking"),
        standins.engine_service("advisor", [("m0", 2, 1.0, 0.3, 1.0)]),
    ]
    operator = Operator(world, services, seed)
    standins.Node = lambda a_world, index: BuildNode(a_world, index, old)
    await world.start(operator.configuration(), nodes, plain + engines)
    await standins.wait_for_groups(engines, 4)
    state = Play(world, operator)
    roll = asyncio.ensure_future(state.roll([new, old]))
    ends = now() + 3600
    streams = []
    work = [asyncio.ensure_future(w) for w in [
        operator.run(ends), state.probe(ends), state.probe(ends), state.view(ends),
        state.view(ends), state.book(ends), state.book(ends),
        *[standins.stream_client(world, streams, ends) for _ in range(8)],
    ]]  # fmt: skip
    if freeze:
        work.append(asyncio.ensure_future(freeze_nodes(world)))
    await roll
    await asyncio.sleep(3)
    for task in work:
        task.cancel()
    await asyncio.gather(*work, return_exceptions=True)
    state.check_runs()
    lost = standins.lost_streams(world, streams)
    if len(lost) > MAX_LOST:
        state.broken.append(f"{len(lost)} streams lost")
    for node in world.nodes:
        if node.deaths:
            state.broken.append(f"{node.name} ended: {node.deaths}")
    print(dict(state.counts), "changes", len(operator.added))
    return state.broken


async def freeze_nodes(world):
    """Stops a node for a moment, as the one that the others rely on may be."""
    while True:
        await asyncio.sleep(random.uniform(2, 5))
        node = random.choice(world.nodes)
        if node.replacing:
            continue
        calm_from, node.calm_from = node.calm_from, float("inf")
        node.process.send_signal(signal.SIGSTOP)
        await asyncio.sleep(random.uniform(0.5, 2.5))
        node.process.send_signal(signal.SIGCONT)
        if not node.replacing:
            node.calm_from = max(calm_from, now() + 3.0)


async def main(options):
    random.seed(options.seed)
    folder = tempfile.mkdtemp(prefix="upgrade-")
    world = World(folder)
    try:
        broken = await play(world, os.path.abspath(options.old),
                            os.path.abspath(options.new), options.seed,
                            options.nodes, options.freeze)  # fmt: skip
    finally:
        await world.stop()
        if options.keep:
            print(folder, world.folder)
        else:
            shutil.rmtree(world.folder, ignore_errors=True)
            shutil.rmtree(folder, ignore_errors=True)
    for line in broken:
        print("BROKEN", line)
    print(f"seed={options.seed} nodes={options.nodes} broken={len(broken)}")
    return 1 if broken else 0


if __name__ == "__main__":
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--old", required=True, help="folder of the first build")
    parser.add_argument("--new", required=True, help="folder of the other build")
    parser.add_argument("--seed", type=int, default=int(time.time()))
    parser.add_argument("--nodes", type=int, default=6)
    parser.add_argument("--freeze", action="store_true", help="also stop nodes")
    parser.add_argument("--keep", action="store_true", help="keep logs and record")
    sys.exit(asyncio.run(main(parser.parse_args())))
