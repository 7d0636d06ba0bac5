"""Small stand-ins of the platform, its runners and its clients on loopback.

They follow the protocol page of the platform. All of them run in the event loop
of the script that uses them; the nodes are processes of their own.
"""

import asyncio
import base64
import itertools
import json
import os
import random
import resource
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import urllib.parse

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "../.."))
DAEMON = os.path.join(ROOT, "target", "apricottrackd")
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HOST = "shop.example"
KEY = "n2ctnfzs989anu6wsjnb"


def now():
    return time.monotonic()


def free_port(ip="127.0.0.1"):
    with socket.socket() as probe:
        probe.bind((ip, 0))
        return probe.getsockname()[1]


def raise_own_fd_limit():
    """For the stand-ins' own sockets; the nodes have limits of their own."""
    _, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    if 0 <= hard < 4200:
        raise RuntimeError("this machine allows too few descriptors")
    resource.setrlimit(resource.RLIMIT_NOFILE, (hard, hard))


class Record:
    """What was sent, answered and run, one JSON object a line."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w")
        self.start = now()
        self.lines = []

    def add(self, what, **fields):
        line = {"t": round(now() - self.start, 3), "what": what, **fields}
        self.lines.append(line)
        self.file.write(json.dumps(line) + "\n")
        self.file.flush()


class Http:
    """Reads one message of HTTP/1.1."""

    @staticmethod
    async def head(reader):
        raw = await reader.readuntil(b"\r\n\r\n")
        lines = raw.decode("latin-1").split("\r\n")
        headers = {}
        for line in lines[1:]:
            if ":" in line:
                name, value = line.split(":", 1)
                headers[name.strip().lower()] = value.strip()
        return lines[0], headers

    @staticmethod
    async def body(reader, headers):
        if "chunked" in headers.get("transfer-encoding", ""):
            body = b""
            while True:
                size = int((await reader.readline()).split(b";")[0], 16)
                part = await reader.readexactly(size + 2)
                if size == 0:
                    return body
                body += part[:-2]
        return await reader.readexactly(int(headers.get("content-length", 0)))

    @staticmethod
    def message(status, headers, body=b""):
        lines = [f"HTTP/1.1 {status}"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        lines.append(f"Content-Length: {len(body)}")
        return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


class Listener:
    """Serves connections; close() resets nothing, it only ends them."""

    def __init__(self):
        self.server = None
        self.tasks = set()

    async def listen(self, ip, port=0):
        self.server = await asyncio.start_server(self.connection, ip, port, limit=2**20)
        self.address = "%s:%d" % self.server.sockets[0].getsockname()[:2]
        return self.address

    async def connection(self, reader, writer):
        task = asyncio.current_task()
        self.tasks.add(task)
        try:
            while True:
                line, headers = await Http.head(reader)
                body = await Http.body(reader, headers)
                method, target, _ = line.split(" ", 2)
                if not await self.handle(method, target, headers, body, writer):
                    break
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError, ValueError):
            pass
        finally:
            self.tasks.discard(task)
            writer.close()

    def close(self):
        if self.server:
            self.server.close()
        for task in list(self.tasks):
            task.cancel()


class Store(Listener):
    """The platform's metadata store. Loses what it has acknowledged only in
    restore(), as in a drill, and then raises its era."""

    def __init__(self, history=100000):
        super().__init__()
        self.items = {}
        self.revision = 10
        self.leases = {}
        self.next_lease = itertools.count(77000)
        self.events = []
        self.era = 1
        self.oldest = 0
        self.changed = asyncio.Event()
        self.up = True
        self.refused = set()

    def write(self, key, value, lease=0, revision=None):
        if revision is None:
            self.revision += 1
            revision = self.revision
        created = self.items[key]["created"] if key in self.items else revision
        item = {"key": key, "value": base64.b64encode(value).decode(),
                "revision": revision, "created": created, "lease": lease}
        self.items[key] = item
        self.events.append(item)
        self.wake()

    def put(self, key, document):
        self.write(key, json.dumps(document).encode())

    def remove(self, key, revision=None):
        if key in self.items:
            if revision is None:
                self.revision += 1
                revision = self.revision
            del self.items[key]
            self.events.append({"key": key, "revision": revision, "removed": True})
            self.wake()

    def wake(self):
        event, self.changed = self.changed, asyncio.Event()
        event.set()

    def copy(self):
        return json.loads(json.dumps([self.items, self.revision]))

    def restore(self, copy):
        self.items, self.revision = json.loads(json.dumps(copy))
        for key in [k for k, i in self.items.items() if i["lease"]]:
            del self.items[key]
        self.leases, self.events = {}, []
        self.oldest = self.revision
        self.era += 1
        self.wake()

    def expire(self):
        for lease, (_, ends) in list(self.leases.items()):
            if now() >= ends:
                self.end_lease(lease)

    def end_lease(self, lease):
        if self.leases.pop(lease, None):
            for key in [k for k, i in self.items.items() if i["lease"] == lease]:
                self.remove(key)

    async def expire_always(self):
        while True:
            await asyncio.sleep(0.02)
            if self.up:
                self.expire()

    async def handle(self, method, target, headers, body, writer):
        if not self.up:
            return False
        status, answer = await self.answer(method, target, body)
        if not self.up:
            return False
        text = json.dumps(answer).encode()
        writer.write(Http.message(status, {"Content-Type": "application/json",
                                           "Store-Era": self.era}, text))
        await writer.drain()
        return True

    async def answer(self, method, target, body):
        path, _, query = target.partition("?")
        query = dict(urllib.parse.parse_qsl(query))
        call = json.loads(body) if body else {}
        if path == "/kv-key":
            item = self.items.get(query["key"])
            if item is None:
                return "404 Not Found", {}
            return "200 OK", {**item, "store_revision": self.revision}
        if path == "/kv-range":
            keys = sorted(k for k in self.items if k.startswith(query["prefix"])
                          and k > query.get("after", ""))
            return "200 OK", {"items": [self.items[k] for k in keys[:500]],
                              "has_more": len(keys) > 500, "store_revision": self.revision}
        if path == "/kv-watch":
            return await self.watch(query["prefix"], int(query["after"]), int(query["wait_ms"]))
        if path == "/kv-txn":
            return self.txn(call)
        if path == "/kv-lease":
            ttl = max(1000, int(call["ttl_ms"]))
            lease = next(self.next_lease)
            self.leases[lease] = (ttl / 1000, now() + ttl / 1000)
            return "200 OK", {"lease": lease, "ttl_ms": ttl}
        lease = int(path.rsplit("/", 1)[1])
        self.expire()
        if lease not in self.leases:
            return "404 Not Found", {}
        ttl = self.leases[lease][0]
        if path.startswith("/kv-keep/"):
            self.leases[lease] = (ttl, now() + ttl)
            return "200 OK", {"ttl_ms": int(ttl * 1000)}
        self.end_lease(lease)
        return "200 OK", {}

    async def watch(self, prefix, after, wait_ms):
        ends, era = now() + wait_ms / 1000, self.era
        while True:
            if era != self.era or after < self.oldest or after > self.revision:
                return "410 Gone", {}
            events = [e for e in self.events if e["revision"] > after
                      and e["key"].startswith(prefix)]
            left = ends - now()
            if events or left <= 0:
                return "200 OK", {"events": events, "store_revision": self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    def txn(self, call):
        self.expire()
        rows = call.get("precondition", [])
        if any(self.items.get(r["key"], {"revision": 0})["revision"] != r["revision"]
               for r in rows):
            return "412 Precondition Failed", {
                "items": [self.items[r["key"]] for r in rows if r["key"] in self.items]}
        for put in call.get("puts", []):
            if put.get("lease") and put["lease"] not in self.leases:
                return "404 Not Found", {}
        self.revision += 1
        for put in call.get("puts", []):
            self.write(put["key"], base64.b64decode(put["value"]), put.get("lease", 0),
                       self.revision)
        for key in call.get("remove", []):
            self.remove(key, self.revision)
        return "200 OK", {"revision": self.revision}


class Runner(Listener):
    """A runner of a plain service: `slots` requests at once, `work_s` each. A
    request of a path with /stream/ gets events for `stream_s`."""

    def __init__(self, store, record, name, service, zone, slots=26, work_s=0.03,
                 stream_s=1.0):
        super().__init__()
        self.store, self.record = store, record
        self.id, self.service, self.zone = name, service, zone
        self.slots, self.work_s, self.stream_s = slots, work_s, stream_s
        self.born = int(time.time() * 1000)
        self.state = "ready"
        self.active = 0
        self.sequence = 0
        self.listed = True
        # Called with the request; returns True if it has answered by itself.
        self.misbehave = None

    def entry(self):
        return {"service": self.service, "address": self.address, "zone": self.zone,
                "version": "v1", "batch_slots": self.slots, "state": self.state,
                "cold_remaining_ms": 0, "sequence": self.sequence, "born": self.born}

    def beat(self):
        if self.listed:
            self.store.put("servers/" + self.id, self.entry())

    async def beat_always(self):
        while True:
            if self.store.up:
                self.beat()
            await asyncio.sleep(1.2)

    def headers(self, headers):
        return {"Request-Attempt-Id": headers.get("request-attempt-id", ""),
                "Response-Signature": "sig." + self.id,
                "Server-Load": f"{self.active},0,{self.slots}"}

    async def handle(self, method, target, headers, body, writer):
        expected = headers.get("expect-instance")
        if expected and expected != self.id:
            writer.write(Http.message("421 Misdirected Request", {"Instance-Id": self.id}))
            await writer.drain()
            return True
        return await self.serve(method, target, headers, body, writer)

    async def serve(self, method, target, headers, body, writer):
        attempt = headers.get("request-attempt-id", "")
        if target == "/healthz":
            writer.write(Http.message("200 OK", {"Instance-Id": self.id}))
            await writer.drain()
            return True
        if self.active >= self.slots:
            writer.write(Http.message("503 Service Unavailable", {
                "Not-Executed": 1, "Request-Attempt-Id": attempt}))
            await writer.drain()
            return True
        self.active += 1
        self.record.add("run", runner=self.id, attempt=attempt, target=target)
        try:
            if self.misbehave and await self.misbehave(self, attempt, headers, writer):
                return False
            if "/stream/" in target:
                await self.stream(headers, writer)
                return True
            await asyncio.sleep(self.work_s)
            writer.write(Http.message("200 OK", self.headers(headers),
                                      f"{attempt} by {self.id}\n".encode()))
            await writer.drain()
            return True
        finally:
            self.active -= 1

    async def stream(self, headers, writer):
        head = {**self.headers(headers), "Content-Type": "text/event-stream",
                "Transfer-Encoding": "chunked"}
        writer.write(("HTTP/1.1 200 OK\r\n" + "".join(
            f"{n}: {v}\r\n" for n, v in head.items()) + "\r\n").encode())
        count = max(1, int(self.stream_s / 0.05))
        for number in range(int(headers.get("last-event-id", 0)) + 1, count + 1):
            await asyncio.sleep(0.05)
            event = f"id: {number}\ndata: piece {number}\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        await writer.drain()


class Engine(Runner):
    """A model runner: one member of a group of `size` runners, which the head
    serves for. Weights load in load_s, or in warm_s from the host."""

    STALL_S = 5.0
    all = {}

    def __init__(self, *args, domain="d0", load_s=1.0, warm_s=0.3, model_size=2, **kwargs):
        super().__init__(*args, **kwargs)
        self.domain, self.load_s, self.warm_s, self.size = domain, load_s, warm_s, model_size
        self.group = None
        self.list = []
        self.model = self.last_model = ""
        self.staged = []
        self.seen_epoch = self.fence = 0
        self.still_since = None
        self.busy = False
        self.pace = 1.0
        self.awake = asyncio.Event()
        self.awake.set()
        self.ended = asyncio.Event()
        Engine.all[self.id] = self

    def models(self):
        return [{"name": self.model, "version": 1, "adapters": []}] if self.model else []

    def entry(self):
        entry = {**super().entry(), "stage": "both", "models": self.models(),
                 "domain": self.domain, "staged": self.staged, "busy": self.busy}
        return {**entry, "group": self.group} if self.group else entry

    def members_intact(self):
        if len(self.list) < self.size:
            return False
        for member in self.list:
            other = Engine.all[member]
            if not other.group or (other.group["name"], other.group["epoch"]) != (
                    self.group["name"], self.group["epoch"]) or not other.awake.is_set():
                return False
        return True

    async def drain(self):
        """A planned shutdown of a member: it remains while its head has work, for
        at most 10 s, and then exits."""
        self.record.add("draining", runner=self.id)
        self.state = "draining"
        self.beat()
        start = now()
        while now() < start + 10:
            await asyncio.sleep(0.05)
            head = Engine.all[self.list[0]] if self.group else None
            if now() > start + 3 and not (head and head.active):
                break
        self.record.add("exits", runner=self.id, after_s=round(now() - start, 2))
        self.listed = False
        self.store.remove("servers/" + self.id)
        self.group, self.list = None, []
        self.close()

    async def crash(self, seconds):
        """Ends without a word, resets its connections, and is back empty."""
        self.record.add("crash", runner=self.id)
        self.listed = False
        self.cut("it crashed")
        # Its port refuses connections until it is back.
        self.close()
        self.group, self.list, self.model, self.last_model = None, [], "", ""
        self.seen_epoch = self.fence = self.sequence = 0
        await asyncio.sleep(seconds)
        self.born = int(time.time() * 1000)
        ip, port = self.address.split(":")
        await self.listen(ip, int(port))
        self.listed = True
        self.beat()

    async def slow(self, times, seconds):
        self.record.add("slow", runner=self.id, times=times, seconds=seconds)
        self.pace = times
        await asyncio.sleep(seconds)
        self.pace = 1.0

    async def silence(self, seconds):
        """A sound runner says nothing for a while and then goes on."""
        self.record.add("silent", runner=self.id, seconds=seconds)
        self.awake.clear()
        await asyncio.sleep(seconds)
        self.record.add("goes_on", runner=self.id)
        self.awake.set()

    async def beat_always(self):
        while True:
            await self.awake.wait()
            if self.store.up:
                self.beat()
            await asyncio.sleep(1.2)

    async def handle(self, method, target, headers, body, writer):
        await self.awake.wait()
        return await super().handle(method, target, headers, body, writer)

    async def serve(self, method, target, headers, body, writer):
        if target == "/report":
            answer = {"stage": "both", "models": self.models(), "busy": self.busy,
                      "sequence": self.sequence, "queued": 0, "active": self.active,
                      "kv_used": 0, "kv_total": 1590000, "handles": 0, "pace": self.pace,
                      "born": self.born, "domain": self.domain, "staged": self.staged}
            if self.group:
                answer["group"] = self.group
            writer.write(Http.message("200 OK", {"Content-Type": "application/json"},
                                      json.dumps(answer).encode()))
            await writer.drain()
            return True
        if target == "/order":
            order = json.loads(body)
            status = self.order(order)
            self.record.add("order", runner=self.id, status=status, **order)
            writer.write(Http.message(status, {}))
            await writer.drain()
            self.beat()
            return True
        if not self.group or self.group["rank"] != 0:
            writer.write(Http.message("421 Misdirected Request", {"Not-Executed": 1}))
            await writer.drain()
            return True
        if self.group["state"] != "open":
            writer.write(Http.message("503 Service Unavailable", {"Not-Executed": 1}))
            await writer.drain()
            return True
        return await super().serve(method, target, headers, body, writer)

    def order(self, order):
        if order.get("fence", 0) < self.fence:
            return "412 Precondition Failed"
        self.fence = order.get("fence", 0)
        if order["op"] == "join":
            if order["epoch"] < self.seen_epoch or (
                    self.group and order["epoch"] == self.group["epoch"]
                    and order["members"] != self.list):
                return "412 Precondition Failed"
            if self.group and self.group["epoch"] == order["epoch"]:
                return "200 OK"
            if self.group:
                head = Engine.all[self.list[0]]
                self.record.add("join_taken", runner=self.id, group=order["group"],
                                left=self.group["name"], head=head.id,
                                head_state=head.group["state"] if head.group and (
                                    head.group["name"] == self.group["name"]) else None,
                                head_epoch=head.group["epoch"] if head.group else None,
                                left_epoch=self.group["epoch"])
            self.seen_epoch = order["epoch"]
            self.cut("its head joined again")
            self.list = order["members"]
            self.group = {"name": order["group"], "epoch": order["epoch"],
                          "rank": self.list.index(self.id), "state": "joining"}
            delay = (0.2 if order["model"] == self.last_model else
                     self.warm_s if order["model"] in self.staged else self.load_s)
            self.model = order["model"]
            self.start(self.finish_join(order["epoch"], order["model"], delay))
            return "202 Accepted"
        if order["op"] == "stage":
            if order["model"] in self.staged:
                return "200 OK"
            self.start(self.finish_stage(order["model"]))
            return "202 Accepted"
        if not self.group or (order["group"], order["epoch"]) != (
                self.group["name"], self.group["epoch"]):
            return "409 Conflict"
        if order["op"] == "open":
            if self.group["state"] == "open":
                return "200 OK"
            if self.group["state"] != "ready" or self.group["rank"] != 0:
                return "409 Conflict"
            self.start(self.finish_open(order["epoch"]))
            return "202 Accepted"
        if order["op"] == "close":
            if self.group["state"] == "ready":
                return "200 OK"
            if order["mode"] == "truncate":
                self.cut("its group was closed")
                self.group = {**self.group, "state": "ready"}
            else:
                self.group = {**self.group, "state": "closing"}
                self.start(self.finish_close(order["epoch"]))
            return "202 Accepted"
        self.cut("it was told to leave")
        self.group, self.list = None, []
        return "200 OK"

    def start(self, work):
        self.sequence += 1
        asyncio.ensure_future(work)

    def cut(self, why):
        """Breaks off all work, as a leave or a closing does."""
        if self.active:
            self.record.add("work_cut", runner=self.id, why=why, active=self.active)
        event, self.ended = self.ended, asyncio.Event()
        event.set()

    async def finish_join(self, epoch, model, delay):
        await asyncio.sleep(delay)
        if self.group and self.group["epoch"] == epoch:
            self.last_model = model
            self.staged = [model]
            self.group = {**self.group, "state": "ready"}
            self.beat()

    async def finish_stage(self, model):
        await asyncio.sleep(self.load_s)
        self.staged = [model]
        self.beat()

    async def finish_open(self, epoch):
        await asyncio.sleep(0.3)
        if self.group and self.group["epoch"] == epoch and self.group["state"] == "ready":
            self.group = {**self.group, "state": "open"}
            self.beat()

    async def finish_close(self, epoch):
        while self.active:
            await asyncio.sleep(0.02)
        if self.group and self.group["epoch"] == epoch:
            self.group = {**self.group, "state": "ready"}
            self.beat()

    async def stream(self, headers, writer):
        head = {**self.headers(headers), "Content-Type": "text/event-stream",
                "Transfer-Encoding": "chunked"}
        ended, attempt = self.ended, headers.get("request-attempt-id", "")
        writer.write(("HTTP/1.1 200 OK\r\n" + "".join(
            f"{n}: {v}\r\n" for n, v in head.items()) + "\r\n").encode())
        count = max(1, int(self.stream_s / 0.05))
        still_s = 0.0
        number = int(headers.get("last-event-id", 0)) + 1
        while number <= count:
            await asyncio.sleep(0.05 * max(Engine.all[m].pace for m in self.list or [self.id]))
            await self.awake.wait()
            if ended.is_set():
                raise OSError("cut")
            if not self.members_intact():
                still_s += 0.05
                if still_s >= self.STALL_S:
                    self.record.add("stalled_out", runner=self.id, attempt=attempt)
                    if self.group:
                        self.group = {**self.group, "state": "broken"}
                        self.beat()
                    raise OSError("stalled")
                continue
            still_s = 0.0
            event = f"id: {number}\ndata: piece {number}\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
            number += 1
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        self.record.add("streamed", runner=self.id, attempt=attempt)


def engine_service(name, models, max_connections=464):
    """`models`: rows of name, size, load_s, warm_s and share."""
    return {"name": name, "health_path": "/healthz", "max_connections": max_connections,
            "protocol": "h1", "tls": False,
            "engine": {"batch_slots": 26, "kv_capacity_tokens": 1590000,
                       "kv_token_bytes": 327680, "bandwidth_mbps": 400000.0, "stride": 7,
                       "models": [{"name": n, "size": size, "share": share, "pace": 1.0,
                                   "load_s": load_s, "warm_s": warm_s}
                                  for n, size, load_s, warm_s, share in models],
                       "step_ms": 5.95, "per_seq_ms": 0.0445, "context_per_k": 0.00813,
                       "read_per_s": 50700.0, "pairs_per_m": 0.368, "chunk": 2048,
                       "report_lag_ms": 200.0, "loads_per_s": 4.5, "loads_at_once": 6,
                       "delays": [], "usual": {"prompt": 1115, "answer": 178}, "keeps": 1,
                       "far_x": 3.0, "form_ms": 300.0}}


class Node:
    """One process of the daemon on an address of its own, started as the deploy
    file says. The platform ends a process that needs more than memory_mb, and
    starts a process that has ended again."""

    def __init__(self, world, index, first_start=True, memory_mb=260, store=None):
        self.world, self.memory_mb = world, memory_mb
        self.name = f"edge-{index}"
        self.ip = f"127.{10 + os.getpid() % 200}.{os.getpid() // 200 % 250}.{index + 1}"
        self.zone = ["ie-south-a", "ie-south-b", "ie-south-c"][index % 3]
        self.client = f"{self.ip}:{free_port(self.ip)}"
        self.ready = f"{self.ip}:{free_port(self.ip)}"
        self.peer = free_port(self.ip)
        self.first_start = first_start
        self.store = store or world.store.address
        self.process = None
        self.deaths = []
        self.keep_running = True

    def settings(self):
        with open(os.path.join(ROOT, "deploy", "settings.toml.in")) as file:
            text = file.read()
        values = {
            "{{node_name|json}}": json.dumps(self.name), "{{zone|json}}": json.dumps(self.zone),
            "{{bind.client_addr|json}}": json.dumps(self.client), "{{ip}}": self.ip,
            "{{internal_ports.0}}": str(self.peer),
            "{{provider.address|json}}": json.dumps(self.store),
            "{{bind.readiness|json}}": json.dumps(self.ready),
            "{{contract_bounds.revoke_ms}}": "5000",
            "{{contract_bounds.retry_budget_ratio}}": "0.2",
            "{{contract_bounds.budget_slack}}": "130", "{{contract_bounds.grace_s}}": "8",
            "{{contract_bounds.drain_ms}}": "2000",
            "{{bootstrap}}": "true" if self.first_start else "false",
            "{{limits.cpu_share}}": "0.25"}
        for name, value in values.items():
            text = text.replace(name, value)
        if "{{" in text:
            raise RuntimeError("the template of the settings has an unknown placeholder")
        return text

    def start(self):
        path = os.path.join(self.world.folder, self.name + ".toml")
        with open(path, "w") as file:
            file.write(self.settings())
        self.first_start = False
        limit = (self.world.max_fds, self.world.max_fds)
        with open(os.path.join(self.world.folder, self.name + ".log"), "ab") as log:
            self.process = subprocess.Popen(
                [DAEMON], cwd=ROOT, stdout=log, stderr=log,
                preexec_fn=lambda: resource.setrlimit(resource.RLIMIT_NOFILE, limit),
                env={"PATH": os.environ["PATH"], "APRICOTTRACK_NODE_FILE": path})

    def fds(self):
        try:
            return len(os.listdir(f"/proc/{self.process.pid}/fd"))
        except OSError:
            return 0

    def memory(self):
        try:
            with open(f"/proc/{self.process.pid}/status") as file:
                for line in file:
                    if line.startswith("VmRSS"):
                        return int(line.split()[1]) / 1024
        except OSError:
            pass
        return 0.0

    async def supervise(self):
        peak = 0
        while self.keep_running:
            await asyncio.sleep(0.01)
            memory = self.memory()
            peak = max(peak, memory)
            if memory > self.memory_mb:
                self.process.kill()
            if self.process.poll() is None:
                continue
            self.process.wait()
            why = "memory" if peak > self.memory_mb else "by itself"
            self.deaths.append((now(), why))
            self.world.record.add("node_ended", node=self.name, why=why,
                                  code=self.process.returncode, peak_mb=round(peak))
            await asyncio.sleep(1.0)
            if self.keep_running:
                self.start()
                peak = 0

    async def is_ready(self):
        try:
            status, _, _ = await asyncio.wait_for(call(self.ready, "GET", "/ready", {}), 1)
            return status == 200
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            return False


async def call(address, method, path, headers, body=b""):
    """One request on a new connection; returns status, headers and body."""
    ip, port = address.split(":")
    reader, writer = await asyncio.open_connection(ip, int(port), limit=2**20)
    try:
        lines = [f"{method} {path} HTTP/1.1"] + [f"{n}: {v}" for n, v in headers.items()]
        if body or method == "POST":
            lines.append(f"Content-Length: {len(body)}")
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
        line, answer = await Http.head(reader)
        return int(line.split()[1]), answer, await Http.body(reader, answer)
    finally:
        writer.close()


async def stream_client(world, results, ends, path="/stream/sheet", model="m0"):
    """Asks for streams on a kept connection; waits for 8 s between two events.
    Appends a row for each: attempt, status, end, whether the connection had
    carried a request before, and whether the answer was complete."""
    await asyncio.sleep(random.random() * 2)
    connection, kept = None, False
    while now() < ends:
        attempt = world.attempt()
        if connection is None:
            node = random.choice(world.nodes)
        status, events, complete, headers = 0, 0, False, {}
        try:
            if connection is None:
                ip, port = node.client.split(":")
                connection, kept = await asyncio.open_connection(ip, int(port)), False
            reader, writer = connection
            writer.write((f"POST {path} HTTP/1.1\r\nHost: {HOST}\r\n"
                          f"Request-Attempt-Id: {attempt}\r\nDeadline-Ms: 12000\r\n"
                          f"Model: {model}\r\nToken-Count: 700,200\r\nContent-Length: 2\r\n"
                          f"Prompt-Prefix: {random.getrandbits(32):08x}:700\r\n"
                          f"Authorization: Token {KEY}\r\n\r\nhi").encode())
            line, headers = await asyncio.wait_for(Http.head(reader), 12)
            status = int(line.split()[1])
            if "chunked" in headers.get("transfer-encoding", ""):
                while not complete:
                    size = int((await asyncio.wait_for(reader.readline(), 8)) or b"x", 16)
                    part = await reader.readexactly(size + 2)
                    events += part.count(b"id: ")
                    complete = size == 0
            else:
                await Http.body(reader, headers)
            end = "answered"
        except asyncio.TimeoutError:
            end = "client left"
        except (OSError, ValueError, asyncio.IncompleteReadError):
            end = "closed"
        results.append((attempt, status, end, kept, complete))
        world.record.add("answer", attempt=attempt, node=node.name, status=status, kept=kept,
                         events=events, complete=complete, end=end)
        kept = True
        if end != "answered" or headers.get("connection", "").lower() == "close":
            if connection:
                connection[1].close()
            connection = None
        await asyncio.sleep(random.uniform(0.1, 0.4))


def open_heads(runners):
    return [r for r in runners if r.group and r.group["state"] == "open"]


async def wait_for_groups(runners, count):
    ends = now() + 25
    while len(open_heads(runners)) < count:
        if now() > ends:
            raise RuntimeError("no groups were formed")
        await asyncio.sleep(0.1)


def lost_streams(world, results):
    """The attempts of kept connections that a runner ran and whose connection
    ended before their answer, with that runner."""
    ran = {line["attempt"]: line["runner"] for line in world.record.lines
           if line["what"] == "run"}
    lost = {r[0]: ran[r[0]] for r in results if r[2] == "closed" and r[3] and r[0] in ran}
    counts = {"streams": len(results), "complete": sum(1 for r in results if r[4]),
              "lost": len(lost), "left": sum(1 for r in results if r[2] == "client left"),
              "refused": sum(1 for r in results if r[1] >= 400)}
    world.record.add("counts", **counts)
    print(counts)
    return lost


class World:
    """A small deployment and the record of one run."""

    def __init__(self, folder):
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.record = Record(folder)
        self.nodes, self.runners, self.tasks = [], [], []
        self.store = Store()
        self.attempts = itertools.count(1)
        # Descriptors of a process on a machine of the site.
        self.max_fds = 4200

    def task(self, work):
        self.tasks.append(asyncio.ensure_future(work))
        return self.tasks[-1]

    async def start(self, config, nodes, runners):
        await self.store.listen("127.0.0.1")
        self.task(self.store.expire_always())
        self.store.put("op/config", config)
        for runner in runners:
            await runner.listen("127.0.0.1")
            self.runners.append(runner)
            self.task(runner.beat_always())
        for index in range(nodes):
            node = Node(self, index)
            self.nodes.append(node)
            node.start()
            self.task(node.supervise())
        ends = now() + 30
        while now() < ends:
            if all([await node.is_ready() for node in self.nodes]):
                return
            await asyncio.sleep(0.1)
        raise RuntimeError("the nodes were not ready within 30 s")

    def attempt(self):
        return f"{next(self.attempts):016x}"

    async def stop(self):
        for node in self.nodes:
            node.keep_running = False
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        for node in self.nodes:
            if node.process and node.process.poll() is None:
                node.process.send_signal(signal.SIGCONT)
                node.process.kill()
            if node.process:
                node.process.wait()
        ended = []
        for listener in [self.store, *self.runners]:
            ended += listener.tasks
            listener.close()
        await asyncio.gather(*ended, return_exceptions=True)
        await asyncio.sleep(0.1)


def route(name, prefix, kind, service, **more):
    return {"name": name, "host": HOST, "prefix": prefix, "kind": kind, "service": service,
            "timeout_ms": 2500, "target_latency_ms": 150, "priority": 1, "attempts": 2,
            "public": False, "sticky": False, "resumable": False, **more}


def configuration(routes, services, version=1, keys=(KEY,)):
    return {"version": version, "routes": routes, "services": services,
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304,
                       "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
            "tenants": [{"name": "hule930", "api_keys": list(keys), "priority": 1}]}


def plain_service(name):
    return {"name": name, "health_path": "/healthz", "max_connections": 96,
            "protocol": "h1", "tls": False}


def run(case):
    """Runs a case: `case(world)` returns None if the rule held, else a text."""
    folder = os.path.dirname(os.path.abspath(sys.argv[0]))
    if not os.access(DAEMON, os.X_OK):
        print("target/apricottrackd is missing: run the build of the deploy file")
        sys.exit(2)

    async def whole():
        world = World(folder)
        try:
            return await asyncio.wait_for(case(world), 112), world
        finally:
            await world.stop()
            if os.environ.get("SHOW_LOGS"):
                print(world.folder)
            else:
                shutil.rmtree(world.folder, ignore_errors=True)

    loop = asyncio.new_event_loop()
    asyncio.set_event_loop(loop)
    try:
        broken, world = loop.run_until_complete(whole())
        world.record.add("result", broken=broken)
        print(f"TROUBLE={int(TROUBLE)}:", broken or "the rule held")
        code = 1 if broken else 0
    except Exception as error:
        print("the case could not run:", repr(error))
        code = 2
    sys.stdout.flush()
    # Connections that are still open need no orderly end.
    os._exit(code)
