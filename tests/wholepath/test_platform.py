"""Outages, delays and lost replies of the platform's key-value service, killed or
paused nodes, and concurrent submissions by operators."""

import concurrent.futures
import json
import os
import signal
import time
import unittest

from deployment import Deployment, Shape, book, call, chat, wait_until

import brennock
from checks import outcome_of, runs_by_key

BUILD = os.environ["BUILD_DIR"]


class PlatformTest(unittest.TestCase):
    def setUp(self):
        self.deployment = Deployment(BUILD, Shape(nodes=3))
        self.deployment.start()
        self.addCleanup(self.deployment.stop)
        self.text = brennock.configuration(4, 2).to_toml()
        self.deployment.apply(self.text)
        for node in range(3):
            wait_until(lambda n=node: self.deployment.serving("advisor", n) == 4)
            wait_until(lambda n=node: self.deployment.serving("booking", n) == 2)

    def node(self, index=0):
        return self.deployment.nodes[index].listen

    def set_faults(self, **faults):
        call(self.deployment.kv, "POST", "/control", json.dumps(faults))

    def test_in_an_outage_bookings_are_not_run_and_chats_are_served(self):
        self.set_faults(outage=True)
        status, body, headers = book(self.node(), "outage-1")
        self.assertEqual(outcome_of(status, body, headers), "not_run")
        self.assertEqual(chat(self.node(), "still serving")[0], 200)
        self.set_faults(outage=False)
        wait_until(lambda: book(self.node(1), "outage-1")[0] == 200)
        self.assertEqual(runs_by_key(self.deployment.records())["outage-1"], 1)

    def test_lost_store_replies_cause_no_second_run(self):
        for i in range(10):
            self.set_faults(lose_replies=2)
            status, body, headers = book(self.node(i % 3), f"reply-{i}")
            if outcome_of(status, body, headers) == "not_run":
                wait_until(lambda n=i: book(self.node(), f"reply-{n}")[0] == 200)
        runs = runs_by_key(self.deployment.records())
        self.assertEqual([runs[f"reply-{i}"] for i in range(10)], [1] * 10)

    def test_a_slow_platform_does_not_prevent_bookings_or_chats(self):
        self.set_faults(delay_ms=400)
        self.assertEqual(book(self.node(), "slow-1")[0], 200)
        self.assertEqual(chat(self.node(), "fast")[0], 200)

    def test_a_booking_whose_node_resumes_after_the_deadline_is_not_run(self):
        self.set_faults(delay_ms=300)
        node = self.deployment.nodes[0]
        with concurrent.futures.ThreadPoolExecutor(1) as pool:
            answer = pool.submit(book, node.listen, "late-wake", timeout_ms=1000)
            time.sleep(0.15)
            node.process.send_signal(signal.SIGSTOP)
            time.sleep(1.5)
            node.process.send_signal(signal.SIGCONT)
            status, body, headers = answer.result()
        self.assertEqual(outcome_of(status, body, headers), "not_run")
        self.assertEqual(runs_by_key(self.deployment.records())["late-wake"], 0)
        self.set_faults(delay_ms=0)
        wait_until(lambda: book(self.node(1), "late-wake")[0] == 200)
        self.assertEqual(runs_by_key(self.deployment.records())["late-wake"], 1)

    def test_one_of_several_concurrent_submissions_is_accepted(self):
        def submit(i):
            text = self.text.replace("Brennock Software", f"Brennock {i}")
            return self.deployment.command("apply", "-", "--base", "1", stdin=text)

        with concurrent.futures.ThreadPoolExecutor(4) as pool:
            results = list(pool.map(submit, range(4)))
        codes = sorted(result.returncode for result in results)
        self.assertEqual(codes, [0, 3, 3, 3], [r.stderr for r in results])
        self.assertIn("in force on 3 nodes", "".join(r.stdout for r in results))

    def test_a_lost_reply_does_not_make_a_submission_conflict_with_itself(self):
        self.set_faults(lose_replies=2)
        text = self.text.replace("Brennock Software", "Brennock again")
        result = self.deployment.command("apply", "-", stdin=text)
        self.assertEqual(result.returncode, 0, result.stderr)
        self.assertIn("accepted version=2", result.stdout)

    def test_a_new_node_in_an_outage_serves_nothing_until_it_is_configured(self):
        self.set_faults(outage=True)
        new_node = self.deployment.add_node("entry-9", "ie-south-a")
        self.deployment.start_node(new_node)
        wait_until(lambda: call(new_node.admin, "GET", "/healthz")[0] == 503)
        status, body, headers = chat(new_node.listen, "too early")
        self.assertEqual(status, 503)
        self.assertEqual(outcome_of(status, body, headers), "not_run")
        self.set_faults(outage=False)
        wait_until(lambda: chat(new_node.listen, "now")[0] == 200)

    def test_bookings_whose_node_is_killed_run_at_most_once(self):
        victim = self.deployment.nodes[0]

        def attempt(i):
            try:
                return i, outcome_of(*book(victim.listen, f"kill-{i}"))
            except Exception:
                return i, "no answer"

        with concurrent.futures.ThreadPoolExecutor(8) as pool:
            answers = [pool.submit(attempt, i) for i in range(60)]
            wait_until(lambda: len(runs_by_key(self.deployment.records())) > 10)
            victim.process.send_signal(signal.SIGKILL)
            first = dict(answer.result() for answer in answers)
        second = {i: outcome_of(*book(self.node(1), f"kill-{i}")) for i in range(60)}
        runs = runs_by_key(self.deployment.records())
        for i in range(60):
            self.assertLessEqual(runs[f"kill-{i}"], 1)
            if first[i] == "answered":
                self.assertNotEqual(second[i], "not_run")
            if second[i] == "answered":
                self.assertEqual(runs[f"kill-{i}"], 1)

    def test_a_planner_that_resumes_from_a_pause_does_not_undo_a_repair(self):
        before = self.deployment.status(1)["groups"]
        planner = self.deployment.nodes[0]
        planner.process.send_signal(signal.SIGSTOP)
        victim = next(
            vm for vm in self.deployment.vms if vm.name == before[0]["members"][1]
        )
        victim.process.send_signal(signal.SIGKILL)
        wait_until(
            lambda: victim.name
            not in json.dumps(self.deployment.status(1)["groups"])
        )  # fmt: skip
        planner.process.send_signal(signal.SIGCONT)
        wait_until(lambda: self.deployment.serving("advisor", 0) == 4)
        for node in range(3):
            members = [
                member
                for group in self.deployment.status(node)["groups"]
                for member in group["members"]
            ]
            self.assertEqual(len(members), len(set(members)))
            self.assertNotIn(victim.name, members)


if __name__ == "__main__":
    unittest.main()
