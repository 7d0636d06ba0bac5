"""An evacuated availability zone gets no requests until it is taken back."""

import concurrent.futures
import json
import os
import signal
import threading
import time
import unittest

from deployment import ZONES, Deployment, Shape, call, chat, wait_until

import brennock
from checks import is_complete_response

BUILD = os.environ["BUILD_DIR"]
ZONE = ZONES[0]
ACCOUNT = {"Authorization": "Bearer brennock-chain-0"}


def list_slots(address, **headers):
    """Sends a request to the plain service, which is idempotent. Keyword arguments are
    sent as headers, with hyphens for underscores."""
    headers = {name.replace("_", "-"): value for name, value in headers.items()}
    return call(address, "GET", "/services/booking/slots", headers={**ACCOUNT, **headers})


class EvacuationTest(unittest.TestCase):
    def setUp(self):
        shape = Shape(nodes=2, target_flags=["--token-ms", "20"])
        self.deployment = Deployment(BUILD, shape)
        self.deployment.start()
        self.addCleanup(self.deployment.stop)
        self.deployment.apply(brennock.configuration(4, 2).to_toml())
        self.wait_for_targets(4, 2)
        self.zone_vms = {vm.name for vm in self.deployment.vms if vm.zone == ZONE}

    def node(self, index=0):
        return self.deployment.nodes[index].listen

    def wait_for_targets(self, groups, plain):
        for node in range(2):
            wait_until(lambda n=node: self.deployment.serving("advisor", n) == groups)
            wait_until(lambda n=node: self.deployment.serving("booking", n) == plain)

    def status_line(self):
        """Returns the line of the operators' command on the zone, empty without one."""
        lines = self.deployment.command("status").stdout.splitlines()
        return next((line for line in lines if line.startswith(f"zone {ZONE}")), "")

    def evacuate(self):
        """Evacuates the zone, waits until all nodes have it, and returns that time."""
        result = self.deployment.command("evacuate", ZONE)
        self.assertEqual(result.returncode, 0, result.stderr)
        self.assertEqual(result.stdout, f"evacuated zones: {ZONE}\n")
        wait_until(lambda: "evacuated at 2 of 2 nodes," in self.status_line())
        return time.time() * 1000

    def runs_in_zone(self, since):
        return [
            record
            for record in self.deployment.records()
            if record["event"] == "run"
            and record["vm"] in self.zone_vms
            and record["at"] > since
        ]

    def send_some(self, node):
        """Sends requests of both kinds; returns how many were answered."""
        with concurrent.futures.ThreadPoolExecutor(8) as pool:
            answers = [pool.submit(chat, self.node(node), f"p{i}") for i in range(12)]
            answers += [pool.submit(list_slots, self.node(node)) for _ in range(12)]
            return sum(answer.result()[0] == 200 for answer in answers)

    def restart_node(self, index):
        node = self.deployment.nodes[index]
        node.process.send_signal(signal.SIGKILL)
        node.process.wait()
        self.deployment.start_node(node)

    def test_an_evacuated_zone_gets_no_requests_and_serves_again_afterwards(self):
        groups = self.deployment.status()["groups"]
        stop = threading.Event()
        failures = []

        def keep_sending(index):
            while not stop.is_set():
                answers = [
                    chat(self.node(index % 2), f"load {index}", stream=True),
                    list_slots(self.node(index % 2)),
                ]
                failures.extend(answer for answer in answers if answer[0] != 200)

        threads = [threading.Thread(target=keep_sending, args=(i,)) for i in range(4)]
        for thread in threads:
            thread.start()
        wait_until(lambda: self.runs_in_zone(0))
        since = self.evacuate()
        time.sleep(3)
        stop.set()
        for thread in threads:
            thread.join()
        self.assertEqual(self.runs_in_zone(since), [])
        self.assertEqual(failures, [])
        self.wait_for_targets(2, 1)

        undone_at = time.time() * 1000
        result = self.deployment.command("evacuate", ZONE, "--undo")
        self.assertEqual(result.stdout, "evacuated zones: \n")
        self.wait_for_targets(4, 2)
        self.assertEqual(self.status_line(), "")
        self.assertEqual(self.deployment.status()["groups"], groups)
        for node in range(2):
            self.assertEqual(self.send_some(node), 24)
        used = {record["vm"] for record in self.runs_in_zone(undone_at)}
        self.assertIn("booking-0", used)
        self.assertTrue(any(vm.startswith("engine-0") for vm in used), used)

    def test_running_requests_finish_and_status_counts_them(self):
        # Requests with the same prompt would all go to one group.
        with concurrent.futures.ThreadPoolExecutor(12) as pool:
            streams = [
                pool.submit(chat, self.node(i % 2), f"{i}", stream=True, tokens=200)
                for i in range(12)
            ]
            wait_until(lambda: len(self.runs_in_zone(0)) > 2)
            self.deployment.command("evacuate", ZONE)

            def running():
                zones = self.deployment.status()["evacuated_zones"]
                return [zone["requests"] for zone in zones]

            wait_until(lambda: running() != [] and running()[0] > 0, 3)
            for stream in streams:
                status, body, _ = stream.result()
                self.assertEqual(status, 200)
                self.assertTrue(is_complete_response(body, 200))
        attempts = [r["request"] for r in self.runs_in_zone(0)]
        elsewhere = [
            record["request"]
            for record in self.deployment.records()
            if record["event"] == "run" and record["vm"] not in self.zone_vms
        ]
        self.assertEqual(set(attempts) & set(elsewhere), set())
        wait_until(lambda: self.status_line().endswith(" 0 requests running"))
        self.assertIn("6 VMs (0 not responding)", self.status_line())
        states = [
            group["state"]
            for group in self.deployment.status()["groups"]
            if group["domain"] == "fabric-0"
        ]
        self.assertEqual(states, ["zone_evacuated"] * 2)

    def test_a_node_restarted_during_an_evacuation_sends_nothing_there(self):
        since = self.evacuate()
        self.restart_node(0)
        wait_until(lambda: list_slots(self.node())[0] == 200)
        wait_until(lambda: chat(self.node(), "again")[0] == 200)
        self.assertEqual(self.send_some(0), 24)
        self.assertEqual(self.runs_in_zone(since), [])

    def test_a_node_restarted_without_the_store_sends_nothing_there(self):
        since = self.evacuate()
        call(self.deployment.kv, "POST", "/control", json.dumps({"outage": True}))
        # This node prefers the targets of the zone, which is its own.
        self.restart_node(0)
        admin = self.deployment.nodes[0].admin
        wait_until(lambda: call(admin, "GET", "/healthz")[0] == 503)
        end = time.monotonic() + 4
        while time.monotonic() < end:
            self.assertNotEqual(list_slots(self.node())[0], 200)
            self.assertEqual(list_slots(self.node(1))[0], 200)
            time.sleep(0.05)
        call(self.deployment.kv, "POST", "/control", json.dumps({"outage": False}))
        # A forwarded request makes the node read the configuration alone, which it
        # then has before its next list of the state.
        forwarded = {"X_Forwarded_By_Node": "entry-1", "X_Configuration_Version": "1"}
        wait_until(lambda: list_slots(self.node(), **forwarded)[0] == 200)
        self.assertEqual(self.send_some(0), 24)
        self.assertEqual(self.runs_in_zone(since), [])


if __name__ == "__main__":
    unittest.main()
