"""Members of groups drain, one after the other, as in a planned scale-in."""

import asyncio
import os
import random
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "../lib"))
from standins import (TROUBLE, Engine, configuration, engine_service, lost_streams, now,
                      open_heads, route, run, stream_client, wait_for_groups)


async def case(world):
    runners = [Engine(world.store, world.record, f"i-{n:08x}", "advisor",
                      ["ie-south-a", "ie-south-b", "ie-south-c"][n // 5],
                      domain=f"d{n // 5}", stream_s=5.0) for n in range(15)]
    config = configuration(
        [route("sheet", "/stream/", "streaming", "advisor", timeout_ms=12000,
               target_latency_ms=2000, gap_aim_ms=1000)],
        [engine_service("advisor", [("m0", 2, 1.0, 0.3, 1.0)])])
    await world.start(config, 3, runners)
    await wait_for_groups(runners, 4)
    await asyncio.sleep(4)
    ends, results = now() + 40, []
    clients = [world.task(stream_client(world, results, ends)) for _ in range(60)]
    await asyncio.sleep(8)
    drained = set()
    for _ in range(2):
        head = random.choice([r for r in open_heads(runners) if r.active >= 6
                              and r.domain not in drained])
        if TROUBLE:
            drained.add(head.domain)
            world.task(Engine.all[head.list[1]].drain())
        await asyncio.sleep(12)
    await asyncio.gather(*clients)
    lost = lost_streams(world, results)
    if len(lost) > 3:
        return (f"LOST: {len(lost)} streams from kept connections, passed on to sound runners, "
                f"were closed before their end while other members of their groups drained")
    return None


run(case)
