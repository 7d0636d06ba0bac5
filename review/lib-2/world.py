"""Stand-ins for the platform's store, runners and clients, and the processes of a
small deployment on loopback, for the scripts of the second review."""

import asyncio
import base64
import json
import os
import signal
import socket
import subprocess
import tempfile
import time
import urllib.parse
import zlib

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "../.."))
DAEMON = os.path.join(ROOT, "target", "apricottrackd")
HOST = "booth.example"
ZONES = ["ie-south-a", "ie-south-b", "ie-south-c"]
KEY = "key-of-the-first-tenant"
TENANT = "tenant-1"

_next_port = 20_000 + os.getpid() % 50 * 200


def now():
    return time.monotonic()


def free_ports(count=1):
    """Returns the first of `count` consecutive free ports below the ephemeral range."""
    global _next_port
    while True:
        first = _next_port
        _next_port += count
        if _next_port > 31_900:
            _next_port = 20_000
        try:
            for port in range(first, first + count):
                with socket.socket() as probe:
                    probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                    probe.bind(("127.0.0.1", port))
            return first
        except OSError:
            continue


class Record:
    """Collects lines of what was sent, answered and run."""

    def __init__(self):
        self.start = now()
        self.lines = []

    def add(self, event, **fields):
        fields = {"at": round(now() - self.start, 3), "event": event, **fields}
        self.lines.append(fields)
        return fields

    def write(self, path, verdict):
        with open(path, "w") as file:
            for line in self.lines:
                file.write(json.dumps(line) + "\n")
            file.write("verdict: " + verdict + "\n")


class Message:
    """A received request or response head with its body."""

    def __init__(self, first, headers, body):
        self.first, self.headers, self.body = first, headers, body

    def get(self, name, default=""):
        for key, value in self.headers:
            if key.lower() == name.lower():
                return value
        return default


async def read_head(reader):
    raw = await reader.readuntil(b"\r\n\r\n")
    lines = raw[:-4].decode("latin-1").split("\r\n")
    headers = []
    for line in lines[1:]:
        key, _, value = line.partition(":")
        headers.append((key.strip(), value.strip()))
    return lines[0], headers


async def read_message(reader, is_response=False, method="GET"):
    first, headers = await read_head(reader)
    message = Message(first, headers, b"")
    if is_response:
        status = int(first.split(" ")[1])
        if method == "HEAD" or status in (204, 304) or status < 200:
            return message
    if "chunked" in message.get("Transfer-Encoding").lower():
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            if size == 0:
                while await reader.readuntil(b"\r\n") != b"\r\n":
                    pass
                break
            message.body += await reader.readexactly(size)
            await reader.readexactly(2)
    elif message.get("Content-Length"):
        message.body = await reader.readexactly(int(message.get("Content-Length")))
    elif is_response:
        message.body = await reader.read()
    return message


def render(status, headers, body=b"", reason="X"):
    lines = [f"HTTP/1.1 {status} {reason}"]
    lines += [f"{key}: {value}" for key, value in headers]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


class Server:
    """An HTTP/1.1 server on loopback."""

    def __init__(self, ip="127.0.0.1"):
        self.ip = ip
        self.port = free_ports()
        self.address = f"{ip}:{self.port}"
        self.writers = set()
        self.server = None

    async def listen(self):
        self.server = await asyncio.start_server(
            self._connection, self.ip, self.port, limit=1 << 22
        )

    async def close(self, reset=False):
        if self.server:
            self.server.close()
            self.server = None
        for writer in list(self.writers):
            if reset:
                sock = writer.get_extra_info("socket")
                if sock:
                    sock.setsockopt(
                        socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0"
                    )
            writer.transport.abort() if reset else writer.close()

    async def _connection(self, reader, writer):
        self.writers.add(writer)
        writer.get_extra_info("socket").setsockopt(
            socket.IPPROTO_TCP, socket.TCP_NODELAY, 1
        )
        try:
            while True:
                request = await read_message(reader)
                if await self.handle(request, reader, writer) is False:
                    break
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError):
            pass
        except asyncio.CancelledError:
            pass  # the script ends
        finally:
            self.writers.discard(writer)
            writer.close()

    async def handle(self, request, reader, writer):
        raise NotImplementedError


class Store(Server):
    """The platform's store as PROTOCOL.md describes it."""

    def __init__(self):
        super().__init__()
        self.items = {}  # key: (value bytes, revision, created, lease)
        self.revision = 100
        self.events = []  # (revision, key, item or None)
        self.leases = {}  # id: (ttl, end)
        self.next_lease = 5000
        self.era = 1
        self.history_start = 0
        self.changed = asyncio.Event()
        self.up = True
        self.calls = 0
        self.on_call = None

    async def listen(self):
        await super().listen()
        self.expiry = asyncio.ensure_future(self._expire())

    async def _expire(self):
        while True:
            await asyncio.sleep(0.02)
            for lease, (_, end) in list(self.leases.items()):
                if self.up and now() >= end:
                    self._end_lease(lease)

    def _end_lease(self, lease):
        self.leases.pop(lease, None)
        keys = [key for key, item in self.items.items() if item[3] == lease]
        if keys:
            self.revision += 1
            for key in keys:
                self._erase(key)
            self._notify()

    def _notify(self):
        self.changed.set()
        self.changed = asyncio.Event()

    def _write(self, key, value, lease=0):
        created = self.items[key][2] if key in self.items else self.revision
        self.items[key] = (value, self.revision, created, lease)
        self.events.append((self.revision, key, self.items[key]))

    def _erase(self, key):
        if self.items.pop(key, None):
            self.events.append((self.revision, key, None))

    def put(self, key, document):
        """Writes as the operator or a runner."""
        value = document if isinstance(document, bytes) else json.dumps(document).encode()
        self.revision += 1
        self._write(key, value)
        self._notify()

    def remove(self, key):
        self.revision += 1
        self._erase(key)
        self._notify()

    def copy(self):
        """Returns a copy that the store may be restored from."""
        return dict(self.items), self.revision, self.next_lease

    def restore(self, copy):
        """Goes back to a copy: what was written since is gone, leases too."""
        items, self.revision, self.next_lease = copy
        self.items = {key: item for key, item in items.items() if item[3] == 0}
        self.leases = {}
        self.events = []
        self.history_start = self.revision
        self.era += 1
        self._notify()

    @staticmethod
    def _item(key, item):
        return {
            "key": key,
            "value": base64.b64encode(item[0]).decode(),
            "revision": item[1],
            "created": item[2],
            "lease": item[3],
        }

    def reply(self, status, body):
        return render(
            status,
            [("Content-Type", "application/json"), ("Store-Era", self.era)],
            json.dumps(body).encode(),
        )

    async def handle(self, request, reader, writer):
        self.calls += 1
        if not self.up:
            return False
        method, target, _ = request.first.split(" ")
        url = urllib.parse.urlsplit(target)
        query = dict(urllib.parse.parse_qsl(url.query))
        if self.on_call:
            verdict = await self.on_call(method, url.path, query, request)
            if verdict is False:
                return False
        answer = await self.answer(method, url.path, query, request.body)
        if not self.up:
            return False
        writer.write(answer)
        return True

    async def answer(self, method, path, query, body):
        if path == "/kv-key":
            item = self.items.get(query["key"])
            if not item:
                return self.reply(404, {"store_revision": self.revision})
            return self.reply(
                200, {**self._item(query["key"], item), "store_revision": self.revision}
            )
        if path == "/kv-range":
            keys = sorted(
                key
                for key in self.items
                if key.startswith(query["prefix"]) and key > query.get("after", "")
            )
            items = [self._item(key, self.items[key]) for key in keys[:500]]
            return self.reply(
                200,
                {
                    "items": items,
                    "has_more": len(keys) > 500,
                    "store_revision": self.revision,
                },
            )
        if path == "/kv-watch":
            end = now() + int(query.get("wait_ms", 0)) / 1000
            after, prefix = int(query["after"]), query["prefix"]
            while True:
                if not self.history_start <= after <= self.revision:
                    return self.reply(410, {})
                events = [
                    self._item(key, item)
                    if item
                    else {"key": key, "revision": revision, "removed": True}
                    for revision, key, item in self.events
                    if revision > after and key.startswith(prefix)
                ]
                left = end - now()
                if events or left <= 0:
                    return self.reply(
                        200, {"events": events, "store_revision": self.revision}
                    )
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    pass
        if path == "/kv-txn":
            return self._txn(json.loads(body))
        if path == "/kv-lease":
            ttl = max(1000, json.loads(body)["ttl_ms"])
            self.next_lease += 1
            self.leases[self.next_lease] = (ttl / 1000, now() + ttl / 1000)
            return self.reply(200, {"lease": self.next_lease, "ttl_ms": ttl})
        if path.startswith("/kv-keep/"):
            lease = int(path.rsplit("/", 1)[1])
            if lease not in self.leases:
                return self.reply(404, {})
            ttl = self.leases[lease][0]
            self.leases[lease] = (ttl, now() + ttl)
            return self.reply(200, {"ttl_ms": int(ttl * 1000)})
        if path.startswith("/kv-lease-end/"):
            lease = int(path.rsplit("/", 1)[1])
            if lease not in self.leases:
                return self.reply(404, {})
            self._end_lease(lease)
            return self.reply(200, {})
        return self.reply(400, {})

    def _txn(self, body):
        for row in body.get("precondition", []):
            item = self.items.get(row["key"])
            if (item[1] if item else 0) != row["revision"]:
                items = [
                    self._item(row["key"], self.items[row["key"]])
                    for row in body["precondition"]
                    if row["key"] in self.items
                ]
                return self.reply(412, {"items": items})
        for put in body.get("puts", []):
            if put.get("lease") and put["lease"] not in self.leases:
                return self.reply(404, {})
        self.revision += 1
        for put in body.get("puts", []):
            self._write(put["key"], base64.b64decode(put["value"]), put.get("lease", 0))
        for key in body.get("remove", []):
            self._erase(key)
        self._notify()
        return self.reply(200, {"revision": self.revision})


class Runner(Server):
    """A runner of a plain service; runs each request for `work_s`."""

    def __init__(self, world, id, service="booking", zone=ZONES[0], slots=6, work_s=0.03):
        super().__init__()
        self.world, self.store, self.record = world, world.store, world.record
        self.id, self.service, self.zone, self.slots = id, service, zone, slots
        self.work_s = work_s
        self.born = int(time.time() * 1000)
        self.state = "ready"
        self.active = 0
        self.sequence = 0
        self.runs = []
        self.extra_headers = []

    def entry(self):
        return {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "batch_slots": self.slots,
            "state": self.state,
            "cold_remaining_ms": 0,
            "sequence": self.sequence,
            "born": self.born,
        }

    def register(self):
        self.store.put(f"servers/{self.id}", self.entry())

    async def start(self):
        await self.listen()
        self.register()

    def base_headers(self, request):
        headers = [("Instance-Id", self.id), ("Server-Load", f"{self.active},0,{self.slots}")]
        attempt = request.get("Request-Attempt-Id")
        if attempt:
            headers.append(("Request-Attempt-Id", attempt))
        return headers + self.extra_headers

    async def handle(self, request, reader, writer):
        method, target, _ = request.first.split(" ")
        expected = request.get("Expect-Instance")
        if expected and expected != self.id:
            writer.write(render(421, [("Instance-Id", self.id)]))
            return True
        if target == "/healthz":
            writer.write(render(200, self.base_headers(request)))
            return True
        if not request.get("Request-Attempt-Id"):
            writer.write(render(400, [("Instance-Id", self.id), ("Not-Executed", "1")]))
            return True
        line = self.record.add(
            "run",
            runner=self.id,
            attempt=request.get("Request-Attempt-Id"),
            method=method,
            target=target,
            tenant=request.get("Tenant-Id"),
            body=len(request.body),
        )
        self.runs.append((line, request))
        return await self.run(request, writer)

    async def run(self, request, writer):
        self.active += 1
        try:
            await asyncio.sleep(self.work_s)
        finally:
            self.active -= 1
        body = f"answer of {self.id} to {request.get('Request-Attempt-Id')}".encode()
        headers = self.base_headers(request) + [("Response-Signature", f"3e1b.{zlib.crc32(body):08x}")]
        method = request.first.split(" ")[0]
        writer.write(
            render(200, headers, body) if method != "HEAD" else render(200, headers, body)[: -len(body)]
        )
        return True


class Node:
    """One process of the daemon."""

    def __init__(self, world, index, store_address=None, zone=None, first_start=True):
        self.world = world
        self.ip = "127.0.0.1"
        ready, admin = free_ports(2), free_ports(1)
        peer = free_ports(2)
        client = free_ports(1)
        self.name = f"edge-{index + 1}"
        self.client = f"{self.ip}:{client}"
        self.ready = f"{self.ip}:{ready}"
        self.admin = f"{self.ip}:{admin}"
        self.peer = f"{self.ip}:{peer}"
        self.forward = f"{self.ip}:{peer + 1}"
        self.port = client
        self.zone = zone or ZONES[index % 3]
        self.store_address = store_address or world.store.address
        self.first_start = first_start
        self.settings = os.path.join(world.folder, self.name + ".toml")
        self.log = os.path.join(world.folder, self.name + ".log")
        self.process = None

    def start(self):
        with open(self.settings, "w") as file:
            file.write(
                f'node = "{self.name}"\navailability_zone = "{self.zone}"\n'
                f'listen = "{self.client}"\nadmin_listen = "{self.admin}"\n'
                f'peer_listen = "{self.peer}"\nplatform = "{self.store_address}"\n'
                f'[serving]\nready_listen = "{self.ready}"\nforward_port_offset = 1\n'
                "revoke_bound_ms = 5000\nretry_ratio = 0.2\nretry_slack = 130\n"
                "stop_limit_s = 8\ndrain_bound_ms = 2000\n"
                f"first_start = {str(self.first_start).lower()}\ncpu_share = 0.25\n"
            )
        environment = {
            "PATH": os.environ.get("PATH", ""),
            "APRICOTTRACK_NODE_FILE": self.settings,
            "APRICOTTRACK_EVACUATION_BOUND_MS": "",
            "APRICOTTRACK_LINK_MBPS": "1000.0",
            "APRICOTTRACK_MEMORY_MB": "260",
            "APRICOTTRACK_MAX_FDS": "4200",
        }
        with open(self.log, "ab") as log:
            self.process = subprocess.Popen(
                [DAEMON], stdout=log, stderr=log, cwd=ROOT, env=environment
            )
        self.first_start = False

    def signal(self, number):
        if self.process and self.process.poll() is None:
            self.process.send_signal(number)

    def stop(self):
        if self.process and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()

    async def is_ready(self):
        try:
            answer = await asyncio.wait_for(call(self.ready, "GET", "/ready", []), 1)
            return answer.first.split(" ")[1] == "200"
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            return False

    def memory_mb(self):
        with open(f"/proc/{self.process.pid}/status") as file:
            for line in file:
                if line.startswith("VmRSS"):
                    return int(line.split()[1]) / 1024
        return 0


class World:
    """The processes and stand-ins of one script."""

    def __init__(self):
        self.folder = tempfile.mkdtemp(prefix="review-2-")
        self.record = Record()
        self.store = Store()
        self.nodes = []
        self.runners = []
        self.attempts = 0

    def attempt(self):
        self.attempts += 1
        return f"{os.getpid():08x}{self.attempts:08x}"

    async def start(self, config, node_count, runners):
        await self.store.listen()
        self.store.put("op/config", config)
        self.runners = runners
        for runner in runners:
            await runner.start()
        for index in range(node_count):
            self.nodes.append(Node(self, index))
            self.nodes[-1].start()
        await self.wait_ready()

    async def wait_ready(self, limit=20):
        end = now() + limit
        for node in self.nodes:
            while not await node.is_ready():
                if now() > end:
                    raise RuntimeError("a node did not become ready")
                await asyncio.sleep(0.05)

    def stop(self):
        for node in self.nodes:
            node.stop()


def route(name, prefix, kind, service, timeout_ms=2500, attempts=2, **more):
    return {
        "name": name,
        "host": HOST,
        "prefix": prefix,
        "kind": kind,
        "timeout_ms": timeout_ms,
        "target_latency_ms": 150,
        "priority": 2,
        "service": service,
        "attempts": attempts,
        "public": False,
        "sticky": False,
        **more,
    }


def service(name, max_connections=96, **more):
    return {
        "name": name,
        "health_path": "/healthz",
        "max_connections": max_connections,
        "protocol": "h1",
        "tls": False,
        **more,
    }


def configuration(routes, services, version=7, tenants=None):
    return {
        "version": version,
        "routes": routes,
        "services": services,
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 4194304,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
        "tenants": tenants
        or [{"name": TENANT, "api_keys": [KEY], "priority": 1}],
    }


def request_bytes(method, path, headers, body=b"", length=True):
    lines = [f"{method} {path} HTTP/1.1"]
    lines += [f"{key}: {value}" for key, value in headers]
    if body and length:
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


def client_headers(attempt, deadline_ms=2500, key=KEY, host=HOST):
    return [
        ("Host", host),
        ("Request-Attempt-Id", attempt),
        ("Deadline-Ms", deadline_ms),
        ("Authorization", f"Token {key}"),
    ]


async def connect(address):
    ip, port = address.rsplit(":", 1)
    return await asyncio.open_connection(ip, int(port), limit=1 << 22)


async def call(address, method, path, headers, body=b""):
    """One request on a new connection."""
    reader, writer = await connect(address)
    try:
        writer.write(request_bytes(method, path, headers, body))
        await writer.drain()
        return await read_message(reader, is_response=True, method=method)
    finally:
        writer.close()
