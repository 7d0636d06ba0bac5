"""A prompt part that crashes runners appears together with a new shared part that
sound requests use, too."""

import asyncio
import os
import random
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "../lib"))
from standins import (HOST, KEY, TROUBLE, Engine, Http, configuration, engine_service, now,
                      route, run, wait_for_groups)

FIRST, OLD, NEW, DEADLY = "aa000001", "bb000001", "bb000002", "dd000001"
SOUND_PER_S, DEADLY_PER_S, CONTACT_S = 15.0, 1.5, 3.0


async def ask(world, kind, parts):
    attempt = world.attempt()
    node = random.choice(world.nodes)
    prefix = ",".join([f"{part}:40" for part in parts] + [f"{random.getrandbits(32):08x}:600"])
    world.record.add("sent", attempt=attempt, kind=kind, prefix=prefix)
    status, complete = 0, False
    try:
        ip, port = node.client.split(":")
        reader, writer = await asyncio.open_connection(ip, int(port))
        writer.write((f"POST /stream/sheet HTTP/1.1\r\nHost: {HOST}\r\n"
                      f"Request-Attempt-Id: {attempt}\r\nDeadline-Ms: 8000\r\n"
                      f"Model: m0\r\nToken-Count: 700,200\r\nPrompt-Prefix: {prefix}\r\n"
                      f"Content-Length: 2\r\nAuthorization: Token {KEY}\r\n\r\nhi").encode())
        line, headers = await asyncio.wait_for(Http.head(reader), 9)
        status = int(line.split()[1])
        while status == 200 and not complete:
            size = int((await asyncio.wait_for(reader.readline(), 4)) or b"x", 16)
            await reader.readexactly(size + 2)
            complete = size == 0
    except (OSError, ValueError, asyncio.IncompleteReadError, asyncio.TimeoutError):
        pass
    finally:
        if "writer" in locals():
            writer.close()
    world.record.add("answer", attempt=attempt, kind=kind, status=status, complete=complete)


async def dies(runner, attempt, headers, writer):
    """Each runner that begins to write an answer on the part crashes."""
    if DEADLY not in headers.get("prompt-prefix", ""):
        return False
    await asyncio.sleep(0.05)
    runner.world.task(runner.crash(3.0))
    return True


async def case(world):
    runners = [Engine(world.store, world.record, f"i-{n:08x}", "advisor",
                      ["ie-south-a", "ie-south-b", "ie-south-c"][n // 8],
                      domain=f"d{n // 8}", stream_s=2.5) for n in range(24)]
    for runner in runners:
        runner.world, runner.misbehave = world, dies
    config = configuration(
        [route("sheet", "/stream/", "streaming", "advisor", timeout_ms=8000,
               target_latency_ms=300, gap_aim_ms=300, resumable=True)],
        [engine_service("advisor", [("m0", 2, 1.0, 0.3, 1.0)])])
    await world.start(config, 3, runners)
    await wait_for_groups(runners, 8)
    await asyncio.sleep(4)

    async def send(kind, per_s, until, parts):
        while now() < until:
            world.task(ask(world, kind, parts))
            await asyncio.sleep(random.uniform(0.8, 1.2) / per_s)
    before = now()
    await send("before", SOUND_PER_S, before + 10, [FIRST, OLD])
    start = now()
    if TROUBLE:
        world.task(send("deadly", DEADLY_PER_S, start + 30, [FIRST, DEADLY, NEW]))
    await send("after", SOUND_PER_S, start + 30, [FIRST, NEW])
    await asyncio.sleep(6)
    crashes = [line["t"] for line in world.record.lines if line["what"] == "crash"]
    ran = {line["attempt"] for line in world.record.lines if line["what"] == "run"}
    counted_from = (crashes[:5] or [start - world.record.start])[-1] + 2 * CONTACT_S
    sent = {kind: [line for line in world.record.lines if line["what"] == "sent"
                   and line["kind"] == kind] for kind in ("before", "after")}
    sent["after"] = [line for line in sent["after"] if line["t"] > counted_from]
    begun = {kind: sum(1 for line in rows if line["attempt"] in ran)
             for kind, rows in sent.items()}
    shares = {kind: begun[kind] / max(1, len(rows)) for kind, rows in sent.items()}
    counts = {"crashes": len(crashes), "sent": {k: len(v) for k, v in sent.items()},
              "begun": begun}
    world.record.add("counts", **counts)
    print(counts)
    if min(len(rows) for rows in sent.values()) < 20:
        raise RuntimeError("too few requests")
    if shares["after"] < shares["before"] / 2:
        return (f"LOST: {shares['after']:.2f} of the sound requests with the same key and first "
                f"part began at the first attempt, {shares['before']:.2f} before")
    return None


run(case)
