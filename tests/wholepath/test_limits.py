"""Nodes together keep within the request limits that targets state."""

import json
import os
import threading
import time
import unittest

from deployment import Deployment, Shape, book, call, wait_until

import brennock

BUILD = os.environ["BUILD_DIR"]
LIMIT = 3.0


class LimitsTest(unittest.TestCase):
    def setUp(self):
        self.deployment = Deployment(BUILD, Shape(nodes=3, plain=2))
        self.addCleanup(self.deployment.stop)
        self.deployment.start()
        self.deployment.apply(brennock.configuration(4, 2).to_toml())
        for node in range(3):
            wait_until(lambda n=node: self.deployment.serving("booking", n) == 2)

    def state_limit(self, text):
        for vm in self.deployment.vms:
            if vm.plain:
                call(vm.address, "POST", "/control", json.dumps({"request_limit": text}))

    def book_for(self, seconds):
        """Books through all nodes at once; returns the statuses."""
        statuses = []
        end = time.monotonic() + seconds

        def run(node, caller):
            count = 0
            while time.monotonic() < end:
                key = f"{time.monotonic()}-{caller}-{count}"
                listen = self.deployment.nodes[node].listen
                statuses.append(book(listen, key, timeout_ms=1000)[0])
                count += 1
                time.sleep(0.02)

        callers = [threading.Thread(target=run, args=(i % 3, i)) for i in range(9)]
        for caller in callers:
            caller.start()
        for caller in callers:
            caller.join()
        return statuses

    def most_in_four_seconds(self, start):
        most = 0
        for vm in self.deployment.vms:
            times = [
                record["at"]
                for record in self.deployment.records()
                if record["event"] == "run"
                and record["vm"] == vm.name
                and vm.plain
                and record["at"] >= start
            ]
            for first in times:
                most = max(most, sum(first <= at <= first + 4000 for at in times))
        return most

    def test_nodes_together_do_not_exceed_the_limit_of_a_target(self):
        self.state_limit(str(LIMIT))
        self.book_for(1)
        start = time.time() * 1000 + 500
        statuses = self.book_for(7)
        self.assertLessEqual(self.most_in_four_seconds(start), 1.5 * LIMIT * 4 + 5)
        self.assertGreater(statuses.count(200), 7 * LIMIT)
        self.assertEqual(set(statuses), {200, 503})

    def test_a_limit_ends_when_the_target_no_longer_states_it(self):
        self.state_limit(str(LIMIT))
        self.book_for(2)
        self.state_limit("")
        self.book_for(3)
        statuses = self.book_for(2)
        self.assertEqual(set(statuses), {200})
        self.assertGreater(len(statuses), 100)


if __name__ == "__main__":
    unittest.main()
