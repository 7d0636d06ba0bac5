"""A key is taken away. Later the store is away for a second and comes back from
a copy of before; a node that was killed meanwhile starts as the store returns."""

import asyncio
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "lib-3"))
from world import Runner, World, call, config, route, service  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
REVOKE_S = 5.0
AWAY_S = 1.0
# From the store's return to the operator's writing again.
WRITTEN_AGAIN_S = float(os.environ.get("WRITTEN_AGAIN_S", "0.06"))


async def main():
    world = World(FOLDER)
    record = world.record
    runners = [Runner(f"b-{index}", "booking", record) for index in range(3)]
    routes = [route("view", "/view/", "idempotent", "booking", attempts=2)]

    def catalog(version, keys):
        tenants = [{"name": "shop", "api_keys": ["key-1"]}, {"name": "left", "api_keys": keys}]
        return config(version, routes, [service("booking")], tenants=tenants)

    try:
        await world.start(catalog(7, ["key-2", "key-3"]), runners, 3)
        copy = world.store.copy()
        await asyncio.sleep(1)
        await world.store.put("op/config", catalog(11, ["key-3"]))
        acknowledged = time.monotonic()
        record("version 11 takes key-2 away: acknowledged")
        node = next(n for n in world.nodes if n is not world.planner())
        await asyncio.sleep(REVOKE_S)
        record(f"the store goes away; {node.name} is killed")
        await world.store.go_away()
        node.process.kill()
        await node.process.wait()
        await asyncio.sleep(AWAY_S)
        if TROUBLE:
            world.store.restore(copy)
        else:
            world.store.is_away = False
        record("the store is back" + (" from a copy of 6 s and more ago" if TROUBLE else ""))
        node.first_start = False
        await node.start()
        for runner in runners:
            await world.store.put(f"servers/{runner.name}", runner.entry())
        sent, tasks = {}, []

        async def ask(number):
            attempt = f"late-{number}"
            sent[attempt] = time.monotonic()
            reply = await call(node.listen, attempt, "/view/2f", method="GET", body=b"",
                               key="key-2", deadline_ms=2500, timeout=3)
            record(f"{attempt} with key-2, sent {sent[attempt] - acknowledged:.2f} s after the "
                   f"acknowledgement: {reply.status}")

        begun = time.monotonic()
        is_written = False
        for number in range(150):
            tasks.append(asyncio.create_task(ask(number)))
            await asyncio.sleep(0.02)
            if not is_written and time.monotonic() - begun >= WRITTEN_AGAIN_S:
                is_written = True
                if TROUBLE:
                    await world.store.put("op/config", catalog(11, ["key-3"]))
                record("the operator has written version 11 again")
        await asyncio.gather(*tasks)
        ran = {attempt for runner in runners for attempt in runner.runs}
        late = [a for a in sent if a in ran and sent[a] > acknowledged + REVOKE_S]
        text = (f"trouble {int(TROUBLE)}: {len(sent)} requests with the key, all sent later than "
                f"{REVOKE_S:.0f} s after its withdrawal was acknowledged; {len(late)} of them ran")
        record(text)
        print(text)
        return 1 if late else 0
    except (RuntimeError, OSError) as error:
        print(f"could not run: {error}")
        return 2
    finally:
        await world.stop()


sys.exit(asyncio.run(main()))
