"""Measures reaction times with real processes on loopback: from an accepted
configuration until it is in force, from the loss of a member until its group is
out of service, and from draining a target until its last new request."""

import argparse
import glob
import os
import re
import signal
import sys
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(__file__), "../tests/wholepath"))

from deployment import Deployment, Shape, book, wait_until  # noqa: E402
from latency import without_limits  # noqa: E402

import brennock  # noqa: E402


def print_quantiles(name: str, seconds: list[float]):
    """Prints the quantiles of one measurement, in seconds."""
    ordered = sorted(seconds)
    middle = ordered[len(ordered) // 2]
    high = ordered[min(len(ordered) - 1, int(len(ordered) * 0.99))]
    print(
        f"{name} n={len(ordered)} p50_s={middle:.3f} p99_s={high:.3f} "
        f"worst_s={ordered[-1]:.3f}",
        flush=True,
    )


def measure_configuration(deployment: Deployment, text: str, times: int):
    """Applies new versions and reads the delays from the nodes' logs. Version 1 is
    left out, because it is applied while the nodes start."""
    for i in range(times):
        deployment.command("apply", "-", stdin=text.replace("Software", f"S{i}"))
    delays = []
    for path in glob.glob(os.path.join(deployment.folder, "entry-*.log")):
        with open(path) as log:
            found = re.findall(r"configuration_in_force version=(\d+).*delay_ms=(\d+)", log.read())
        delays += [int(delay) / 1000 for version, delay in found if version != "1"]
    print_quantiles("accepted_to_in_force", delays)


def member_loss_seconds(deployment: Deployment, number: int, times: int) -> list[float]:
    """Sends a signal to a member of a group, and returns the seconds until each node
    has taken the group out of service. Nodes are polled one after another."""
    seconds = []
    by_name = {vm.name: vm for vm in deployment.vms}
    for i in range(times):
        groups = deployment.status()["groups"]
        group = groups[i % len(groups)]
        victim = by_name[group["members"][1]]
        began = time.monotonic()
        victim.process.send_signal(number)

        def is_out_of_service(node, epoch=group["epoch"], name=group["group"]):
            for listed in deployment.status(node)["groups"]:
                if listed["group"] == name and listed["epoch"] == epoch:
                    return listed["state"] != "serving"
            return True

        for node in range(len(deployment.nodes)):
            wait_until(lambda n=node: is_out_of_service(n))
            seconds.append(time.monotonic() - began)
        if number == signal.SIGKILL:
            victim.process.wait()
            deployment.start_vm(victim)
        else:
            victim.process.send_signal(signal.SIGCONT)
        wait_until(lambda: deployment.serving("advisor") == len(groups))
    return seconds


def measure_drain(deployment: Deployment, times: int):
    """Sends bookings continuously while targets are drained one by one; measures the
    time from the start of a drain to the target's last new request."""
    stop = threading.Event()
    seconds = []

    def keep_booking(index):
        number = 0
        while not stop.is_set():
            number += 1
            node = deployment.nodes[index % len(deployment.nodes)].listen
            book(node, f"r-{index}-{number}")

    threads = [threading.Thread(target=keep_booking, args=(i,)) for i in range(6)]
    for thread in threads:
        thread.start()
    for i in range(times):
        name = f"booking-{i % 2}"
        time.sleep(0.5)
        drained_at = time.time()
        deployment.command("drain", name)
        time.sleep(2)
        late = [
            record["at"] / 1000 - drained_at
            for record in deployment.records()
            if record["event"] == "run" and record["vm"] == name
            and record["at"] / 1000 > drained_at
        ]  # fmt: skip
        seconds.append(max(late, default=0))
        deployment.command("drain", name, "--undo")
        wait_until(lambda: deployment.serving("booking") == 2)
    stop.set()
    for thread in threads:
        thread.join()
    print_quantiles("drained_to_last_new_work", seconds)


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--build", default="build")
    parser.add_argument("--times", type=int, default=8)
    arguments = parser.parse_args()
    with Deployment(os.path.abspath(arguments.build), Shape(nodes=6)) as deployment:
        text = without_limits(brennock.configuration(4, 2).to_toml())
        deployment.apply(text)
        for node in range(6):
            wait_until(lambda n=node: deployment.serving("advisor", n) == 4)
            wait_until(lambda n=node: deployment.serving("booking", n) == 2)
        measure_configuration(deployment, text, arguments.times)
        print_quantiles(
            "member_killed_to_out",
            member_loss_seconds(deployment, signal.SIGKILL, arguments.times),
        )
        print_quantiles(
            "member_paused_to_out",
            member_loss_seconds(deployment, signal.SIGSTOP, arguments.times),
        )
        measure_drain(deployment, arguments.times)


if __name__ == "__main__":
    main()
