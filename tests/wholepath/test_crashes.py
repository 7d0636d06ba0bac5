"""Repeats of a request that ends the targets that run it do not reach more targets."""

import json
import os
import time
import unittest

from deployment import Deployment, Shape, call, chat, wait_until

import brennock

BUILD = os.environ["BUILD_DIR"]


class CrashesTest(unittest.TestCase):
    def setUp(self):
        self.deployment = Deployment(BUILD, Shape(nodes=3))
        self.addCleanup(self.deployment.stop)
        self.deployment.start()
        self.deployment.apply(brennock.configuration(4, 2).to_toml())
        for node in range(3):
            wait_until(lambda n=node: self.deployment.serving("advisor", n) == 4)

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


if __name__ == "__main__":
    unittest.main()
