"""Faults of targets and connections: callers never get a wrong or truncated
response as a complete one."""

import concurrent.futures
import json
import os
import signal
import time
import unittest

from deployment import Deployment, Shape, book, call, chat, wait_until

import brennock
from checks import content_of, is_complete_response, outcome_of, runs_by_key

BUILD = os.environ["BUILD_DIR"]


class FaultsTest(unittest.TestCase):
    def setUp(self):
        shape = Shape(nodes=2, target_flags=["--token-ms", "20"])
        self.deployment = Deployment(BUILD, shape)
        self.deployment.start()
        self.addCleanup(self.deployment.stop)
        applied = self.deployment.apply(brennock.configuration(4, 2).to_toml())
        self.assertEqual(applied.returncode, 0, applied.stderr)
        for node in range(2):
            wait_until(lambda n=node: self.deployment.serving("advisor", n) == 4)
            wait_until(lambda n=node: self.deployment.serving("booking", n) == 2)

    def node(self, index=0):
        return self.deployment.nodes[index].listen

    def engines(self):
        return [vm for vm in self.deployment.vms if not vm.plain]

    def plain(self):
        return [vm for vm in self.deployment.vms if vm.plain]

    def set_fault(self, vms, **fault):
        for vm in vms:
            call(vm.address, "POST", "/control", json.dumps(fault))

    def heads(self):
        by_name = {vm.name: vm for vm in self.deployment.vms}
        return [
            by_name[group["members"][0]] for group in self.deployment.status()["groups"]
        ]

    def test_a_broken_stream_is_resumed_without_gap_or_duplicate(self):
        expected = content_of(chat(self.node(), "resume me", tokens=10)[1])
        self.set_fault(self.heads()[:2], truncate_after=3)
        for i in range(6):
            status, body, _ = chat(self.node(), "resume me", stream=True, tokens=10)
            self.assertEqual(status, 200)
            self.assertEqual(content_of(body), expected)
            self.assertTrue(body.endswith("data: [DONE]\n\n"))

    def test_a_stream_that_cannot_be_resumed_does_not_end_as_complete(self):
        self.set_fault(self.engines(), truncate_after=2)
        with self.assertRaises(Exception):
            chat(self.node(), "cut", stream=True, tokens=20)

    def test_a_stalled_stream_is_resumed_on_another_target(self):
        expected = content_of(chat(self.node(), "stall", tokens=8)[1])
        self.set_fault(self.heads()[:2], stall_after=2)
        status, body, _ = chat(self.node(), "stall", stream=True, tokens=8)
        self.assertEqual(status, 200)
        self.assertEqual(content_of(body), expected)

    def test_a_response_with_another_requests_id_never_reaches_a_caller(self):
        self.set_fault(self.engines() + self.plain(), foreign_ids=True)
        status, body, headers = chat(self.node(), "mine?")
        self.assertEqual(status, 502)
        self.assertEqual(outcome_of(status, body, headers), "outcome_unknown")
        status, body, headers = book(self.node(), "foreign-1")
        self.assertEqual(outcome_of(status, body, headers), "outcome_unknown")
        self.assertEqual(runs_by_key(self.deployment.records())["foreign-1"], 1)

    def test_a_duplicated_response_is_not_matched_to_the_next_request(self):
        self.set_fault(self.engines() + self.plain(), duplicate=True)
        for i in range(20):
            path = f"/services/booking/slots?{i}"
            headers = {"Authorization": "Bearer brennock-chain-0"}
            status, body, _ = call(self.node(), "GET", path, None, headers)
            self.assertEqual(status, 200)
            self.assertEqual(json.loads(body)["path"], f"/slots?{i}")

    def test_a_booking_with_a_lost_response_is_unknown_and_never_rerun(self):
        self.set_fault(self.plain(), drop_answers=True)
        status, body, headers = book(self.node(0), "lost-1")
        self.assertEqual(outcome_of(status, body, headers), "outcome_unknown")
        self.set_fault(self.plain())
        for node in (0, 1, 0):
            status, body, headers = book(self.node(node), "lost-1")
            self.assertEqual(outcome_of(status, body, headers), "outcome_unknown")
        self.assertEqual(runs_by_key(self.deployment.records())["lost-1"], 1)
        audit = self.deployment.command("audit", "--json").stdout
        self.assertIn('"outcome":"outcome_unknown"', audit)

    # Guards against callers who are told that a booking has not run that has, and
    # who therefore book again.
    def test_a_booking_that_ran_and_is_refused_is_unknown_and_never_rerun(self):
        for refused in (503, 429, 408, 421):
            key = f"refused-{refused}"
            self.set_fault(self.plain(), refuse_after_run=refused)
            status, body, headers = book(self.node(0), key)
            self.assertEqual(status, 502)
            self.assertEqual(outcome_of(status, body, headers), "outcome_unknown")
            self.set_fault(self.plain())
            for node in (0, 1):
                status, body, headers = book(self.node(node), key)
                self.assertEqual(status, 409)
                self.assertEqual(outcome_of(status, body, headers), "outcome_unknown")
            self.assertEqual(runs_by_key(self.deployment.records())[key], 1)

    def test_an_idempotent_request_that_is_refused_after_its_run_is_retried(self):
        expected = content_of(chat(self.node(), "shed", tokens=5)[1])
        self.set_fault(self.heads()[:2], refuse_after_run=503)
        for i in range(6):
            status, body, _ = chat(self.node(i % 2), "shed", tokens=5)
            self.assertEqual((status, content_of(body)), (200, expected))

    def test_a_group_with_a_killed_member_stops_and_is_repaired_with_a_spare(self):
        victim = next(
            vm
            for vm in self.deployment.vms
            if vm.name == self.deployment.status()["groups"][0]["members"][1]
        )
        victim.process.send_signal(signal.SIGKILL)
        wait_until(lambda: self.deployment.serving("advisor") == 3)
        wait_until(lambda: self.deployment.serving("advisor") == 4)
        group = self.deployment.status()["groups"][0]
        self.assertNotIn(victim.name, group["members"])

    def test_after_a_domain_fails_the_other_serves_until_it_recovers(self):
        expected = content_of(chat(self.node(), "dark", tokens=20)[1])
        failed = [vm for vm in self.engines() if vm.domain == "fabric-0"]
        with concurrent.futures.ThreadPoolExecutor(6) as pool:
            answers = [
                pool.submit(chat, self.node(i % 2), "dark", stream=True, tokens=20)
                for i in range(6)
            ]
            time.sleep(0.2)
            for vm in failed:
                vm.process.send_signal(signal.SIGKILL)
            for answer in answers:
                status, body, _ = answer.result()
                self.assertEqual((status, content_of(body)), (200, expected))
        wait_until(lambda: self.deployment.serving("advisor") == 2)
        self.assertEqual(content_of(chat(self.node(), "dark", tokens=20)[1]), expected)
        for vm in failed:
            vm.process.wait()
            self.deployment.start_vm(vm)
        wait_until(lambda: self.deployment.serving("advisor") == 4)

    def test_requests_survive_the_kill_of_a_head(self):
        expected = content_of(chat(self.node(), "survive", tokens=30)[1])
        with concurrent.futures.ThreadPoolExecutor(8) as pool:
            answers = [
                pool.submit(chat, self.node(i % 2), "survive", stream=True, tokens=30)
                for i in range(8)
            ]
            time.sleep(0.3)
            self.heads()[0].process.send_signal(signal.SIGKILL)
            for answer in answers:
                status, body, _ = answer.result()
                self.assertEqual(status, 200)
                self.assertEqual(content_of(body), expected)

    def test_a_paused_target_gets_no_requests(self):
        paused = self.plain()[0]
        paused.process.send_signal(signal.SIGSTOP)
        wait_until(lambda: self.deployment.serving("booking") == 1)
        for i in range(5):
            self.assertEqual(book(self.node(), f"paused-{i}")[0], 200)
        paused.process.send_signal(signal.SIGCONT)
        wait_until(lambda: self.deployment.serving("booking") == 2)

    def test_a_request_past_its_deadline_has_an_unknown_outcome(self):
        self.set_fault(self.plain(), slow_percent=100_000)
        status, body, headers = book(self.node(), "late-1", timeout_ms=500)
        self.assertEqual(status, 504)
        self.assertEqual(outcome_of(status, body, headers), "outcome_unknown")
        self.assertTrue(is_complete_response(chat(self.node(), "x", tokens=2)[1], 2))


if __name__ == "__main__":
    unittest.main()
