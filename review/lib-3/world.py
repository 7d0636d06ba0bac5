"""A small deployment on loopback: the platform's store and plain runners as
asyncio servers of this process, entry nodes as processes of the project's
daemon. Follows PROTOCOL.md; where that page is silent, a server is sound."""

import asyncio
import base64
import json
import os
import random
import shutil
import signal
import socket
import struct
import tempfile
import time
import urllib.parse

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))


# Below the ports that connections get, so that none takes one meanwhile.
FIRST_PORT, LAST_PORT = 20000, 32000
next_port = random.randrange(FIRST_PORT, LAST_PORT)


def free_ports(count):
    """Returns the first of so many consecutive ports that are free."""
    global next_port
    while True:
        first = next_port
        next_port = first + count if first + 2 * count < LAST_PORT else FIRST_PORT
        try:
            for port in range(first, first + count):
                with socket.socket() as probe:
                    probe.bind(("127.0.0.1", port))
            return first
        except OSError:
            continue


class Record:
    """record.txt: what was sent, answered and run."""

    def __init__(self, path):
        self.file = open(path, "w")
        self.start = time.monotonic()

    def __call__(self, text):
        self.file.write(f"{time.monotonic() - self.start:8.3f} {text}\n")
        self.file.flush()


async def read_request(reader):
    """Returns (method, target, headers, body), or None at the end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head[:-4].decode("latin-1").split("\r\n")
    method, target, _ = lines[0].split(" ", 2)
    headers = [tuple(part.strip() for part in line.split(":", 1)) for line in lines[1:]]
    lowered = {name.lower(): value for name, value in headers}
    body = b""
    if lowered.get("transfer-encoding", "").lower() == "chunked":
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            body += await reader.readexactly(size)
            await reader.readline()
            if size == 0:
                break
    elif "content-length" in lowered:
        body = await reader.readexactly(int(lowered["content-length"]))
    return method, target, headers, body


def head_bytes(status, headers):
    reasons = {200: "OK", 404: "Not Found", 410: "Gone", 412: "Precondition Failed"}
    lines = [f"HTTP/1.1 {status} {reasons.get(status, 'Status')}"]
    lines += [f"{name}: {value}" for name, value in headers]
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


class Store:
    """The platform's metadata store (PROTOCOL.md): linearizable, with leases."""

    def __init__(self):
        self.items = {}
        self.history = []
        self.revision = 100
        self.leases = {}
        self.next_lease = 1000
        self.changed = asyncio.Condition()
        self.era = 1
        self.is_away = False
        self.port = None

    async def start(self):
        server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.port = server.sockets[0].getsockname()[1]
        self.expiry = asyncio.create_task(self.expire_leases())

    async def put(self, key, value, lease=0):
        self.revision += 1
        if value is None:
            self.items.pop(key, None)
            event = {"key": key, "revision": self.revision, "removed": True}
        else:
            created = self.items.get(key, {}).get("created", self.revision)
            text = value if isinstance(value, bytes) else json.dumps(value).encode()
            event = {
                "key": key,
                "value": base64.b64encode(text).decode(),
                "revision": self.revision,
                "created": created,
                "lease": lease,
            }
            self.items[key] = event
        self.history.append(event)
        async with self.changed:
            self.changed.notify_all()

    async def expire_leases(self):
        while True:
            await asyncio.sleep(0.02)
            now = time.monotonic()
            for lease in [x for x, (end, _) in self.leases.items() if end <= now]:
                await self.end_lease(lease)

    async def end_lease(self, lease):
        del self.leases[lease]
        for key in [k for k, v in self.items.items() if v["lease"] == lease]:
            await self.put(key, None)

    async def serve(self, reader, writer):
        try:
            while True:
                request = await read_request(reader)
                if request is None:
                    break
                if self.is_away:
                    break
                status, reply = await self.answer(*request)
                if self.is_away:
                    break
                body = json.dumps(reply).encode()
                headers = [
                    ("Content-Type", "application/json"),
                    ("Content-Length", len(body)),
                    ("Store-Era", self.era),
                ]
                await asyncio.sleep(0.004)
                writer.write(head_bytes(status, headers) + body)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def answer(self, method, target, headers, body):
        parts = urllib.parse.urlsplit(target)
        query = {k: v[0] for k, v in urllib.parse.parse_qs(parts.query).items()}
        path = parts.path
        if path == "/kv-key":
            item = self.items.get(query["key"])
            if item is None:
                return 404, {"store_revision": self.revision}
            return 200, dict(item, store_revision=self.revision)
        if path == "/kv-range":
            after = query.get("after", "")
            keys = sorted(k for k in self.items if k.startswith(query["prefix"]) and k > after)
            page = [self.items[key] for key in keys[:500]]
            return 200, {
                "items": page,
                "has_more": len(keys) > 500,
                "store_revision": self.revision,
            }
        if path == "/kv-watch":
            return await self.watch(query)
        if path == "/kv-txn":
            return await self.transact(json.loads(body))
        if path == "/kv-lease":
            self.next_lease += 1
            ttl = json.loads(body)["ttl_ms"]
            self.leases[self.next_lease] = (time.monotonic() + ttl / 1000, ttl)
            return 200, {"lease": self.next_lease, "ttl_ms": ttl}
        if path.startswith("/kv-keep/"):
            lease = int(path.rsplit("/", 1)[1])
            if lease not in self.leases:
                return 404, {}
            ttl = self.leases[lease][1]
            self.leases[lease] = (time.monotonic() + ttl / 1000, ttl)
            return 200, {"ttl_ms": ttl}
        if path.startswith("/kv-lease-end/"):
            lease = int(path.rsplit("/", 1)[1])
            if lease not in self.leases:
                return 404, {}
            await self.end_lease(lease)
            return 200, {}
        return 404, {}

    def copy(self):
        return dict(self.items), list(self.history), self.revision

    async def go_away(self):
        """Ends what waits; answers nothing until restore()."""
        self.is_away = True
        async with self.changed:
            self.changed.notify_all()

    def restore(self, copy):
        """Comes back from an older copy: what was written since is gone, leases
        too, and revisions are given out again."""
        items, history, self.revision = copy
        self.items = {key: item for key, item in items.items() if not item["lease"]}
        self.history = list(history)
        self.leases = {}
        self.era += 1
        self.is_away = False

    async def watch(self, query):
        after = int(query["after"])
        if after > self.revision:
            return 410, {"store_revision": self.revision}
        end = time.monotonic() + int(query["wait_ms"]) / 1000
        while True:
            events = [
                event
                for event in self.history
                if event["revision"] > after and event["key"].startswith(query["prefix"])
            ]
            left = end - time.monotonic()
            if events or left <= 0 or self.is_away:
                return 200, {"events": events, "store_revision": self.revision}
            async with self.changed:
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    pass

    async def transact(self, body):
        current = []
        for row in body.get("precondition", []):
            item = self.items.get(row["key"])
            revision = item["revision"] if item else 0
            if revision != row["revision"]:
                current.append(item or {"key": row["key"], "revision": 0})
        if current:
            return 412, {"items": current}
        for put in body.get("puts", []):
            if put.get("lease", 0) and put["lease"] not in self.leases:
                return 404, {}
        for put in body.get("puts", []):
            await self.put(put["key"], base64.b64decode(put["value"]), put.get("lease", 0))
        for key in body.get("remove", []):
            await self.put(key, None)
        return 200, {"revision": self.revision}


class Runner:
    """A plain runner. `behave(request)` may replace the sound answer."""

    def __init__(self, name, service, record, work_s=0.02, slots=6):
        self.name = name
        self.service = service
        self.record = record
        self.work_s = work_s
        self.slots = slots
        self.runs = []
        self.state = "ready"
        self.sequence = 0
        self.behave = None
        self.born = int(time.time() * 1000)
        self.writers = set()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]

    def entry(self):
        self.sequence += 1
        return {
            "service": self.service,
            "address": f"127.0.0.1:{self.port}",
            "zone": "zone-a",
            "version": "v1",
            "batch_slots": self.slots,
            "state": self.state,
            "cold_remaining_ms": 0,
            "born": self.born,
            "sequence": self.sequence,
        }

    async def beat(self, store, interval=1.2):
        while True:
            await store.put(f"servers/{self.name}", self.entry())
            await asyncio.sleep(interval)

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                request = await read_request(reader)
                if request is None:
                    break
                if not await self.handle(request, writer):
                    break
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def handle(self, request, writer):
        method, target, headers, body = request
        lowered = {name.lower(): value for name, value in headers}
        attempt = lowered.get("request-attempt-id", "")
        expected = lowered.get("expect-instance", self.name)
        if expected != self.name:
            writer.write(head_bytes(421, [("Instance-Id", self.name), ("Content-Length", 0)]))
            await writer.drain()
            return True
        if not attempt:
            writer.write(head_bytes(400, [("Not-Executed", 1), ("Content-Length", 0)]))
            await writer.drain()
            return True
        if self.behave is not None:
            return await self.behave(self, request, writer)
        self.run(request)
        await asyncio.sleep(self.work_s)
        writer.write(self.success(attempt, f"done {attempt}".encode()))
        await writer.drain()
        return True

    def run(self, request):
        lowered = {name.lower(): value for name, value in request[2]}
        attempt = lowered.get("request-attempt-id", "")
        self.runs.append(attempt)
        self.record(f"{self.name} runs {attempt}")

    def success(self, attempt, body):
        return (
            head_bytes(
                200,
                [
                    ("Request-Attempt-Id", attempt),
                    ("Response-Signature", f"{self.name}.{attempt}"),
                    ("Server-Load", f"1,0,{self.slots}"),
                    ("Content-Length", len(body)),
                ],
            )
            + body
        )


class CrashingRunner(Runner):
    """A runner that a request may crash; it is back after some seconds."""

    store = None
    is_down = False
    back_after_s = 3.0

    async def crash(self, crashes):
        if self.is_down:
            return
        self.is_down = True
        crashes.append(time.monotonic())
        self.record(f"{self.name} crashes")
        self.beating.cancel()
        self.server.close()
        for writer in list(self.writers):
            linger = struct.pack("ii", 1, 0)
            writer.get_extra_info("socket").setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, linger
            )
            writer.transport.abort()
        await asyncio.sleep(self.back_after_s)
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", self.port)
        self.born = int(time.time() * 1000)
        self.is_down = False
        self.record(f"{self.name} is back")
        self.beating = asyncio.create_task(self.beat(self.store))


class Node:
    """One process of the daemon, with the settings of deploy/settings.toml.in."""

    def __init__(self, world, name, first_start=True, zone="zone-a"):
        self.name = name
        self.world = world
        self.zone = zone
        self.listen = free_ports(5)
        self.ready = self.listen + 1
        self.admin = self.listen + 2
        # The next one is for forwarded requests.
        self.peer = self.listen + 3
        self.first_start = first_start
        self.process = None
        self.quota = None

    def settings(self):
        bounds = self.world.bounds
        return f"""node = "{self.name}"
availability_zone = "{self.zone}"
listen = "127.0.0.1:{self.listen}"
admin_listen = "127.0.0.1:{self.admin}"
peer_listen = "127.0.0.1:{self.peer}"
platform = "127.0.0.1:{self.world.store.port}"

[serving]
ready_listen = "127.0.0.1:{self.ready}"
forward_port_offset = 1
revoke_bound_ms = {bounds['revoke_ms']}
retry_ratio = 0.2
retry_slack = 130
stop_limit_s = 8
drain_bound_ms = {bounds['drain_ms']}
first_start = {'true' if self.first_start else 'false'}
cpu_share = 0.25
"""

    async def start(self):
        path = os.path.join(self.world.folder, f"{self.name}.toml")
        with open(path, "w") as file:
            file.write(self.settings())
        log = open(os.path.join(self.world.folder, f"{self.name}.log"), "ab")
        self.process = await asyncio.create_subprocess_exec(
            os.path.join(ROOT, "target", "apricottrackd"),
            cwd=ROOT,
            env={
                "PATH": os.environ["PATH"],
                "APRICOTTRACK_NODE_FILE": path,
                "APRICOTTRACK_MEMORY_MB": "260",
                "APRICOTTRACK_MAX_FDS": "4200",
            },
            stdout=log,
            stderr=log,
        )
        log.close()

    def resident_mb(self):
        """Resident memory of the process; 0 if it has ended."""
        try:
            with open(f"/proc/{self.process.pid}/status") as status:
                for line in status:
                    if line.startswith("VmRSS"):
                        return int(line.split()[1]) / 1024
        except OSError:
            pass
        return 0

    def limit_processor(self, share):
        """The machine's share of a core is a quota: the process runs until it is
        used up, and then not at all for the rest of that tenth of a second."""
        self.quota = asyncio.create_task(self.enforce_quota(share))

    def processor_s(self):
        with open(f"/proc/{self.process.pid}/schedstat") as file:
            return int(file.read().split()[0]) / 1e9

    async def enforce_quota(self, share):
        period = 0.1
        while self.process.returncode is None:
            end = time.monotonic() + period
            used = self.processor_s()
            while time.monotonic() < end:
                await asyncio.sleep(0.002)
                if self.processor_s() - used >= share * period:
                    self.process.send_signal(signal.SIGSTOP)
                    await asyncio.sleep(max(0, end - time.monotonic()))
                    self.process.send_signal(signal.SIGCONT)

    def send_signal(self, number):
        self.process.send_signal(number)

    async def is_ready(self):
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", self.ready)
            writer.write(b"GET /ready HTTP/1.1\r\nHost: n\r\nConnection: close\r\n\r\n")
            line = await asyncio.wait_for(reader.readline(), 1)
            writer.close()
            return b" 200 " in line
        except (OSError, asyncio.TimeoutError):
            return False

    async def wait_ready(self, timeout=10):
        end = time.monotonic() + timeout
        while time.monotonic() < end:
            if await self.is_ready():
                return True
            await asyncio.sleep(0.05)
        return False


class World:
    def __init__(self, folder, bounds=None):
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.record = Record(os.path.join(folder, "record.txt"))
        self.bounds = {"revoke_ms": 5000, "drain_ms": 2000} | (bounds or {})
        self.store = Store()
        self.runners = []
        self.nodes = []
        self.tasks = []

    async def start(self, config, runners, node_count):
        await self.store.start()
        await self.store.put("op/config", config)
        for runner in runners:
            await self.add_runner(runner)
        for index in range(node_count):
            node = Node(self, f"edge-{index + 1}")
            self.nodes.append(node)
            await node.start()
        for node in self.nodes:
            if not await node.wait_ready():
                raise RuntimeError(f"{node.name} did not become ready")
        await asyncio.sleep(1.5)

    async def add_runner(self, runner):
        await runner.start()
        runner.beating = asyncio.create_task(runner.beat(self.store))
        self.runners.append(runner)

    def planner(self):
        """The node that holds the planner's lease, or None."""
        item = self.store.items.get("apricottrack/state/planner")
        if item is None:
            return None
        address = base64.b64decode(item["value"]).decode().split(" ")[0]
        return next((n for n in self.nodes if address == f"127.0.0.1:{n.peer}"), None)

    async def stop(self):
        for node in self.nodes:
            if node.quota is not None:
                node.quota.cancel()
            if node.process is not None and node.process.returncode is None:
                node.process.send_signal(signal.SIGCONT)
                node.process.kill()
                await node.process.wait()
        if not os.environ.get("KEEP"):
            shutil.rmtree(self.folder, ignore_errors=True)


class Reply:
    def __init__(self):
        self.status = None
        self.headers = {}
        self.body = b""
        self.complete = False
        self.error = ""
        self.seconds = 0.0


async def read_reply(reader, reply):
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head[:-4].decode("latin-1").split("\r\n")
    reply.status = int(lines[0].split(" ")[1])
    reply.headers = {
        line.split(":", 1)[0].strip().lower(): line.split(":", 1)[1].strip() for line in lines[1:]
    }
    if reply.headers.get("transfer-encoding") == "chunked":
        while True:
            size = int((await reader.readuntil(b"\r\n")).strip(), 16)
            reply.body += await reader.readexactly(size)
            await reader.readexactly(2)
            if size == 0:
                break
    else:
        reply.body = await reader.readexactly(int(reply.headers.get("content-length", "0")))
    reply.complete = True


async def call(port, attempt, path, host="shop.example", method="POST", body=b"x", key="key-1",
               deadline_ms=2500, timeout=5.0, headers=()):
    """One attempt of a client on a new connection."""
    reply = Reply()
    begun = time.monotonic()
    lines = [f"{method} {path} HTTP/1.1", f"Host: {host}", f"Request-Attempt-Id: {attempt}",
             f"Deadline-Ms: {deadline_ms}"]
    if key:
        lines.append(f"Authorization: Token {key}")
    lines += [f"{name}: {value}" for name, value in headers]
    if body:
        lines.append(f"Content-Length: {len(body)}")
    message = ("\r\n".join(lines) + "\r\n\r\n").encode() + body
    writer = None
    try:
        reader, writer = await asyncio.wait_for(asyncio.open_connection("127.0.0.1", port), 1)
        writer.write(message)
        await asyncio.wait_for(read_reply(reader, reply), timeout)
    except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError) as error:
        reply.error = type(error).__name__
    finally:
        if writer is not None:
            writer.close()
    reply.seconds = time.monotonic() - begun
    return reply


def config(version, routes, services, tenants=None, limits=None):
    return {
        "version": version,
        "routes": routes,
        "services": services,
        "limits": limits
        or {
            "max_header_bytes": 16384,
            "max_body_bytes": 4194304,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
        "tenants": tenants
        if tenants is not None
        else [{"name": "shop", "api_keys": ["key-1"], "priority": 1}],
    }


def route(name, prefix, kind, service, timeout_ms=1200, attempts=1, **more):
    return {
        "name": name,
        "host": "shop.example",
        "prefix": prefix,
        "kind": kind,
        "timeout_ms": timeout_ms,
        "target_latency_ms": 150,
        "priority": 2,
        "service": service,
        "attempts": attempts,
        "public": False,
    } | more


def service(name, connections=96):
    return {
        "name": name,
        "health_path": "/healthz",
        "max_connections": connections,
        "protocol": "h1",
        "tls": False,
    }
