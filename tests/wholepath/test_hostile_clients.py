"""Nodes live, stay within the memory and descriptors of their VM and answer an
ordinary request, while crowds of callers that keep to no limits stay connected."""

import asyncio
import os
import re
import resource
import shutil
import struct
import subprocess
import sys
import tempfile
import unittest

from deployment import ROOT, Deployment, Shape, chat, wait_until

sys.path.insert(0, os.path.join(ROOT, "review", "lib"))

import brennock
import standins
from hostile import Crowd, chunked, descriptors, peak_mb

BUILD = os.environ["BUILD_DIR"]
# A daemon without sanitizers, which multiply the memory of a process.
DAEMON = os.environ.get("PLAIN_DAEMON") or os.path.join(BUILD, "apricottrackd")

# What the settings of these tests state of the VM. The bounds are the same.
MEMORY_MB = 96
MAX_FDS = 400
# So many that only the memory is scarce, and a crowd for that.
MANY_FDS = 4200
LARGER_CROWD = 250

CROWD = 120
# Connections that a node has no descriptors for.
LARGE_CROWD = 600
# Pause in which nodes read what the crowds have sent.
READING_S = 1.0
KIB = 1024
LARGE_CHUNK = 64 * KIB
SMALL_CHUNK = 32
# A body that stops just short of the own interface's limit of 1 MiB.
OWN_BODY = 960 * KIB
# A body that stops just short of the catalog's limit of 4 MiB.
PLATFORM_BODY = 3840 * KIB
PLATFORM_LIMIT = 4 * 1024 * KIB
OVERSIZED_BODY = 45 * 1024 * KIB
# Just below the limit of messages between nodes.
PEER_MESSAGE = 2 * 1024 * KIB - 1


def with_limits(text: str, max_fds: int) -> str:
    """Returns the settings with the VM's limits, in place of any that they have."""
    for name, value in {"memory_mb": MEMORY_MB, "max_fds": max_fds}.items():
        text = re.sub(rf"(?m)^{name} = .*\n", "", text)
        text = f"{name} = {value}\n" + text
    return text


def head(path: str, length: str, **more) -> bytes:
    lines = [f"POST {path} HTTP/1.1", "Host: " + standins.HOST, length]
    lines += [f"{name.replace('_', '-')}: {value}" for name, value in more.items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


CHUNKED = "Transfer-Encoding: chunked"


class HostileCase:
    """The crowds, for the flows below. Each has: path and headers of a request, the
    addresses to which crowds connect, process ids, and an ordinary request."""

    max_fds = MAX_FDS
    crowd = CROWD

    def run_crowds(self, body_bytes, chunk):
        async def crowds():
            first = head(self.path, CHUNKED, **self.headers)
            await self.send_all(self.crowd, first, chunked(body_bytes, chunk))

        self.run_case(crowds)

    async def send_all(self, count, first, data=b"", times=1):
        self.crowds = [Crowd(address) for address in self.addresses()]
        await asyncio.gather(
            *[crowd.send(count, first, data, times) for crowd in self.crowds]
        )

    def check_bounds(self):
        for pid in self.pids():
            self.assertLessEqual(peak_mb(pid), MEMORY_MB)
            self.assertLessEqual(descriptors(pid), self.max_fds)

    async def check(self):
        """Checks the processes while the crowds are still connected."""
        self.check_bounds()
        self.assertEqual(await self.ordinary_request(), 200)
        # Nodes may not have read all of what was sent.
        await asyncio.sleep(READING_S)
        self.check_bounds()
        self.assertEqual(await self.ordinary_request(), 200)

    def close_crowds(self):
        for crowd in self.crowds:
            crowd.close()

    def test_bodies_in_large_chunks_that_stop_short_of_their_end(self):
        self.run_crowds(self.body_bytes, LARGE_CHUNK)

    def test_bodies_in_small_chunks_that_stop_short_of_their_end(self):
        self.run_crowds(self.small_chunks_bytes, SMALL_CHUNK)

    def test_announced_bodies_that_stop_short_of_their_end(self):
        async def crowds():
            length = f"Content-Length: {self.body_bytes + 1}"
            first = head(self.path, length, **self.headers)
            await self.send_all(self.crowd, first, b"x" * self.body_bytes)

        self.run_case(crowds)

    def test_announced_bodies_far_over_the_limit(self):
        async def crowds():
            length = f"Content-Length: {OVERSIZED_BODY}"
            first = head(self.path, length, **self.headers)
            times = OVERSIZED_BODY // LARGE_CHUNK
            await self.send_all(self.crowd, first, b"x" * LARGE_CHUNK, times)

        self.run_case(crowds)

    def test_chunked_bodies_far_over_the_limit(self):
        async def crowds():
            first = head(self.path, CHUNKED, **self.headers)
            data = chunked(LARGE_CHUNK, LARGE_CHUNK)
            await self.send_all(self.crowd, first, data, OVERSIZED_BODY // LARGE_CHUNK)

        self.run_case(crowds)

    def test_messages_to_the_peer_port_that_stop_short_of_their_end(self):
        async def crowds():
            self.crowds = [Crowd(address) for address in self.peer_addresses()]
            length = struct.pack(">I", PEER_MESSAGE)
            await asyncio.gather(
                *[c.send(self.crowd, length, b"x" * (PEER_MESSAGE - 1)) for c in self.crowds]
            )

        self.run_case(crowds)

    def test_more_unfinished_requests_than_descriptors(self):
        async def crowds():
            first = head(self.path, CHUNKED, **self.headers)
            await self.send_all(LARGE_CROWD, first[:-2])

        self.run_case(crowds)


class LimitedDeployment(Deployment):
    """A deployment whose nodes have the limits of the tests' VM."""

    def __init__(self, max_fds):
        super().__init__(BUILD, Shape(nodes=2))
        self.max_fds = max_fds

    def add_node(self, name, zone):
        node = super().add_node(name, zone)
        with open(node.settings) as file:
            text = with_limits(file.read(), self.max_fds)
        with open(node.settings, "w") as file:
            file.write(text)
        return node

    def spawn(self, name, *command):
        if command[0] != "apricottrackd":
            return super().spawn(name, *command)
        with open(os.path.join(self.folder, name + ".log"), "ab") as log:
            process = subprocess.Popen(
                [DAEMON, *command[1:]],
                stdout=log, stderr=log,
                preexec_fn=lambda: resource.setrlimit(
                    resource.RLIMIT_NOFILE, (self.max_fds, self.max_fds)
                ),
            )  # fmt: skip
        self.processes.append(process)
        return process


class OwnInterfaceTest(HostileCase, unittest.TestCase):
    path = "/v1/chat/completions"
    headers = {"Authorization": "Bearer brennock-chain-0"}
    body_bytes = OWN_BODY
    small_chunks_bytes = OWN_BODY

    def setUp(self):
        self.deployment = LimitedDeployment(self.max_fds)
        self.addCleanup(self.deployment.stop)
        self.deployment.start()
        applied = self.deployment.apply(brennock.configuration(4, 2).to_toml())
        self.assertEqual(applied.returncode, 0, applied.stderr)
        for node in range(2):
            wait_until(lambda n=node: self.deployment.serving("advisor", n) == 4)

    def addresses(self):
        return [node.listen for node in self.deployment.nodes]

    def peer_addresses(self):
        addresses = []
        for node in self.deployment.nodes:
            with open(node.settings) as file:
                found = re.search(r'peer_listen = "(.*)"', file.read())
            addresses.append(found.group(1))
        return addresses

    def pids(self):
        return [node.process.pid for node in self.deployment.nodes]

    async def ordinary_request(self):
        answers = [
            await asyncio.to_thread(chat, address, "after the crowd")
            for address in self.addresses()
        ]
        return max(status for status, _, _ in answers)

    def run_case(self, crowds):
        async def run():
            await crowds()
            try:
                await self.check()
            finally:
                self.close_crowds()

        asyncio.run(run())


class OwnAdminPortTest(OwnInterfaceTest):
    path = "/status"

    def addresses(self):
        return [node.admin for node in self.deployment.nodes]

    async def ordinary_request(self):
        answers = [
            await asyncio.to_thread(chat, node.listen, "after the crowd")
            for node in self.deployment.nodes
        ]
        return max(status for status, _, _ in answers)


class OwnInterfaceMemoryTest(OwnInterfaceTest):
    """A larger crowd, on a node whose descriptors do not limit it."""

    max_fds = MANY_FDS
    crowd = LARGER_CROWD


class LimitedNode(standins.Node):
    """A node with the limits of the tests' VM."""

    def __init__(self, world, index):
        super().__init__(world, index, memory_mb=MEMORY_MB)

    def settings(self):
        return with_limits(super().settings(), self.world.max_fds)


class PlatformTest(HostileCase, unittest.TestCase):
    path = "/book/1"
    headers = {
        "Request_Attempt_Id": "ffffffffffffffff",
        "Deadline_Ms": "2500",
        "Authorization": "Token " + standins.KEY,
    }
    body_bytes = PLATFORM_BODY
    small_chunks_bytes = OWN_BODY

    def addresses(self):
        return [node.client for node in self.world.nodes]

    def peer_addresses(self):
        return [f"{node.ip}:{node.peer}" for node in self.world.nodes]

    def pids(self):
        self.assertEqual([node.deaths for node in self.world.nodes], [[], []])
        return [node.process.pid for node in self.world.nodes]

    async def ordinary_request(self, body=b"x"):
        statuses = []
        for node in self.world.nodes:
            headers = {
                "Host": standins.HOST,
                "Request-Attempt-Id": self.world.attempt(),
                "Deadline-Ms": "2500",
                "Authorization": "Token " + standins.KEY,
            }
            answer = await asyncio.wait_for(
                standins.call(node.client, "POST", "/book/1", headers, body), 20
            )
            statuses.append(answer[0])
        return max(statuses)

    def test_bodies_of_the_largest_size_are_served_without_a_crowd(self):
        async def largest():
            status = await self.ordinary_request(b"x" * PLATFORM_LIMIT)
            self.assertEqual(status, 200)

        self.run_case(largest)

    async def start_world(self):
        targets = [
            standins.Runner(
                self.world.store, self.world.record, f"i-b{i:07x}", "booking", zone
            )
            for i, zone in enumerate(["ie-south-a", "ie-south-b"])
        ]
        routes = [standins.route("book", "/book/", "non_idempotent", "booking")]
        services = [standins.plain_service("booking")]
        await self.world.start(standins.configuration(routes, services), 2, targets)

    def run_case(self, crowds):
        standins.DAEMON = DAEMON

        async def run():
            with tempfile.TemporaryDirectory() as folder:
                self.world = standins.World(folder)
                self.world.max_fds = self.max_fds
                try:
                    await self.start_world()
                    await crowds()
                    await self.check()
                finally:
                    self.close_crowds()
                    await self.world.stop()
                    shutil.rmtree(self.world.folder, ignore_errors=True)

        self.crowds = []
        original, standins.Node = standins.Node, LimitedNode
        try:
            asyncio.run(run())
        finally:
            standins.Node = original


class PlatformMemoryTest(PlatformTest):
    """A larger crowd, on a node whose descriptors do not limit it."""

    max_fds = MANY_FDS
    crowd = LARGER_CROWD


class ForwardingPortTest(PlatformTest):
    """The port at which a node accepts requests of other nodes."""

    def addresses(self):
        return [f"{node.ip}:{node.peer + 1}" for node in self.world.nodes]


class PlatformAdminPortTest(PlatformTest):
    """The port of the node's metrics."""

    path = "/metrics"
    body_bytes = OWN_BODY

    def addresses(self):
        return [f"{node.ip}:9464" for node in self.world.nodes]


if __name__ == "__main__":
    unittest.main()
