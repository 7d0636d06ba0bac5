"""Requests whose body has more than one end are rejected on each HTTP port of a node,
and nothing of them runs."""

import asyncio
import os
import re
import socket
import sys
import tempfile
import unittest

from deployment import ROOT, Deployment, Shape, book, wait_until

sys.path.insert(0, os.path.join(ROOT, "review", "lib"))

import brennock
import standins

BUILD = os.environ["BUILD_DIR"]
FRAMINGS = [
    "Transfer-Encoding: gzip",
    "Transfer-Encoding: identity",
    "Transfer-Encoding: chunked, gzip",
    "Transfer-Encoding: chunked\r\nTransfer-Encoding: identity",
    "Transfer-Encoding: chunked\r\nContent-Length: 5",
    "Content-Length: 5, 5",
    "Content-Length: 5\r\nContent-Length: 5",
]


def exchange(address: str, data: bytes) -> bytes:
    """Sends the data and returns all bytes up to the close of the connection."""
    host, port = address.rsplit(":", 1)
    received = b""
    with socket.create_connection((host, int(port)), timeout=5) as connection:
        connection.sendall(data)
        while part := connection.recv(65536):
            received += part
    return received


class FramingTest(unittest.TestCase):
    def check_port(self, address, path, headers):
        """Sends a request within the body of another one, for each framing."""
        lines = [f"{name}: {value}" for name, value in headers.items()]
        fields = "\r\n".join(lines)
        hidden = f"POST {path}?hidden HTTP/1.1\r\n{fields}\r\nContent-Length: 0\r\n\r\n"
        for framing in FRAMINGS:
            with self.subTest(address=address, framing=framing):
                data = f"POST {path} HTTP/1.1\r\n{fields}\r\n{framing}\r\n\r\n{hidden}"
                received = exchange(address, data.encode())
                self.assertEqual(received[:12], b"HTTP/1.1 400")
                self.assertEqual(len(re.findall(rb"HTTP/1\.1 \d", received)), 1)

    def test_ports_of_the_own_interface(self):
        with Deployment(BUILD, Shape(nodes=1)) as deployment:
            applied = deployment.apply(brennock.configuration(4, 2).to_toml())
            self.assertEqual(applied.returncode, 0, applied.stderr)
            wait_until(lambda: deployment.serving("booking") == 2)
            node = deployment.nodes[0]
            headers = {"Host": "h", "Authorization": "Bearer brennock-chain-0"}
            self.check_port(node.listen, "/services/booking/bookings", headers)
            self.check_port(node.admin, "/status", headers)
            runs = [r for r in deployment.records() if r["event"] == "run"]
            self.assertEqual(runs, [])
            self.assertEqual(book(node.listen, "after")[0], 200)

    async def check_platform_node(self, folder):
        world = standins.World(folder)
        try:
            targets = [
                standins.Runner(
                    world.store, world.record, "i-b0000001", "booking", "ie-south-a"
                )
            ]
            routes = [standins.route("book", "/book/", "non_idempotent", "booking")]
            services = [standins.plain_service("booking")]
            await world.start(standins.configuration(routes, services), 1, targets)
            node = world.nodes[0]
            headers = {
                "Host": standins.HOST,
                "Request-Attempt-Id": "ffffffffffffffff",
                "Deadline-Ms": "2500",
                "Authorization": "Token " + standins.KEY,
            }
            ports = {
                node.client: "/book/1",
                f"{node.ip}:{node.peer + 1}": "/book/1",
                node.ready: "/ready",
                f"{node.ip}:9464": "/metrics",
            }
            for address, path in ports.items():
                await asyncio.to_thread(self.check_port, address, path, headers)
            headers["Request-Attempt-Id"] = world.attempt()
            answer = await standins.call(
                node.client, "POST", "/book/1", headers, b"after"
            )
            self.assertEqual(answer[0], 200)
            ran = [line for line in world.record.lines if line["what"] == "run"]
            self.assertEqual(len(ran), 1)
        finally:
            await world.stop()

    def test_ports_on_the_prepared_platform(self):
        standins.DAEMON = os.path.join(BUILD, "apricottrackd")
        with tempfile.TemporaryDirectory() as folder:
            asyncio.run(self.check_platform_node(folder))


if __name__ == "__main__":
    unittest.main()
