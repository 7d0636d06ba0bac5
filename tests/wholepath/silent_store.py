"""Measures by hand how long nodes refuse an added route after their connections to
the store have fallen silent, with real processes on the platform's stand-ins.

    tests/wholepath/silent_store.py --build target

Prints the seconds from the change until each node has served the route, and exits
with 1 if one took longer than the bound. The catalog is too large to be passed on
between nodes.
"""

import argparse
import asyncio
import os
import shutil
import sys
import tempfile

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "../.."))
sys.path.insert(0, os.path.join(ROOT, "review", "lib"))
import standins  # noqa: E402
from proxy import SilencingProxy  # noqa: E402
from standins import HOST, KEY, Node, Runner, World, call, now  # noqa: E402

CONVERGE_S = 2.0
FURTHER_ROUTES = 500
NODES = 6


class ProxiedNode(Node):
    """A node that reaches the store through a proxy of its own."""

    def __init__(self, world, index):
        self.proxy = SilencingProxy(world.store.address)
        super().__init__(world, index, store=self.proxy.address)


async def is_served(world, node, path):
    headers = {
        "Host": HOST,
        "Request-Attempt-Id": world.attempt(),
        "Deadline-Ms": 2500,
        "Authorization": f"Token {KEY}",
    }
    try:
        status, _, _ = await asyncio.wait_for(
            call(node.client, "GET", path, headers), 3
        )
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
        return False
    return status == 200


async def add_route(world, routes, services, version):
    """Silences all connections to the store, adds a route and returns after how
    many seconds each node has served it."""
    for node in world.nodes:
        node.proxy.silence("up", "down")
    path = f"/added{version}/"
    routes.append(standins.route(f"a{version}", path, "idempotent", "booking"))
    world.store.put(
        "op/config", standins.configuration(routes, services, version=version)
    )
    changed = now()
    served = {}
    while len(served) < len(world.nodes) and now() < changed + 15:
        for node in world.nodes:
            if node.name not in served and await is_served(world, node, path + "x"):
                served[node.name] = round(now() - changed, 2)
        await asyncio.sleep(0.02)
    return sorted(served.values())


async def main(options):
    standins.DAEMON = os.path.join(os.path.abspath(options.build), "apricottrackd")
    standins.Node = ProxiedNode
    folder = tempfile.mkdtemp(prefix="silent-")
    world = World(folder)
    runner = Runner(world.store, world.record, "i-1", "booking", "ie-south-a")
    services = [standins.plain_service("booking")]
    routes = [
        standins.route(f"b{i}", f"/bulk/{i}/", "idempotent", "booking")
        for i in range(FURTHER_ROUTES)
    ]
    late = False
    try:
        await world.start(standins.configuration(routes, services), NODES, [runner])
        for version in range(2, 2 + options.changes):
            await asyncio.sleep(8)
            served = await add_route(world, routes, services, version)
            late |= len(served) < NODES or served[-1] > CONVERGE_S
            print(f"version={version} served_after_s={served}", flush=True)
    finally:
        await world.stop()
        shutil.rmtree(world.folder, ignore_errors=True)
        shutil.rmtree(folder, ignore_errors=True)
    return 1 if late else 0


if __name__ == "__main__":
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--build", required=True, help="folder of the daemon")
    parser.add_argument("--changes", type=int, default=4)
    sys.exit(asyncio.run(main(parser.parse_args())))
