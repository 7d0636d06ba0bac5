"""Compares requests through a node with requests sent directly to a target.

Starts a deployment with stand-ins on loopback. The routes alternate within one
run, so that other load on the machine affects them alike.
"""

import argparse
import os
import subprocess
import sys

sys.path.insert(0, os.path.join(os.path.dirname(__file__), "../tests/wholepath"))

from deployment import Deployment, Shape, wait_until  # noqa: E402

import brennock  # noqa: E402


def without_limits(text: str) -> str:
    """Raises rate limits and target slots so far that they limit no benchmark."""
    lines = []
    for line in text.splitlines():
        if line.startswith(("requests_per_second", "tokens_per_second")):
            line = line.split("=")[0] + "= 1e7"
        lines.append(line)
    return "\n".join(lines).replace("slots_per_target = 8", "slots_per_target = 512")


def cpu_seconds(pid: int) -> float:
    """Returns the processor time, in seconds, that a process has used."""
    with open(f"/proc/{pid}/stat") as file:
        fields = file.read().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def memory_kb(pid: int) -> int:
    """Returns the resident memory of a process in KiB."""
    with open(f"/proc/{pid}/status") as file:
        for line in file:
            if line.startswith("VmRSS"):
                return int(line.split()[1])
    return 0


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--build", default="build")
    parser.add_argument("--requests", type=int, default=400)
    arguments = parser.parse_args()
    build = os.path.abspath(arguments.build)
    for work_ms in ("0", "5"):
        flags = ["--work-ms", work_ms, "--token-ms", "5", "--slots", "512"]
        shape = Shape(nodes=1, plain=1, target_flags=flags)
        with Deployment(build, shape) as deployment:
            deployment.apply(without_limits(brennock.configuration(4, 2).to_toml()))
            wait_until(lambda: deployment.serving("booking") == 1)
            wait_until(lambda: deployment.serving("advisor") == 4)
            target = next(vm for vm in deployment.vms if vm.plain)
            node = deployment.nodes[0]
            for connections in (1, 64):
                requests = max(20, arguments.requests // connections)
                print(f"plain work_ms={work_ms} connections={connections}", flush=True)
                used = cpu_seconds(node.process.pid)
                run_load(
                    build,
                    f"direct={target.address}/slots",
                    f"node={node.listen}/services/booking/slots",
                    connections,
                    requests,
                )
                used = cpu_seconds(node.process.pid) - used
                # apricotload runs five rounds by default.
                per_request = used / (5 * requests * connections)
                print(f"node_cpu_us_per_request={per_request * 1e6:.0f}", flush=True)
            if work_ms == "5":
                measure_streams(build, deployment)


def measure_streams(build: str, deployment: Deployment):
    """Measures processor time per streamed token and memory of open streams."""
    node = deployment.nodes[0]
    body = (
        '{"model":"advisor","stream":true,"max_tokens":100,'
        '"messages":[{"role":"user","content":"hello"}]}'
    )
    route = f"node={node.listen}/v1/chat/completions"
    for connections in (64, 256):
        used, before = cpu_seconds(node.process.pid), memory_kb(node.process.pid)
        run_load(build, route, None, connections, 2, ["--body", body])
        used = cpu_seconds(node.process.pid) - used
        grown = memory_kb(node.process.pid) - before
        # Five rounds of two requests per connection, of 100 tokens each.
        tokens = 5 * connections * 2 * 100
        print(
            f"streams={connections} node_cpu_us_per_token={used / tokens * 1e6:.1f} "
            f"memory_kb={memory_kb(node.process.pid)} grown_kb={grown}",
            flush=True,
        )


def run_load(build, first, second, connections, requests, extra=()):
    """Runs apricotload on one or two routes; `requests` is per connection and round."""
    routes = [route for route in (first, second) if route]
    subprocess.run(
        [
            os.path.join(build, "apricotload"), *routes,
            "--header", "Authorization: Bearer brennock-chain-0",
            "--connections", str(connections), "--requests", str(requests), *extra,
        ],
        check=True,
        timeout=300,
    )  # fmt: skip


if __name__ == "__main__":
    main()
