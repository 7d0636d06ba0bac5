"""Starts the system and stand-ins for its environment as processes on loopback."""

import http.client
import itertools
import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import time
from dataclasses import dataclass, field

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "../.."))
sys.path.insert(0, os.path.join(ROOT, "examples"))

ZONES = ["ie-south-a", "ie-south-b", "ie-south-c"]


def _port_block():
    """Cycles through 220 ports, chosen by the process id so that tests that run in
    parallel rarely share them. They lie below the kernel's ephemeral range, from
    which an outgoing connection could take a port before its listener does."""
    first = 10_000 + os.getpid() % 100 * 220
    return itertools.cycle(range(first, first + 220))


_ports = _port_block()


def free_port() -> int:
    """Returns a port of this process's block that is not in use."""
    while True:
        port = next(_ports)
        with socket.socket() as probe:
            probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                probe.bind(("127.0.0.1", port))
                return port
            except OSError:
                continue


@dataclass
class Vm:
    """One target VM: a model engine or a plain service."""

    name: str
    address: str
    domain: str
    zone: str
    role: str
    plain: bool
    state: str = "live"
    process: subprocess.Popen | None = None


@dataclass
class NodeProcess:
    """One node daemon."""

    name: str
    listen: str
    admin: str
    settings: str
    process: subprocess.Popen | None = None


@dataclass
class Shape:
    """Size and options of a deployment."""

    nodes: int = 2
    domains: int = 2
    engines_per_domain: int = 5
    group_size: int = 2
    groups: int = 4
    plain: int = 2
    # Whether targets refuse orders with an older epoch than their current one.
    checks_fencing: bool = True
    target_flags: list[str] = field(default_factory=list)
    # Time from a change of the VM list until readers get it.
    list_lag_ms: int = 300


class Deployment:
    """The processes of one test, which stop() kills together. May be used as a
    context manager."""

    def __init__(self, build: str, shape: Shape):
        self.build = build
        self.shape = shape
        self.folder = tempfile.mkdtemp(prefix="apricottrack-")
        self.record = os.path.join(self.folder, "record.jsonl")
        self.kv = f"127.0.0.1:{free_port()}"
        self.vm_list = f"127.0.0.1:{free_port()}"
        self.vms: list[Vm] = []
        self.nodes: list[NodeProcess] = []
        self.processes: list[subprocess.Popen] = []

    def __enter__(self):
        self.start()
        return self

    def __exit__(self, *_):
        self.stop()

    def spawn(self, name: str, *command: str) -> subprocess.Popen:
        """Starts a program of the build, with its output in a log in self.folder."""
        log = open(os.path.join(self.folder, name + ".log"), "ab")
        process = subprocess.Popen(
            [os.path.join(self.build, command[0]), *command[1:]],
            stdout=log,
            stderr=log,
        )
        log.close()
        self.processes.append(process)
        return process

    def start(self):
        """Starts all processes; after a failure, kills those already started."""
        try:
            self._start_all()
        except BaseException:
            self.stop()
            raise

    def _start_all(self):
        self.spawn("kv", "standin", "kv", "--listen", self.kv)
        self._make_vms()
        listing = os.path.join(self.folder, "vms.json")
        with open(listing, "w") as file:
            file.write(self._listing())
        self.spawn(
            "vms", "standin", "vms", "--listen", self.vm_list,
            "--file", listing, "--lag-ms", str(self.shape.list_lag_ms),
        )  # fmt: skip
        for vm in self.vms:
            self.start_vm(vm)
        for i in range(self.shape.nodes):
            self.start_node(self.add_node(f"entry-{i}", ZONES[i % 3]))

    def _make_vms(self):
        for domain in range(self.shape.domains):
            for i in range(self.shape.engines_per_domain):
                self.vms.append(
                    Vm(
                        f"engine-{domain}-{i}", f"127.0.0.1:{free_port()}",
                        f"fabric-{domain}", ZONES[domain % 3],
                        "advisor-engine", False,
                    )
                )  # fmt: skip
        for i in range(self.shape.plain):
            self.vms.append(
                Vm(
                    f"booking-{i}", f"127.0.0.1:{free_port()}", "",
                    ZONES[i % 3], "booking", True,
                )
            )  # fmt: skip

    def _listing(self) -> str:
        return json.dumps(
            {
                "vms": [
                    {
                        "vm": vm.name,
                        "address": vm.address,
                        "availability_zone": vm.zone,
                        "fabric_domain": vm.domain,
                        "role": vm.role,
                        "state": vm.state,
                    }
                    for vm in self.vms
                ]
            }
        )

    def publish_vms(self):
        """Publishes the current VM list; readers get it after list_lag_ms."""
        call(self.vm_list, "POST", "/control", self._listing())

    def start_vm(self, vm: Vm):
        """Starts a VM's target, also again after its process has ended."""
        flags = ["--plain"] if vm.plain else []
        if not self.shape.checks_fencing:
            flags.append("--ignore-fencing")
        vm.process = self.spawn(
            vm.name, "standin", "target", "--listen", vm.address, "--vm", vm.name,
            "--record", self.record, *flags, *self.shape.target_flags,
        )  # fmt: skip

    def add_node(self, name: str, zone: str) -> NodeProcess:
        """Writes the settings of a new node, which start_node() starts."""
        listen, admin, peer = (f"127.0.0.1:{free_port()}" for _ in range(3))
        settings = os.path.join(self.folder, name + ".toml")
        with open(settings, "w") as file:
            file.write(
                f'node = "{name}"\navailability_zone = "{zone}"\n'
                f'listen = "{listen}"\nadmin_listen = "{admin}"\n'
                f'peer_listen = "{peer}"\nplatform = "{self.kv}"\n'
                f'vm_list = "{self.vm_list}"\ndrain_grace_ms = 500\n'
            )
        node = NodeProcess(name, listen, admin, settings)
        self.nodes.append(node)
        return node

    def start_node(self, node: NodeProcess):
        node.process = self.spawn(node.name, "apricottrackd", node.settings)

    def command(self, *words: str, stdin: str | None = None):
        """Runs the operators' command on this deployment."""
        return subprocess.run(
            [os.path.join(self.build, "apricottrack"), *words, "--platform", self.kv],
            input=stdin,
            capture_output=True,
            text=True,
            timeout=60,
        )

    def apply(self, text: str):
        """Applies a configuration once the platform's stand-in responds, for which it
        waits up to 30 s."""
        wait_until(lambda: call(self.kv, "POST", "/control", "{}")[0] == 200)
        return self.command("apply", "-", stdin=text)

    def status(self, node: int = 0) -> dict:
        """Returns the status that a node reports on its admin endpoint."""
        return json.loads(call(self.nodes[node].admin, "GET", "/status")[1])

    def serving(self, service: str, node: int = 0) -> int:
        """Returns how many targets of a service a node reports, zero if it does not
        respond or does not list the service."""
        try:
            return self.status(node)["services"][service]["targets"]
        except (OSError, KeyError, ValueError):
            return 0

    def records(self) -> list[dict]:
        """Returns the events that the targets recorded."""
        if not os.path.exists(self.record):
            return []
        with open(self.record) as file:
            return [json.loads(line) for line in file]

    def stop(self):
        """Kills all processes and waits until they have ended."""
        for process in self.processes:
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes:
            process.wait()


def call(address, method, path, body=None, headers=None, timeout=20):
    """Sends one request on a new connection; returns status, body and headers."""
    host, port = address.split(":")
    connection = http.client.HTTPConnection(host, int(port), timeout=timeout)
    try:
        connection.request(method, path, body, headers or {})
        answer = connection.getresponse()
        return answer.status, answer.read().decode(), dict(answer.getheaders())
    finally:
        connection.close()


def wait_until(condition, limit_s: float = 30.0):
    """Polls until the condition holds; raises AssertionError after limit_s. A condition
    that raises OSError, as a process that does not listen yet causes, does not hold."""
    end = time.monotonic() + limit_s
    while time.monotonic() < end:
        try:
            if condition():
                return
        except OSError:
            pass
        time.sleep(0.05)
    raise AssertionError(f"condition did not hold within {limit_s} s")


def chat(address, prompt, key="brennock-chain-0", stream=False, tokens=8, **headers):
    """Requests a chat completion from a node. Keyword arguments are sent as headers,
    with hyphens for underscores."""
    body = json.dumps(
        {
            "model": "advisor",
            "stream": stream,
            "max_tokens": tokens,
            "messages": [{"role": "user", "content": prompt}],
        }
    )
    headers = {name.replace("_", "-"): value for name, value in headers.items()}
    headers["Authorization"] = "Bearer " + key
    return call(address, "POST", "/v1/chat/completions", body, headers)


def book(address, key, body="{}", account="brennock-chain-0", timeout_ms=None):
    """Requests a booking, which is not idempotent, from a node. `key` is the
    idempotency key and `account` the API key of the client account."""
    headers = {"Authorization": "Bearer " + account}
    if key:
        headers["Idempotency-Key"] = key
    if timeout_ms:
        headers["X-Request-Timeout-Ms"] = str(timeout_ms)
    return call(address, "POST", "/services/booking/bookings", body, headers)
