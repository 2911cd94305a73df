import asyncio
import os
import random
import unittest

from fuchsiahatch_adapter.store import Item
from fuchsiahatch_core.clock import ManualClock
from fuchsiahatch_gateway.defaults import LEADER_TTL_MS, SETTLED_ERA_KEY
from fuchsiahatch_gateway.leadership import Leadership
from fuchsiahatch_gateway.settled_era import SettledEra
from tests.adapter.test_json_calls import Served
from tests.gateway.sites import until
from tests.gateway.test_agents import EXPERTS, Group
from tests.loopback import run

#: Range of the groups' seeds; `SETTLED_SEEDS` sets a longer one for manual runs.
SEEDS = range(*map(int, os.environ.get("SETTLED_SEEDS", "71-73").split("-")))


class TestSettledEra(unittest.TestCase):
    def play(self, work):
        async def play():
            async with Served() as served:
                self.clock = ManualClock(1_000)
                await served.client.ping()
                return await work(served, SettledEra(served.client, self.clock))

        return run(play())

    async def read(self, served):
        return await served.client.get(SETTLED_ERA_KEY)

    def test_it_settles_by_waiting_and_is_stored_for_new_processes(self):
        async def work(served, era):
            self.assertFalse(era.settled or era.needs_write)
            self.clock.advance(LEADER_TTL_MS)
            self.assertTrue(era.settled and era.needs_write)
            await era.write()
            started = SettledEra(served.client, self.clock)
            started.receive(await self.read(served))
            self.assertTrue(started.settled)
            self.assertFalse(started.locally_settled or started.needs_write)
            era.receive(await self.read(served))
            self.assertFalse(era.needs_write)

        self.play(work)

    def test_an_item_from_an_older_copy_is_ignored(self):
        # Guards against two leaders that give orders to engines, because the item was
        # restored with the older copy.
        async def work(served, era):
            self.clock.advance(LEADER_TTL_MS)
            await era.write()
            copy = served.store.copy()
            await served.restore(copy)
            started = SettledEra(served.client, self.clock)
            started.receive(await self.read(served))
            self.assertFalse(started.settled)
            era.receive(await self.read(served))
            self.assertFalse(era.settled)
            self.clock.advance(LEADER_TTL_MS)
            self.assertTrue(era.settled)

        self.play(work)

    def test_an_item_read_before_a_restore_is_ignored_after_it(self):
        async def work(served, era):
            era.receive(Item(SETTLED_ERA_KEY, b"1", 5, 5, 1))
            self.assertTrue(era.settled)
            await served.restore(served.store.copy())
            self.assertFalse(era.settled)
            await served.restore(served.store.copy())
            self.clock.advance(LEADER_TTL_MS - 1)
            self.assertFalse(era.settled)

        self.play(work)

    def test_a_store_that_names_no_era_needs_no_wait(self):
        # Guards against a wait for the end of leases with a store that is never
        # restored: it delayed callers by another 1.5 s after each kill of all
        # processes.
        async def play():
            async with Served() as served:
                served.store.era = None
                clock = ManualClock(1_000)
                leadership = Leadership(served.client, "side-1", ("10.0.0.1", 1), clock)
                won = await leadership.try_win("g", 0, None)
                needs_write = leadership.settled_era.needs_write
                clock.advance(1)
                alone = leadership.is_sole_leader
                served.store.era = 1
                await served.client.ping()
                return won, needs_write, alone, leadership.is_sole_leader

        self.assertEqual(run(play()), (True, False, True, False))

    def test_unreadable_or_missing_items_change_nothing(self):
        async def work(served, era):
            for value in (b"{broken", b'"1"', b"1.5", b"", None):
                era.receive(Item(SETTLED_ERA_KEY, value, 5, 5, 1))
            era.receive(None)
            self.assertFalse(era.settled)
            self.assertEqual(served.client.era, 1)

        self.play(work)

    def test_writes_are_not_repeated_during_an_outage(self):
        async def work(served, era):
            self.clock.advance(LEADER_TTL_MS)
            served.store.faults.status = 503
            before = len(served.store.calls)
            for _ in range(50):
                if era.needs_write:
                    await era.write()
                self.clock.advance(20)
            self.assertEqual(len(served.store.calls) - before, 1)

        self.play(work)


class TestLeaders(unittest.TestCase):
    def test_a_process_whose_first_answer_comes_after_a_restore_waits(self):
        # It started while the store was down: the era is younger than the process.
        async def play():
            async with Served() as served:
                clock = ManualClock(1_000)
                leadership = Leadership(served.client, "side-1", ("10.0.0.1", 1), clock)
                served.client.on_restored = leadership.note_restored
                clock.advance(LEADER_TTL_MS - 1)
                served.store.era = 7
                won = await leadership.try_win("g", 0, None)
                first = leadership.is_sole_leader
                clock.advance(1)
                return won, first, leadership.is_sole_leader

        self.assertEqual(run(play()), (True, False, False))

    def test_a_group_changes_its_map_at_once_after_all_its_agents_were_killed(self):
        # Guards against another 1.5 s of late answers after each kill of all processes.
        async def play():
            async with Group(61) as group:
                await until(lambda: group.store.get(SETTLED_ERA_KEY) is not None, 10.0)
                await until(lambda: group.engines.switches >= 1, 10.0)
                ranks = tuple(group.running)
                for rank in ranks:
                    await group.kill(rank)
                group.store.end_leases()
                before = group.engines.switches
                group.engines.hot = 5
                loop = asyncio.get_running_loop()
                began_s = loop.time()
                for rank in ranks:
                    group.start(rank)
                await until(lambda: group.engines.switches > before, 10.0)
                return loop.time() - began_s, group.engines.mixed

        took_s, mixed = run(play())
        self.assertEqual(mixed, [])
        self.assertLess(took_s, LEADER_TTL_MS / 1000)

    def test_maps_agree_while_the_store_is_restored_and_agents_are_killed(self):
        for seed in SEEDS:
            with self.subTest(seed=seed):
                self.assertEqual(run(self.restore_and_kill(seed)), [])

    async def restore_and_kill(self, seed):
        rng = random.Random(seed)
        async with Group(seed) as group:
            group.engines.lost_share = group.engines.late_share = 0.1
            await until(lambda: group.engines.switches >= 1, 15.0)
            for _ in range(3):
                copy = group.store.copy()
                group.engines.hot = rng.randrange(EXPERTS)
                await asyncio.sleep(rng.uniform(0.2, 1.8))
                if rng.random() < 0.7:
                    group.store.restore(copy)
                ranks = tuple(group.running)
                dead = ranks if rng.random() < 0.5 else (group.leader() or 0,)
                for rank in dead:
                    await group.kill(rank)
                await asyncio.sleep(rng.uniform(0.0, 0.3))
                for rank in dead:
                    group.start(rank)
                if rng.random() < 0.3:
                    group.store.restore(copy)
            group.engines.lost_share = group.engines.late_share = 0.0
            before = group.engines.step
            await until(lambda: group.engines.step > before + 50, 8.0)
            return group.engines.mixed


if __name__ == "__main__":
    unittest.main()
