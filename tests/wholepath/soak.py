"""Randomized soak test: injects overlapping faults into real processes and checks
the guarantees to callers by responses and by the targets' records.

    BUILD_DIR=build tests/wholepath/soak.py --seed 7 --seconds 30
"""

import argparse
import http.client
import itertools
import json
import os
import random
import signal
import sys
import threading
import time
from dataclasses import dataclass, field

from deployment import Deployment, Shape, book, call, chat, wait_until

import brennock
from checks import content_of, is_complete_response, outcome_of, runs_by_key
from proxy import SilencingProxy

# Threads that send requests.
CALLERS = 6
# Maximum wait, after the faults have ended, until a node serves a request.
RECOVERY_S = 30.0
TARGET_FAULTS = (
    {"truncate_after": 3},
    {"stall_after": 2},
    {"drop_answers": True},
    {"foreign_ids": True},
    {"duplicate": True},
    {"slow_percent": 800},
)
PLATFORM_FAULTS = ({"outage": True}, {"delay_ms": 300}, {"lose_replies": 3})
PLATFORM_HEALTHY = {"outage": False, "delay_ms": 0, "lose_replies": 0}


class SoakDeployment(Deployment):
    """A deployment in which each node has its own proxy to the platform's stand-in."""

    def add_node(self, name, zone):
        direct, proxy = self.kv, SilencingProxy(self.kv)
        self.proxies = [*getattr(self, "proxies", []), proxy]
        self.kv = proxy.address
        try:
            return super().add_node(name, zone)
        finally:
            self.kv = direct


@dataclass
class Results:
    """What the callers observed, written by their threads, and the violations."""

    violations: list[str] = field(default_factory=list)
    # Idempotency keys of answered bookings, and of those only reported as not run.
    answered: set[str] = field(default_factory=set)
    not_run: set[str] = field(default_factory=set)
    # By prompt, the hash of the prompt that the tokens of its answer carry.
    contents: dict[str, str] = field(default_factory=dict)
    requests: int = 0


class Soak:
    """One run: callers send requests while faults are injected at random times."""

    def __init__(self, deployment, seed: int, seconds: float):
        self.deployment = deployment
        self.random = random.Random(seed)
        self.end = time.monotonic() + seconds
        self.results = Results()
        self.numbers = itertools.count()
        self.faults: list[threading.Thread] = []

    def run(self) -> list[str]:
        """Runs until the end and returns a description of each violation."""
        seeds = [self.random.random() for _ in range(CALLERS)]
        callers = [
            threading.Thread(target=self.send_requests, args=(s,)) for s in seeds
        ]
        for caller in callers:
            caller.start()
        while time.monotonic() < self.end:
            self.inject()
            time.sleep(self.random.uniform(0.1, 1.2))
        for thread in callers + self.faults:
            thread.join()
        self.clear_faults()
        self.check_recovery()
        self.check_records()
        return self.results.violations

    # Callers

    def send_requests(self, seed: float):
        rng = random.Random(seed)
        while time.monotonic() < self.end:
            node = rng.choice(self.deployment.nodes).listen
            number = next(self.numbers)
            self.results.requests += 1
            try:
                if rng.random() < 0.5:
                    self.send_chat(node, f"soak {number}", rng)
                else:
                    self.send_booking(f"soak-{number}", rng)
            except (OSError, http.client.HTTPException):
                # The node was stopped or closed the connection early.
                time.sleep(0.05)

    def send_chat(self, node: str, prompt: str, rng: random.Random):
        tokens = rng.randint(3, 20)
        stream = rng.random() < 0.6
        status, body, headers = chat(node, prompt, stream=stream, tokens=tokens)
        if status != 200:
            # Raises unless the error response reports an outcome.
            outcome_of(status, body, headers)
        elif not is_complete_response(body, tokens):
            self.results.violations.append(f"incomplete answer to {prompt!r}: {body!r}")
        elif stream and not body.endswith("data: [DONE]\n\n"):
            self.results.violations.append(f"stream for {prompt!r} ends without [DONE]")
        else:
            self.results.contents[prompt] = content_of(body).split(".")[0]

    def send_booking(self, key: str, rng: random.Random):
        outcomes = set()
        try:
            for _ in range(rng.randint(1, 3)):
                node = rng.choice(self.deployment.nodes).listen
                # Remains if book() raises: the booking may then have run.
                outcomes.add("no_response")
                outcomes.add(outcome_of(*book(node, key, timeout_ms=4000)))
                outcomes.discard("no_response")
                if "answered" in outcomes:
                    self.results.answered.add(key)
                    return
        finally:
            if outcomes == {"not_run"}:
                self.results.not_run.add(key)

    # Faults

    def inject(self):
        thread = threading.Thread(
            target=self.random.choice(
                [
                    self.kill_node, self.pause_node, self.stop_node, self.reload_node,
                    self.kill_target, self.pause_target, self.fail_targets,
                    self.fail_platform, self.silence_link,
                ]
            ),
            args=(random.Random(self.random.random()),),
        )  # fmt: skip
        thread.start()
        self.faults.append(thread)

    def send_signal(self, process, number):
        if process is not None and process.poll() is None:
            process.send_signal(number)

    def kill_node(self, rng, number=signal.SIGKILL):
        node = rng.choice(self.deployment.nodes)
        process = node.process
        self.send_signal(process, number)
        process.wait()
        time.sleep(rng.uniform(0.1, 1.5))
        if node.process is process:
            self.deployment.start_node(node)

    def stop_node(self, rng):
        self.kill_node(rng, signal.SIGTERM)

    def reload_node(self, rng):
        self.send_signal(rng.choice(self.deployment.nodes).process, signal.SIGHUP)

    def pause_node(self, rng):
        self.pause(rng.choice(self.deployment.nodes).process, rng)

    def pause(self, process, rng):
        self.send_signal(process, signal.SIGSTOP)
        time.sleep(rng.uniform(0.2, 3.0))
        self.send_signal(process, signal.SIGCONT)

    def kill_target(self, rng):
        vm = rng.choice(self.deployment.vms)
        process = vm.process
        self.send_signal(process, signal.SIGKILL)
        process.wait()
        time.sleep(rng.uniform(0.1, 2.0))
        if vm.process is process:
            self.deployment.start_vm(vm)

    def pause_target(self, rng):
        self.pause(rng.choice(self.deployment.vms).process, rng)

    def fail_targets(self, rng):
        vms = rng.sample(self.deployment.vms, 3)
        fault = rng.choice(TARGET_FAULTS)
        for vm in vms:
            self.control(vm.address, fault)
        time.sleep(rng.uniform(0.5, 3.0))
        for vm in vms:
            self.control(vm.address, {})

    def fail_platform(self, rng):
        self.control(self.deployment.kv, rng.choice(PLATFORM_FAULTS))
        time.sleep(rng.uniform(0.3, 3.0))
        self.control(self.deployment.kv, PLATFORM_HEALTHY)

    def silence_link(self, rng):
        directions = rng.choice((("up",), ("down",), ("up", "down")))
        rng.choice(self.deployment.proxies).silence(*directions)

    def control(self, address, fault):
        try:
            call(address, "POST", "/control", json.dumps(fault), timeout=2)
        except (OSError, http.client.HTTPException):
            pass  # The process is killed or paused, which is a fault as well.

    # Checks

    def clear_faults(self):
        for process in self.deployment.processes:
            self.send_signal(process, signal.SIGCONT)
        for node in self.deployment.nodes:
            if node.process.poll() is not None:
                self.deployment.start_node(node)
        for vm in self.deployment.vms:
            if vm.process.poll() is not None:
                self.deployment.start_vm(vm)
            wait_until(lambda v=vm: call(v.address, "POST", "/control", "{}"))
        self.control(self.deployment.kv, PLATFORM_HEALTHY)

    def check_recovery(self):
        for i, node in enumerate(self.deployment.nodes):
            try:
                wait_until(
                    lambda n=node: chat(n.listen, "recovered")[0] == 200, RECOVERY_S
                )
                wait_until(
                    lambda n=node, k=i: book(n.listen, f"recovered-{k}")[0] == 200,
                    RECOVERY_S,
                )
            except AssertionError:
                self.results.violations.append(
                    f"{node.name} did not recover within {RECOVERY_S} s"
                )
        node = self.deployment.nodes[0].listen
        for prompt, prompt_hash in list(self.results.contents.items())[:20]:
            repeated_hash = content_of(chat(node, prompt)[1]).split(".")[0]
            if repeated_hash != prompt_hash:
                self.results.violations.append(
                    f"{prompt!r} got the answer to another prompt"
                )

    def check_records(self):
        runs = runs_by_key(self.deployment.records())
        for key, count in runs.items():
            if count > 1:
                self.results.violations.append(f"{key} ran {count} times")
        for key in self.results.not_run:
            if runs.get(key):
                self.results.violations.append(f"{key} was reported as not run but ran")
        for key in self.results.answered:
            if runs.get(key) != 1:
                self.results.violations.append(f"{key} was answered but not run once")


def run_soak(build: str, seed: int, seconds: float) -> list[str]:
    """Runs one soak test on a new deployment and returns its violations."""
    shape = Shape(nodes=3, target_flags=["--token-ms", "10"])
    with SoakDeployment(build, shape) as deployment:
        deployment.apply(brennock.configuration(4, 2).to_toml())
        for i in range(shape.nodes):
            wait_until(lambda n=i: deployment.serving("advisor", n) == 4)
        soak = Soak(deployment, seed, seconds)
        violations = soak.run()
        print(
            f"seed={seed} seconds={seconds} requests={soak.results.requests}"
            f" answered_bookings={len(soak.results.answered)}"
            f" not_run={len(soak.results.not_run)} faults={len(soak.faults)}"
            f" broken={len(violations)} logs={deployment.folder}",
            flush=True,
        )
        return violations


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1, help="first seed")
    parser.add_argument("--count", type=int, default=1, help="number of seeds")
    parser.add_argument("--seconds", type=float, default=20, help="duration per seed")
    arguments = parser.parse_args()
    failed = False
    for seed in range(arguments.seed, arguments.seed + arguments.count):
        for line in run_soak(os.environ["BUILD_DIR"], seed, arguments.seconds):
            print(f"  {line}", flush=True)
            failed = True
    sys.exit(failed)


if __name__ == "__main__":
    main()
