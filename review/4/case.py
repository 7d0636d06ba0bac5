"""The heads of groups fall silent for a second, one after the other, and go on."""

import asyncio
import os
import random
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "../lib"))
from standins import (TROUBLE, Engine, configuration, engine_service, lost_streams, now,
                      open_heads, route, run, stream_client, wait_for_groups)

SILENCE_S = 1.0


async def case(world):
    runners = [Engine(world.store, world.record, f"i-{n:08x}", "advisor",
                      ["ie-south-a", "ie-south-b", "ie-south-c"][n // 5],
                      domain=f"d{n // 5}", stream_s=3.0) for n in range(15)]
    config = configuration(
        [route("sheet", "/stream/", "streaming", "advisor", timeout_ms=12000,
               target_latency_ms=2000, gap_aim_ms=1000)],
        [engine_service("advisor", [("m0", 2, 1.0, 0.3, 1.0)])])
    await world.start(config, 3, runners)
    await wait_for_groups(runners, 4)
    await asyncio.sleep(4)
    ends, results = now() + 35, []
    clients = [world.task(stream_client(world, results, ends)) for _ in range(40)]
    await asyncio.sleep(8)
    silenced = set()
    for _ in range(4):
        head = random.choice([r for r in open_heads(runners) if r.active])
        if TROUBLE:
            silenced.add(head.id)
            await head.silence(SILENCE_S)
        await asyncio.sleep(6)
    await asyncio.gather(*clients)
    lost = lost_streams(world, results)
    if len(lost) > 3:
        by_silent = sum(1 for runner in lost.values() if runner in silenced)
        return (f"LOST: {len(lost)} streams from kept connections, passed on to sound runners, "
                f"were closed before their end, {by_silent} of them of runners that had been "
                f"silent for {SILENCE_S} s")
    return None


run(case)
