import asyncio
import time
import unittest

from fuchsiahatch_standins.fleet_store import make_upstream_entry
from tests.gateway.sites import (
    Reply,
    answers,
    make_configuration,
    until,
    upstream,
)
from tests.loopback import run
from tests.processes.test_gateway import EntryProcess, ask_front

#: Time within which registrations are back, as the platform says.
BACK_S = 2.0
#: Time for which the store is away in the drill.
AWAY_S = 0.5
#: Answers of one of two upstreams in a row that show that the other gets nothing more.
KEPT_IN_A_ROW = 14


class TestEntryThroughARestore(unittest.TestCase):
    """An entry of its own goes on through the store's return from an older copy.

    The store goes away for half a second and comes back from a copy made before an
    upstream began to leave, a key was revoked and a route was dropped. Callers with the
    old key are served again, and requests go to the upstream that leaves.
    """

    def test_nothing_that_was_in_force_is_taken_back(self):
        async def play():
            async with EntryProcess(*[answers()] * 40) as entry:
                store = entry.store
                kept = upstream(*[answers(body=b"kept")] * 40)
                port = await kept.listen()
                address = f"127.0.0.1:{port}"
                store.put(
                    "servers/i-2", make_upstream_entry("svc", address, zone="kl-a")
                )
                await self.ask_until(lambda reply: reply.body == b"kept")
                copy = store.copy()
                leaving = store.get("servers/i-1").replace(b'"ready"', b'"draining"')
                store.put("servers/i-1", leaving)
                store.put("op/config", make_configuration(2, keys=("new",)))
                await self.ask_until(lambda reply: reply.status == 401)
                await self.until_one_is_left()
                store.faults.status = 503
                await asyncio.sleep(AWAY_S)
                store.faults.status = 0
                store.restore(copy)
                began = time.monotonic()
                await until(lambda: store.keys("fuchsiahatch-entries/"), BACK_S)
                back_s = time.monotonic() - began
                statuses, bodies = set(), set()
                while time.monotonic() - began < 2 * BACK_S:
                    statuses.add((await self.ask("key-of-team-a")).status)
                    bodies.add((await self.ask("new")).body)
                store.put("op/config", make_configuration(3, keys=("newest",)))
                await self.ask_until(lambda reply: reply.status == 200, "newest")
                await kept.close()
                entry.process.kill()
                _, events = await entry.end()
                return back_s, statuses, bodies, events

        back_s, statuses, bodies, events = run(play())
        self.assertIn("upstream_leaving", events)
        self.assertLess(back_s, BACK_S)
        self.assertEqual(statuses, {401})
        self.assertEqual(bodies, {b"kept"})

    async def until_one_is_left(self):
        """Wait until the entry has heard that an upstream leaves, by what it does."""
        kept = 0
        for _ in range(200):
            kept = kept + 1 if (await self.ask("new")).body == b"kept" else 0
            if kept == KEPT_IN_A_ROW:
                return
        raise AssertionError("requests go on to the upstream that leaves")

    async def ask(self, key="key-of-team-a"):
        self.asked = getattr(self, "asked", 0) + 1
        reader, writer = await ask_front(
            "/safe/", request_id=f"q-{self.asked}", key=key
        )
        reply = Reply(await reader.read(-1))
        writer.close()
        await asyncio.sleep(0.05)
        return reply

    async def ask_until(self, holds, key="key-of-team-a"):
        for _ in range(60):
            if holds(await self.ask(key)):
                return
        raise AssertionError("it did not come about in time")
