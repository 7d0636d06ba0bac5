"""A node that reaches no target serves its callers through other nodes."""

import json
import os
import time
import unittest

from deployment import Deployment, Shape, book, chat, free_port, wait_until

import brennock
from checks import content_of, runs_by_key

BUILD = os.environ["BUILD_DIR"]


class IsolationTest(unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        cls.deployment = Deployment(BUILD, Shape(nodes=2))
        cls.deployment.start()
        cls.addClassCleanup(cls.deployment.stop)
        applied = cls.deployment.apply(brennock.configuration(4, 2).to_toml())
        assert applied.returncode == 0, applied.stderr
        for node in range(2):
            wait_until(lambda n=node: cls.deployment.serving("advisor", n) == 4)
            wait_until(lambda n=node: cls.deployment.serving("booking", n) == 2)
        cls.isolated = cls.start_isolated_node()
        wait_until(lambda: "advisor" in cls.deployment.status(2)["services"])

    @classmethod
    def start_isolated_node(cls):
        """Starts a node that gets the VMs with addresses at which nothing listens."""
        listing = json.loads(cls.deployment._listing())
        for vm in listing["vms"]:
            vm["address"] = f"127.0.0.1:{free_port()}"
        path = os.path.join(cls.deployment.folder, "unreachable.json")
        with open(path, "w") as file:
            json.dump(listing, file)
        others, cls.deployment.vm_list = (
            cls.deployment.vm_list,
            f"127.0.0.1:{free_port()}",
        )
        cls.deployment.spawn(
            "unreachable", "standin", "vms", "--listen", cls.deployment.vm_list,
            "--file", path, "--lag-ms", "100",
        )  # fmt: skip
        node = cls.deployment.add_node("entry-isolated", "ie-south-c")
        cls.deployment.vm_list = others
        cls.deployment.start_node(node)
        return node.listen

    def test_callers_of_an_isolated_node_are_served(self):
        self.assertEqual(self.deployment.serving("advisor", 2), 0)
        direct = chat(self.deployment.nodes[0].listen, "cure time?", tokens=5)
        started = time.monotonic()
        plain = chat(self.isolated, "cure time?", tokens=5)
        streamed = chat(self.isolated, "cure time?", tokens=5, stream=True)
        self.assertEqual((plain[0], streamed[0]), (200, 200))
        self.assertEqual(content_of(plain[1]), content_of(direct[1]))
        self.assertEqual(content_of(streamed[1]), content_of(direct[1]))
        self.assertTrue(streamed[1].endswith("data: [DONE]\n\n"))
        self.assertLess(time.monotonic() - started, 3)

    def test_a_booking_through_two_nodes_runs_once(self):
        answers = [
            book(address, "isolated-1")
            for address in (
                self.isolated,
                self.deployment.nodes[0].listen,
                self.isolated,
                self.deployment.nodes[1].listen,
            )
        ]
        self.assertEqual([answer[0] for answer in answers], [200] * 4)
        self.assertEqual(len({answer[1] for answer in answers}), 1)
        runs = runs_by_key(self.deployment.records())
        self.assertEqual(runs["isolated-1"], 1)

    def test_refusals_of_the_other_node_reach_the_caller(self):
        self.assertEqual(book(self.isolated, "k", account="unknown")[0], 401)


if __name__ == "__main__":
    unittest.main()
