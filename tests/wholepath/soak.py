"""Randomized soak: real processes under faults from outside, in overlapping
series, while callers and targets watch that promises are kept.

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
from checks import content_of, is_whole_answer, outcome_of, runs_by_key
from proxy import SilencingProxy

CALLERS = 6
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
PLATFORM_CALM = {"outage": False, "delay_ms": 0, "lose_replies": 0}


class SoakDeployment(Deployment):
    """Each node reaches the platform's stand-in through a proxy of its own."""

    def add_node(self, name, zone):
        direct, proxy = self.kv, SilencingProxy(self.kv)
        self.proxies = [*getattr(self, "proxies", []), proxy]
        self.kv = proxy.address
        try:
            return super().add_node(name, zone)
        finally:
            self.kv = direct


@dataclass
class Seen:
    """What callers were told; filled by their threads."""

    broken: list[str] = field(default_factory=list)
    answered: set[str] = field(default_factory=set)
    not_run: set[str] = field(default_factory=set)
    contents: dict[str, str] = field(default_factory=dict)
    requests: int = 0


class Soak:
    def __init__(self, deployment, seed: int, seconds: float):
        self.deployment = deployment
        self.random = random.Random(seed)
        self.end = time.monotonic() + seconds
        self.seen = Seen()
        self.numbers = itertools.count()
        self.faults: list[threading.Thread] = []

    def run(self) -> list[str]:
        """Plays until the end; what was broken, in words."""
        seeds = [self.random.random() for _ in range(CALLERS)]
        callers = [threading.Thread(target=self.ask, args=(s,)) for s in seeds]
        for caller in callers:
            caller.start()
        while time.monotonic() < self.end:
            self.inject()
            time.sleep(self.random.uniform(0.1, 1.2))
        for thread in callers + self.faults:
            thread.join()
        self.calm()
        self.check_recovery()
        self.check_records()
        return self.seen.broken

    # Callers

    def ask(self, seed: float):
        chance = random.Random(seed)
        while time.monotonic() < self.end:
            node = chance.choice(self.deployment.nodes).listen
            number = next(self.numbers)
            self.seen.requests += 1
            try:
                if chance.random() < 0.5:
                    self.ask_model(node, f"soak {number}", chance)
                else:
                    self.ask_booking(f"soak-{number}", chance)
            except (OSError, http.client.HTTPException):
                # The node went away or cut the answer visibly.
                time.sleep(0.05)

    def ask_model(self, node: str, prompt: str, chance: random.Random):
        tokens = chance.randint(3, 20)
        stream = chance.random() < 0.6
        status, body, headers = chat(node, prompt, stream=stream, tokens=tokens)
        if status != 200:
            outcome_of(status, body, headers)
        elif not is_whole_answer(body, tokens):
            self.seen.broken.append(f"answer to {prompt!r} is not whole: {body!r}")
        elif stream and not body.endswith("data: [DONE]\n\n"):
            self.seen.broken.append(f"stream for {prompt!r} ends without its end")
        else:
            self.seen.contents[prompt] = content_of(body).split(".")[0]

    def ask_booking(self, key: str, chance: random.Random):
        told = set()
        try:
            for _ in range(chance.randint(1, 3)):
                node = chance.choice(self.deployment.nodes).listen
                told.add("nothing")
                told.add(outcome_of(*book(node, key, timeout_ms=4000)))
                told.discard("nothing")
                if "answered" in told:
                    self.seen.answered.add(key)
                    return
        finally:
            if told == {"not_run"}:
                self.seen.not_run.add(key)

    # Faults

    def inject(self):
        thread = threading.Thread(
            target=self.random.choice(
                [
                    self.kill_node, self.pause_node, self.stop_node, self.hup_node,
                    self.kill_target, self.pause_target, self.fail_targets,
                    self.fail_platform, self.silence_link,
                ]
            ),
            args=(random.Random(self.random.random()),),
        )  # fmt: skip
        thread.start()
        self.faults.append(thread)

    def send(self, process, number):
        if process is not None and process.poll() is None:
            process.send_signal(number)

    def kill_node(self, chance, number=signal.SIGKILL):
        node = chance.choice(self.deployment.nodes)
        process = node.process
        self.send(process, number)
        process.wait()
        time.sleep(chance.uniform(0.1, 1.5))
        if node.process is process:
            self.deployment.start_node(node)

    def stop_node(self, chance):
        self.kill_node(chance, signal.SIGTERM)

    def hup_node(self, chance):
        self.send(chance.choice(self.deployment.nodes).process, signal.SIGHUP)

    def pause_node(self, chance):
        self.pause(chance.choice(self.deployment.nodes).process, chance)

    def pause(self, process, chance):
        self.send(process, signal.SIGSTOP)
        time.sleep(chance.uniform(0.2, 3.0))
        self.send(process, signal.SIGCONT)

    def kill_target(self, chance):
        vm = chance.choice(self.deployment.vms)
        process = vm.process
        self.send(process, signal.SIGKILL)
        process.wait()
        time.sleep(chance.uniform(0.1, 2.0))
        if vm.process is process:
            self.deployment.start_vm(vm)

    def pause_target(self, chance):
        self.pause(chance.choice(self.deployment.vms).process, chance)

    def fail_targets(self, chance):
        some = chance.sample(self.deployment.vms, 3)
        fault = chance.choice(TARGET_FAULTS)
        for vm in some:
            self.control(vm.address, fault)
        time.sleep(chance.uniform(0.5, 3.0))
        for vm in some:
            self.control(vm.address, {})

    def fail_platform(self, chance):
        self.control(self.deployment.kv, chance.choice(PLATFORM_FAULTS))
        time.sleep(chance.uniform(0.3, 3.0))
        self.control(self.deployment.kv, PLATFORM_CALM)

    def silence_link(self, chance):
        ways = chance.choice((("up",), ("down",), ("up", "down")))
        chance.choice(self.deployment.proxies).silence(*ways)

    def control(self, address, fault):
        try:
            call(address, "POST", "/control", json.dumps(fault), timeout=2)
        except (OSError, http.client.HTTPException):
            pass  # It is killed or paused; then that is its fault.

    # Checks

    def calm(self):
        for process in self.deployment.processes:
            self.send(process, signal.SIGCONT)
        for node in self.deployment.nodes:
            if node.process.poll() is not None:
                self.deployment.start_node(node)
        for vm in self.deployment.vms:
            if vm.process.poll() is not None:
                self.deployment.start_vm(vm)
            wait_until(lambda v=vm: call(v.address, "POST", "/control", "{}"))
        self.control(self.deployment.kv, PLATFORM_CALM)

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
                self.seen.broken.append(f"{node.name} does not serve again")
        node = self.deployment.nodes[0].listen
        for prompt, owner in list(self.seen.contents.items())[:20]:
            again = content_of(chat(node, prompt)[1]).split(".")[0]
            if again != owner:
                self.seen.broken.append(f"{prompt!r} got the answer of another")

    def check_records(self):
        runs = runs_by_key(self.deployment.records())
        for key, count in runs.items():
            if count > 1:
                self.seen.broken.append(f"{key} ran {count} times")
        for key in self.seen.not_run:
            if runs.get(key):
                self.seen.broken.append(f"{key} was refused as not run, and ran")
        for key in self.seen.answered:
            if runs.get(key) != 1:
                self.seen.broken.append(f"{key} was answered and did not run")


def play(build: str, seed: int, seconds: float) -> list[str]:
    """One soak on a deployment of its own."""
    shape = Shape(nodes=3, target_flags=["--token-ms", "10"])
    with SoakDeployment(build, shape) as deployment:
        deployment.apply(brennock.configuration(4, 2).to_toml())
        for i in range(shape.nodes):
            wait_until(lambda n=i: deployment.serving("advisor", n) == 4)
        soak = Soak(deployment, seed, seconds)
        broken = soak.run()
        print(
            f"seed={seed} seconds={seconds} requests={soak.seen.requests}"
            f" answered_bookings={len(soak.seen.answered)}"
            f" not_run={len(soak.seen.not_run)} faults={len(soak.faults)}"
            f" broken={len(broken)} logs={deployment.folder}",
            flush=True,
        )
        return broken


def main():
    options = argparse.ArgumentParser(description=__doc__)
    options.add_argument("--seed", type=int, default=1, help="first seed")
    options.add_argument("--count", type=int, default=1, help="seeds to play")
    options.add_argument("--seconds", type=float, default=20, help="of each")
    chosen = options.parse_args()
    failed = False
    for seed in range(chosen.seed, chosen.seed + chosen.count):
        for line in play(os.environ["BUILD_DIR"], seed, chosen.seconds):
            print(f"  {line}", flush=True)
            failed = True
    sys.exit(failed)


if __name__ == "__main__":
    main()
