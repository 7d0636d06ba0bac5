"""One of three runners spoils 2 in 100 of its answers: instead of a body it sends
bytes that are no answer, without end, until the caller closes."""

import asyncio
import os
import random
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "../lib"))
from standins import (HOST, KEY, TROUBLE, Http, Runner, call, configuration, now,
                      plain_service, route, run)

SHARE_SPOILED = 0.02
LINK_BYTES_PER_S = 125_000_000


async def endless(runner, attempt, headers, writer):
    if random.random() >= SHARE_SPOILED:
        return False
    runner.record.add("spoiled", runner=runner.id, attempt=attempt)
    runner.spoiled.add(attempt)
    writer.write(("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n" + "".join(
        f"{n}: {v}\r\n" for n, v in runner.headers(headers).items()) + "\r\n").encode())
    junk, sent, start = b"a" * 65536, 0, now()
    try:
        while True:
            writer.write(junk)
            await writer.drain()
            sent += len(junk)
            await asyncio.sleep(max(0, start + sent / LINK_BYTES_PER_S - now()))
    except OSError:
        pass
    runner.record.add("spoiled_end", attempt=attempt, sent=sent)
    return True


async def client(world, results, ends, number):
    """Keeps its connection and its node until the connection ends."""
    await asyncio.sleep(random.random())
    connection = None
    while now() < ends:
        attempt = world.attempt()
        if connection is None:
            node = random.choice(world.nodes)
            try:
                ip, port = node.client.split(":")
                connection = await asyncio.open_connection(ip, int(port), limit=2**20)
                kept = False
            except OSError:
                await asyncio.sleep(0.3)
                continue
        reader, writer = connection
        try:
            writer.write((f"GET /view/slots HTTP/1.1\r\nHost: {HOST}\r\n"
                          f"Request-Attempt-Id: {attempt}\r\nDeadline-Ms: 2500\r\n"
                          f"Authorization: Token {KEY}\r\n\r\n").encode())
            line, headers = await asyncio.wait_for(Http.head(reader), 4)
            await asyncio.wait_for(Http.body(reader, headers), 4)
            status = int(line.split()[1])
            if headers.get("connection", "").lower() == "close":
                connection = None
        except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError):
            status, connection = 0, None
        results.append((now(), attempt, node.name, status, kept))
        world.record.add("answer", attempt=attempt, node=node.name, status=status, kept=kept)
        kept = True
        if connection is None:
            writer.close()
        await asyncio.sleep(random.uniform(0.2, 0.6))


async def case(world):
    runners = [Runner(world.store, world.record, f"i-{n:08x}", "booking", zone, work_s=0.15)
               for n, zone in enumerate(["ie-south-a", "ie-south-b", "ie-south-c"])]
    config = configuration([route("view", "/view/", "idempotent", "booking")],
                           [plain_service("booking")])
    await world.start(config, 3, runners)
    await asyncio.sleep(3)
    runners[0].spoiled = set()
    if TROUBLE:
        runners[0].misbehave = endless
    ends, results = now() + 40, []
    await asyncio.gather(*[client(world, results, ends, n) for n in range(60)])
    ran = {line["attempt"]: line["runner"] for line in world.record.lines
           if line["what"] == "run"}
    spoiled = runners[0].spoiled
    lost = [r for r in results if r[3] == 0 and r[4] and r[1] in ran and r[1] not in spoiled]
    deaths = {node.name: len(node.deaths) for node in world.nodes}
    world.record.add("counts", requests=len(results), lost=len(lost), ended=deaths,
                     spoiled=len(spoiled))
    print("requests", len(results), "ok", sum(1 for r in results if r[3] == 200), "spoiled",
          len(spoiled), "lost", len(lost), "ended", deaths)
    if len(lost) > 3:
        return (f"LOST: {len(lost)} requests from kept connections, passed on to sound "
                f"runners, ended without an answer; processes ended {deaths}")
    return None


run(case)
