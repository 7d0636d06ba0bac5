"""A planned stop on the prepared platform whose node is delayed at its end."""

import asyncio
import os
import shutil
import signal
import sys
import tempfile
import unittest

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "../.."))
sys.path.insert(0, os.path.join(ROOT, "review", "lib"))

import standins

CALLERS = 10
# When the grace period of the stand-ins' settings ends.
GRACE_S = 8.0


async def stop_with_open_requests(world):
    """Stops a node that is paused where its requests must end. Returns the statuses
    that the callers got, 0 for none, and the node's exit code."""
    target = standins.Runner(
        world.store, world.record, "i-b0000001", "booking", "ie-south-a", work_s=20
    )
    routes = [
        standins.route("book", "/book/", "non_idempotent", "booking", timeout_ms=9000)
    ]
    services = [standins.plain_service("booking")]
    await world.start(standins.configuration(routes, services), 1, [target])
    node = world.nodes[0]
    headers = {
        "Host": standins.HOST,
        "Deadline-Ms": "9000",
        "Authorization": "Token " + standins.KEY,
    }

    async def book():
        attempt = {"Request-Attempt-Id": world.attempt()}
        try:
            answer = await standins.call(
                node.client, "POST", "/book/1", {**headers, **attempt}, b"x"
            )
            return answer[0]
        except (OSError, asyncio.IncompleteReadError):
            return 0

    calls = [asyncio.ensure_future(book()) for _ in range(CALLERS)]
    await asyncio.sleep(1)
    node.keep_running = False
    process = node.process
    process.send_signal(signal.SIGTERM)
    started = standins.now()
    await asyncio.sleep(GRACE_S - 0.7)
    process.send_signal(signal.SIGSTOP)
    await asyncio.sleep(0.4)
    process.send_signal(signal.SIGCONT)
    while process.poll() is None and standins.now() < started + GRACE_S:
        await asyncio.sleep(0.02)
    code = process.poll()
    if code is None:
        process.kill()
    return await asyncio.gather(*calls), code


class DelayedStopTest(unittest.TestCase):
    def test_callers_get_a_response_from_a_node_that_is_delayed_at_its_end(self):
        standins.DAEMON = os.path.join(os.environ["BUILD_DIR"], "apricottrackd")

        async def run():
            with tempfile.TemporaryDirectory() as folder:
                world = standins.World(folder)
                try:
                    return await stop_with_open_requests(world)
                finally:
                    await world.stop()
                    shutil.rmtree(world.folder, ignore_errors=True)

        statuses, code = asyncio.run(run())
        self.assertEqual(statuses, [504] * CALLERS)
        self.assertEqual(code, 0)


if __name__ == "__main__":
    unittest.main()
