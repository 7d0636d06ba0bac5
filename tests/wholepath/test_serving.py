"""Callers get their own responses, and specific errors for invalid input."""

import concurrent.futures
import http.client
import json
import os
import socket
import time
import unittest

from deployment import Deployment, Shape, book, call, chat, wait_until

import brennock
from checks import content_of, is_complete_response, outcome_of, runs_by_key

BUILD = os.environ["BUILD_DIR"]
ACCOUNT = {"Authorization": "Bearer brennock-chain-0"}


def raw(address: str, data: bytes, pause_s: float = 0) -> bytes:
    """Sends raw bytes and returns everything that is received until the end."""
    host, port = address.split(":")
    with socket.create_connection((host, int(port)), timeout=20) as connection:
        connection.sendall(data)
        time.sleep(pause_s)
        answer = b""
        try:
            while piece := connection.recv(65536):
                answer += piece
        except ConnectionResetError:
            pass
        return answer


class ServingTest(unittest.TestCase):
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

    def node(self, index=0):
        return self.deployment.nodes[index].listen

    def test_plain_and_streamed_answers_agree(self):
        plain = chat(self.node(0), "cure time?", tokens=5)
        streamed = chat(self.node(1), "cure time?", tokens=5, stream=True)
        self.assertEqual((plain[0], streamed[0]), (200, 200))
        self.assertEqual(content_of(plain[1]), content_of(streamed[1]))
        self.assertTrue(streamed[1].endswith("data: [DONE]\n\n"))

    def test_many_callers_each_get_their_own_answer(self):
        expected = {}
        for i in range(40):
            expected[i] = content_of(chat(self.node(), f"prompt {i}", tokens=4)[1])
        self.assertEqual(len(set(expected.values())), 40)

        def send(i):
            prompt = f"prompt {i % 40}"
            return i % 40, chat(self.node(i % 2), prompt, stream=i % 3 == 0, tokens=4)

        with concurrent.futures.ThreadPoolExecutor(16) as pool:
            for i, (status, body, _) in pool.map(send, range(200)):
                self.assertEqual(status, 200)
                self.assertEqual(content_of(body), expected[i])

    def test_keep_alive_serves_many_requests(self):
        host, port = self.node().split(":")
        connection = http.client.HTTPConnection(host, int(port), timeout=10)
        for i in range(20):
            connection.request("GET", f"/services/booking/slots?{i}", headers=ACCOUNT)
            answer = json.loads(connection.getresponse().read())
            self.assertEqual(answer["path"], f"/slots?{i}")
        connection.close()

    def test_a_repeat_through_another_node_gets_the_recorded_answer(self):
        first = book(self.node(0), "repeat-1", '{"booth":1}')
        second = book(self.node(1), "repeat-1", '{"booth":1}')
        self.assertEqual((first[0], second[0]), (200, 200))
        self.assertEqual(first[1], second[1])
        self.assertEqual(runs_by_key(self.deployment.records())["repeat-1"], 1)

    def test_repeats_sent_concurrently_run_once(self):
        def attempt(i):
            return book(self.node(i % 2), f"race-{i // 8}", "{}")

        with concurrent.futures.ThreadPoolExecutor(16) as pool:
            answers = list(pool.map(attempt, range(80)))
        runs = runs_by_key(self.deployment.records())
        for i in range(10):
            self.assertEqual(runs[f"race-{i}"], 1)
        for status, body, headers in answers:
            self.assertIn(
                outcome_of(status, body, headers), ("answered", "outcome_unknown")
            )

    def test_a_key_reused_for_another_request_is_refused(self):
        book(self.node(), "reused", '{"booth":1}')
        status, body, _ = book(self.node(), "reused", '{"booth":2}')
        self.assertEqual(status, 422)
        error = json.loads(body)["error"]
        self.assertEqual(error["code"], "idempotency_key_reused")
        self.assertEqual(error["outcome"], "not_run")

    def test_the_callers_api_key_never_reaches_a_target(self):
        chat(self.node(), "secret?", X_Request_Id="visible-1")
        text = json.dumps(self.deployment.records())
        self.assertTrue("visible-1" in text)
        self.assertFalse("brennock-chain-0" in text)

    def test_bad_input_gets_a_specific_error(self):
        cases = [
            (b"NONSENSE\r\n\r\n", b"400", b"malformed_request"),
            (
                b"GET / HTTP/1.1\r\nX: " + b"a" * 40000 + b"\r\n\r\n",
                b"431",
                b"header_too_large",
            ),
            (
                b"POST / HTTP/1.1\r\nContent-Length: 99999999\r\n\r\n",
                b"413",
                b"body_too_large",
            ),
            (
                b"GET /nowhere HTTP/1.1\r\nConnection: close\r\n\r\n",
                b"401",
                b"unknown_account",
            ),
        ]
        for data, status, code in cases:
            answer = raw(self.node(), data)
            self.assertIn(status, answer.split(b"\r\n")[0], data[:40])
            self.assertIn(code, answer)
            self.assertIn(b"not_run", answer)

    def test_slow_and_idle_callers_do_not_block_others(self):
        host, port = self.node().split(":")
        idle = [socket.create_connection((host, int(port))) for _ in range(100)]
        for connection in idle[::2]:
            connection.sendall(b"POST /v1/chat/comp")
        status, body, _ = chat(self.node(), "still there?", tokens=3)
        self.assertEqual(status, 200)
        self.assertTrue(is_complete_response(body, 3))
        for connection in idle:
            connection.close()

    def test_a_caller_that_disconnects_while_queued_is_not_served(self):
        for vm in self.deployment.vms:
            if vm.plain:
                slow = json.dumps({"slow_percent": 50_000})
                call(vm.address, "POST", "/control", slow)
        host, port = self.node().split(":")
        head = (
            "POST /services/booking/bookings HTTP/1.1\r\nHost: x\r\n"
            "Authorization: Bearer brennock-chain-1\r\nContent-Length: 0\r\n"
        )
        callers = []
        for i in range(20):
            caller = socket.create_connection((host, int(port)))
            key = f"Idempotency-Key: leaver-{i}\r\n\r\n"
            caller.sendall((head + key).encode())
            callers.append(caller)
        wait_until(
            lambda: self.deployment.status()["services"]["booking"]["waiting"] > 0
        )
        for caller in callers:
            caller.close()
        wait_until(lambda: self.deployment.status()["in_flight"] == 0)
        for vm in self.deployment.vms:
            call(vm.address, "POST", "/control", "{}")
        runs = runs_by_key(self.deployment.records())
        ran = sum(runs[f"leaver-{i}"] for i in range(20))
        # Two targets with eight slots each; the other four waited in the queue.
        self.assertEqual(ran, 16)

    def test_an_account_above_its_rate_limit_is_refused(self):
        answers = [
            call(self.node(), "GET", "/services/booking/slots", None,
                 {"Authorization": "Bearer brennock-shop-7"})
            for _ in range(150)
        ]  # fmt: skip
        refused = [answer for answer in answers if answer[0] == 429]
        self.assertTrue(refused)
        self.assertIn("Retry-After", refused[0][2])
        self.assertEqual(json.loads(refused[0][1])["error"]["code"], "account_limit")
        self.assertEqual(chat(self.node(), "another account")[0], 200)


if __name__ == "__main__":
    unittest.main()
