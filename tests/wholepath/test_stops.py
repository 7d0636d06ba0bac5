"""Planned stops finish requests in flight; leaving targets get no new requests."""

import concurrent.futures
import http.client
import json
import os
import signal
import threading
import time
import unittest

from deployment import Deployment, Shape, book, call, chat, wait_until

import brennock
from checks import content_of, runs_by_key

BUILD = os.environ["BUILD_DIR"]


class StopsTest(unittest.TestCase):
    def setUp(self):
        shape = Shape(nodes=2, target_flags=["--token-ms", "20"])
        self.deployment = Deployment(BUILD, shape)
        self.deployment.start()
        self.addCleanup(self.deployment.stop)
        self.deployment.apply(brennock.configuration(4, 2).to_toml())
        for node in range(2):
            wait_until(lambda n=node: self.deployment.serving("advisor", n) == 4)
            wait_until(lambda n=node: self.deployment.serving("booking", n) == 2)

    def node(self, index=0):
        return self.deployment.nodes[index].listen

    def test_a_stopping_node_finishes_requests_in_flight(self):
        expected = content_of(chat(self.node(1), "stop", tokens=100)[1])
        stopping = self.deployment.nodes[0]
        with concurrent.futures.ThreadPoolExecutor(6) as pool:
            streams = [
                pool.submit(chat, stopping.listen, "stop", stream=True, tokens=100)
                for _ in range(6)
            ]
            wait_until(lambda: self.deployment.status(0)["in_flight"] == 6)
            stopping.process.send_signal(signal.SIGTERM)
            wait_until(lambda: call(stopping.admin, "GET", "/healthz")[0] == 503)
            for stream in streams:
                self.assertEqual(content_of(stream.result()[1]), expected)
        self.assertEqual(stopping.process.wait(20), 0)
        wait_until(lambda: self.deployment.command("status").stdout.count("node ") == 1)
        self.assertEqual(chat(self.node(1), "after")[0], 200)

    def test_a_stopping_node_announces_the_end_of_kept_connections(self):
        stopping = self.deployment.nodes[0]
        host, port = stopping.listen.split(":")
        kept = http.client.HTTPConnection(host, int(port), timeout=20)
        self.addCleanup(kept.close)

        def request():
            body = {"model": "advisor", "messages": [{"role": "user", "content": "x"}]}
            kept.request(
                "POST", "/v1/chat/completions", json.dumps({**body, "max_tokens": 2}),
                {"Authorization": "Bearer brennock-chain-0"},
            )  # fmt: skip
            response = kept.getresponse()
            response.read()
            return response.status, response.getheader("Connection")

        self.assertEqual(request(), (200, None))
        stopping.process.send_signal(signal.SIGTERM)
        wait_until(lambda: call(stopping.admin, "GET", "/healthz")[0] == 503)
        self.assertEqual(request(), (200, "close"))
        self.assertEqual(stopping.process.wait(20), 0)

    def test_a_drained_vm_gets_no_new_requests_and_none_fail(self):
        groups = self.deployment.status()["groups"]
        leaving = groups[0]["members"][0]
        expected = content_of(chat(self.node(), "drain", tokens=60)[1])
        stop = threading.Event()
        failures = []

        def keep_sending(index):
            while not stop.is_set():
                status, body, _ = chat(
                    self.node(index % 2), "drain", stream=True, tokens=60
                )
                if status != 200 or content_of(body) != expected:
                    failures.append((status, body))

        threads = [threading.Thread(target=keep_sending, args=(i,)) for i in range(4)]
        for thread in threads:
            thread.start()
        time.sleep(0.5)
        self.deployment.command("drain", leaving, "booking-0")
        drained_at = time.time() * 1000

        def left_group():
            return all(
                leaving not in group["members"]
                for group in self.deployment.status()["groups"]
            )

        wait_until(left_group)
        time.sleep(1)
        stop.set()
        for thread in threads:
            thread.join()
        self.assertEqual(failures, [])
        for i in range(4):
            book(self.node(), f"drained-{i}")
        late = [
            record
            for record in self.deployment.records()
            if record["event"] == "run"
            and record["vm"] in (leaving, "booking-0")
            and record["at"] > drained_at + 3000
        ]
        self.assertEqual(late, [])
        self.assertEqual(len(runs_by_key(self.deployment.records())), 4)

    def test_a_vm_listed_as_leaving_is_replaced(self):
        leaving = self.deployment.status()["groups"][1]["members"][1]
        for vm in self.deployment.vms:
            if vm.name == leaving:
                vm.state = "leaving"
        self.deployment.publish_vms()

        def replaced():
            groups = self.deployment.status()["groups"]
            return len(groups) == 4 and all(
                leaving not in group["members"] for group in groups
            )

        wait_until(replaced)
        wait_until(lambda: self.deployment.serving("advisor") == 4)


if __name__ == "__main__":
    unittest.main()
