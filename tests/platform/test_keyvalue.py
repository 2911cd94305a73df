import asyncio
import contextlib
import random
import unittest
import unittest.mock

from fuchsiahatch_core.clock import ManualClock
from fuchsiahatch_core.exceptions import (
    AmbiguousWriteError,
    PlatformError,
    UnsentError,
)
from fuchsiahatch_platform import keyvalue
from fuchsiahatch_platform.budget import CallBudget
from fuchsiahatch_platform.http import HttpCaller
from fuchsiahatch_platform.keyvalue import ABSENT, READ_TRIES, KeyValueClient
from fuchsiahatch_standins.keyvalue import Faults, Store, make_app
from tests.loopback import Served, run


class KeyValueCase(unittest.TestCase):
    def setUp(self):
        self.clock = ManualClock()
        self.store = Store(self.clock)
        self.faults = Faults()
        self.pauses = []

    def session(self, work):
        async def go():
            caller = HttpCaller(timeout_ms=2_000)
            async with Served(make_app(self.store, self.faults)) as address:
                await work(self.client(address, caller))
                await caller.close()

        run(go())

    def client(self, address, caller):
        async def pause(seconds):
            self.pauses.append(seconds)

        budget = CallBudget(self.clock, burst=100)
        url = f"http://{address}"
        return KeyValueClient(url, caller, budget, random.Random(1), pause)


class TestSwap(KeyValueCase):
    def test_only_the_version_that_was_read_is_replaced(self):
        async def work(client):
            self.assertTrue(await client.create("k", b"1"))
            self.assertFalse(await client.create("k", b"2"))
            read = await client.get("k")
            self.assertTrue(await client.swap("k", b"3", read.mod_revision))
            self.assertFalse(await client.swap("k", b"4", read.mod_revision))
            self.assertEqual((await client.get("k")).value, b"3")

        self.session(work)

    def test_a_lost_answer_is_ambiguous_and_is_not_repeated(self):
        """An operator's write takes effect and its answer is lost.

        A client that repeats it by itself would see its own write as another's
        and report a conflict for a change that landed.
        """

        async def work(client):
            self.faults.lose_answers = 1
            with self.assertRaises(AmbiguousWriteError):
                await client.create("k", b"1")
            self.assertEqual(client.budget.calls["swap"], 1)
            self.assertEqual((await client.get("k")).value, b"1")

        self.session(work)

    def test_a_write_that_met_no_service_had_no_effect(self):
        async def go():
            client = self.client("127.0.0.1:1", HttpCaller(200))
            with self.assertRaises(UnsentError):
                await client.create("k", b"1")

        run(go())


class TestReads(KeyValueCase):
    def test_bounded_repeats_with_jitter(self):
        async def work(client):
            self.faults.down = True
            with self.assertRaises(PlatformError):
                await client.get("k")
            self.assertEqual(self.faults.calls, READ_TRIES)
            self.assertEqual(client.budget.calls["range"], READ_TRIES)
            self.assertEqual(len(set(self.pauses)), READ_TRIES - 1)

        self.session(work)

    def test_a_confirmation_is_asked_once(self):
        async def work(client):
            self.faults.down = True
            with self.assertRaises(PlatformError):
                await client.get_changed({"k": -1})
            self.assertEqual((self.faults.calls, self.pauses), (1, []))

        self.session(work)

    def test_unchanged_values_are_not_sent(self):
        async def work(client):
            await client.create("a", b"x" * 10_000)
            first = await client.get_changed({"a": -1, "b": -1})
            self.assertEqual(first["b"], ABSENT)
            known = {key: found.mod_revision for key, found in first.items()}
            before = self.faults.sent_bytes
            self.assertEqual(await client.get_changed(known), {})
            self.assertLess(self.faults.sent_bytes - before, 200)
            await client.create("b", b"2")
            again = await client.get_changed(known)
            self.assertEqual(again["b"].value, b"2")

        self.session(work)


class TestLeases(KeyValueCase):
    def test_a_key_lapses_with_its_lease(self):
        async def work(client):
            lease_id = await client.grant_lease(2_500)
            await client.create("k", b"1", lease_id)
            self.clock.advance(2_000)
            self.assertEqual(await client.keep_alive(lease_id), 3_000)
            self.clock.advance(2_999)
            self.assertEqual((await client.get("k")).value, b"1")
            self.clock.advance(1)
            self.assertEqual(await client.get("k"), ABSENT)
            self.assertEqual(await client.keep_alive(lease_id), 0)

        self.session(work)

    def test_revoke_ends_it_at_once(self):
        async def work(client):
            lease_id = await client.grant_lease(60_000)
            await client.create("k", b"1", lease_id)
            await client.revoke_lease(lease_id)
            self.assertEqual(await client.get("k"), ABSENT)

        self.session(work)


class TestWatch(KeyValueCase):
    def test_goes_on_after_a_cut_with_no_gap(self):
        """The service goes away for a moment while a record is changed.

        A watch that goes on from the present revision after the cut would never
        deliver that change, and the old record would stay in force.
        """

        async def work(client):
            async with contextlib.aclosing(client.watch("k")) as values:
                self.assertEqual(await anext(values), ABSENT)
                await client.create("k", b"1")
                self.assertEqual((await anext(values)).value, b"1")
                await self.cut_watches(client)
                self.store.restore(*kept("k", b"2"))
                self.store.restore(*kept("k", b"3"))
                self.assertEqual((await anext(values)).value, b"2")
                self.assertEqual((await anext(values)).value, b"3")

        self.session(work)

    def test_reads_anew_when_its_place_was_compacted(self):
        async def work(client):
            async with contextlib.aclosing(client.watch("k")) as values:
                await anext(values)
                await client.create("k", b"1")
                await anext(values)
                await self.cut_watches(client)
                for value in (b"2", b"3"):
                    self.store.restore(*kept("k", value))
                self.store.compact(3)
                self.assertEqual((await anext(values)).value, b"3")

        self.session(work)

    def test_is_opened_anew_after_long_silence(self):
        """The service's host loses its power and comes back under its address.

        The watch on the old connection hears nothing, not even its end; without
        a limit it would never hear of a change again.
        """

        async def work(client):
            async with contextlib.aclosing(client.watch("k")) as values:
                await anext(values)
                waiting = asyncio.ensure_future(anext(values))
                while client.budget.calls["watch"] < 3:
                    await asyncio.sleep(0)
                self.store.restore(*kept("k", b"1"))
                self.assertEqual((await waiting).value, b"1")

        with unittest.mock.patch.object(keyvalue, "WATCH_IDLE_MS", 20):
            self.session(work)

    def test_is_counted_while_it_waits(self):
        async def work(client):
            async with contextlib.aclosing(client.watch("k")) as values:
                await anext(values)
                await client.create("k", b"1")
                await anext(values)
                self.assertEqual(client.budget.waiting, 1)
                self.assertEqual(self.store.watching, 1)
            self.assertEqual(client.budget.waiting, 0)

        self.session(work)

    async def cut_watches(self, client):
        caller = HttpCaller(2_000)
        url = client._url + "/faults"
        await caller.call("PUT", url, {"down": True})
        await caller.call("PUT", url, {"down": False})
        await caller.close()


def kept(key, value):
    import base64

    return base64.b64encode(key.encode()).decode(), base64.b64encode(value).decode()
