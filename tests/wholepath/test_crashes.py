"""Repeats of a request that ends the targets that run it do not reach more targets."""

import json
import os
import time
import unittest

from deployment import Deployment, Shape, book, call, chat, wait_until

import brennock
from checks import outcome_of, runs_by_key

BUILD = os.environ["BUILD_DIR"]


class CrashesTest(unittest.TestCase):
    def setUp(self):
        self.deployment = Deployment(BUILD, Shape(nodes=3, plain=4))
        self.addCleanup(self.deployment.stop)
        self.deployment.start()
        self.deployment.apply(brennock.configuration(4, 2).to_toml())
        for node in range(3):
            wait_until(lambda n=node: self.deployment.serving("advisor", n) == 4)
            wait_until(lambda n=node: self.deployment.serving("booking", n) == 4)

    def node(self, index):
        return self.deployment.nodes[index % 3].listen

    def set_fault(self, **fault):
        for vm in self.deployment.vms:
            call(vm.address, "POST", "/control", json.dumps(fault))

    def runs(self):
        return sum(record["event"] == "run" for record in self.deployment.records())

    def test_repeats_of_a_request_that_crashes_targets_are_refused(self):
        for vm in self.deployment.vms:
            call(vm.address, "POST", "/control", json.dumps({"drop_answers": True}))
        for i in range(4):
            chat(self.deployment.nodes[i % 3].listen, "deadly")
        self.assertGreaterEqual(self.runs(), 3)
        time.sleep(3)
        before = self.runs()
        for i in range(10):
            chat(self.deployment.nodes[i % 3].listen, "deadly")
        self.assertLessEqual(self.runs() - before, 3)

    def test_a_request_in_quarantine_is_told_at_once_beside_sound_ones(self):
        self.set_fault(drop_answers=True)
        for i in range(4):
            chat(self.node(i), "deadly")
        time.sleep(3)
        self.set_fault()
        for i in range(3):
            start = time.monotonic()
            status, body, headers = chat(self.node(i), "deadly")
            self.assertLess(time.monotonic() - start, 1)
            self.assertEqual(status, 503)
            self.assertEqual(outcome_of(status, body, headers), "not_run")
            self.assertGreater(int(headers["Retry-After"]), 60)
            self.assertEqual(chat(self.node(i), "sound")[0], 200)

    def test_a_request_that_is_answered_as_well_is_not_refused(self):
        heads = {
            group["members"][0] for group in self.deployment.status()["groups"][:2]
        }
        for vm in self.deployment.vms:
            if vm.name in heads:
                fault = json.dumps({"drop_answers": True})
                call(vm.address, "POST", "/control", fault)
        for i in range(60):
            status = chat(self.node(i), "popular")[0]
            self.assertNotEqual(status, 503, f"request {i}")
            time.sleep(0.05)

    def test_a_booking_in_quarantine_keeps_its_journal(self):
        self.set_fault(drop_answers=True)
        for i in range(12):
            book(self.node(i), f"key-{i}")
        time.sleep(3)
        self.set_fault()
        status, body, headers = book(self.node(1), "key-0")
        self.assertEqual(status, 409)
        self.assertEqual(outcome_of(status, body, headers), "outcome_unknown")
        status, body, headers = book(self.node(1), "key-new")
        self.assertEqual(status, 503)
        self.assertEqual(outcome_of(status, body, headers), "not_run")
        runs = runs_by_key(self.deployment.records())
        self.assertEqual(runs["key-0"], 1)
        self.assertEqual(runs.get("key-new", 0), 0)


if __name__ == "__main__":
    unittest.main()
