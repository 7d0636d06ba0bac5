"""Measures the cost of the control plane: calls to the platform, processor time
and memory of nodes, for several numbers of nodes, VMs and bookings.

Prints one line per deployment; docs/CAPACITY.md derives its slopes from them.
"""

import argparse
import concurrent.futures
import json
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(__file__), "../tests/wholepath"))

from deployment import Deployment, Shape, book, call, wait_until  # noqa: E402
from latency import cpu_seconds, memory_kb, without_limits  # noqa: E402

import brennock  # noqa: E402


def calls(deployment: Deployment) -> dict:
    """Returns the number of calls to the platform's stand-in so far, by path."""
    return json.loads(call(deployment.kv, "POST", "/control", "{}")[1])


def measure(build: str, nodes: int, engines: int, seconds: int, bookings: int):
    """Measures one deployment of nodes and engine VMs under a number of bookings per
    second, which are sent in four batches a second."""
    shape = Shape(
        nodes=nodes, domains=2, engines_per_domain=engines // 2, group_size=2,
        groups=engines // 2 - 1, plain=1, target_flags=["--slots", "64"],
    )  # fmt: skip
    with Deployment(build, shape) as deployment:
        groups = engines // 2 - 1
        text = without_limits(brennock.configuration(groups, 2).to_toml())
        applied = deployment.apply(text)
        wait_until(lambda: deployment.serving("advisor") >= groups - 1, 120)
        wait_until(lambda: deployment.serving("booking", nodes - 1) == 1, 120)
        time.sleep(5)  # Calls of the start-up are not part of the rates.
        pids = [node.process.pid for node in deployment.nodes]
        before, started = calls(deployment), time.monotonic()
        cpu = [cpu_seconds(pid) for pid in pids]
        sent = 0
        if bookings:
            with concurrent.futures.ThreadPoolExecutor(16) as pool:
                while time.monotonic() - started < seconds:
                    batch = range(sent, sent + bookings // 4)
                    begin = time.monotonic()
                    nodes_of = [deployment.nodes[i % nodes].listen for i in batch]
                    list(pool.map(book, nodes_of, [f"c-{i}" for i in batch]))
                    sent += len(batch)
                    time.sleep(max(0, 0.25 - (time.monotonic() - begin)))
        else:
            time.sleep(seconds)
        elapsed = time.monotonic() - started
        after = calls(deployment)
        rate = {
            path.removeprefix("/v3/"): round((after[path] - before.get(path, 0)) / elapsed, 2)
            for path in sorted(after)
        }
        cores = [(cpu_seconds(p) - c) / elapsed for p, c in zip(pids, cpu)]
        memory = [memory_kb(pid) for pid in pids]
        print(
            f"nodes={nodes} vms={engines + 1} bookings_per_s={sent / elapsed:.0f} "
            f"confirmed={applied.stdout.splitlines()[-1]!r} "
            f"calls_per_s={json.dumps(rate)} "
            f"node_core_percent_mean={100 * sum(cores) / nodes:.2f} "
            f"most={100 * max(cores):.2f} "
            f"memory_kb_mean={sum(memory) // nodes} most={max(memory)}",
            flush=True,
        )


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--build", default="build")
    parser.add_argument("--seconds", type=int, default=15)
    parser.add_argument("--bookings-only", action="store_true")
    arguments = parser.parse_args()
    build = os.path.abspath(arguments.build)
    # Nodes, engine VMs, bookings per second.
    shapes = [
        (6, 20, 0),
        (6, 60, 0),
        (25, 20, 0),
        (60, 20, 0),
        (6, 20, 40),
        (6, 20, 160),
        (25, 20, 160),
    ]
    for nodes, engines, bookings in shapes:
        if bookings or not arguments.bookings_only:
            measure(build, nodes, engines, arguments.seconds, bookings)


if __name__ == "__main__":
    main()
