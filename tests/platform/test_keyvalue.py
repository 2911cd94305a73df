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
from fuchsiahatch_platform.keyvalue import ABSENT, MAX_READ_ATTEMPTS, KeyValueClient
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
    def test_only_the_revision_that_was_read_is_replaced(self):
        async def work(client):
            self.assertTrue(await client.create("k", b"1"))
            self.assertFalse(await client.create("k", b"2"))
            read = await client.get("k")
            self.assertTrue(await client.swap("k", b"3", read.mod_revision))
            self.assertFalse(await client.swap("k", b"4", read.mod_revision))
            self.assertEqual((await client.get("k")).value, b"3")

        self.session(work)

    def test_a_lost_answer_is_ambiguous_and_is_not_retried(self):
        """An operator's write takes effect and its answer is lost.

        A client that retries it by itself would take its first write for that of
        another client, and report a conflict for a change that succeeded.
        """

        async def work(client):
            self.faults.lose_answers = 1
            with self.assertRaises(AmbiguousWriteError):
                await client.create("k", b"1")
            self.assertEqual(client.budget.calls["swap"], 1)
            self.assertEqual((await client.get("k")).value, b"1")

        self.session(work)

    def test_a_write_without_a_connection_is_unsent(self):
        async def go():
            client = self.client("127.0.0.1:1", HttpCaller(200))
            with self.assertRaises(UnsentError):
                await client.create("k", b"1")

        run(go())


class TestReads(KeyValueCase):
    def test_retries_are_bounded_and_jittered(self):
        async def work(client):
            self.faults.down = True
            with self.assertRaises(PlatformError):
                await client.get("k")
            self.assertEqual(self.faults.calls, MAX_READ_ATTEMPTS)
            self.assertEqual(client.budget.calls["range"], MAX_READ_ATTEMPTS)
            self.assertEqual(len(set(self.pauses)), MAX_READ_ATTEMPTS - 1)

        self.session(work)

    def test_a_confirmation_is_not_retried(self):
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
            known = {key: pair.mod_revision for key, pair in first.items()}
            before = self.faults.sent_bytes
            self.assertEqual(await client.get_changed(known), {})
            self.assertLess(self.faults.sent_bytes - before, 200)
            await client.create("b", b"2")
            again = await client.get_changed(known)
            self.assertEqual(again["b"].value, b"2")

        self.session(work)


class TestLeases(KeyValueCase):
    def test_a_key_expires_with_its_lease(self):
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

    def test_revoking_a_lease_removes_its_keys_at_once(self):
        async def work(client):
            lease_id = await client.grant_lease(60_000)
            await client.create("k", b"1", lease_id)
            await client.revoke_lease(lease_id)
            self.assertEqual(await client.get("k"), ABSENT)

        self.session(work)


class TestWatch(KeyValueCase):
    def test_a_watch_continues_without_a_gap_after_a_disconnect(self):
        """The service is down for a moment while a record is changed.

        A watch that continues from the current revision after the disconnect would
        never deliver that change, and the old record would stay in force.
        """

        async def work(client):
            async with contextlib.aclosing(client.watch("k")) as values:
                self.assertEqual(await anext(values), ABSENT)
                await client.create("k", b"1")
                self.assertEqual((await anext(values)).value, b"1")
                await self.cut_watches(client)
                self.store.restore(*encode_item("k", b"2"))
                self.store.restore(*encode_item("k", b"3"))
                self.assertEqual((await anext(values)).value, b"2")
                self.assertEqual((await anext(values)).value, b"3")

        self.session(work)

    def test_a_watch_reads_again_when_its_revision_was_compacted(self):
        async def work(client):
            async with contextlib.aclosing(client.watch("k")) as values:
                await anext(values)
                await client.create("k", b"1")
                await anext(values)
                await self.cut_watches(client)
                for value in (b"2", b"3"):
                    self.store.restore(*encode_item("k", value))
                self.store.compact(3)
                self.assertEqual((await anext(values)).value, b"3")

        self.session(work)

    def test_a_watch_is_reopened_after_the_idle_timeout(self):
        """The service's host loses its power and restarts with the same address.

        The watch on the old connection receives nothing, not even its end; without
        a timeout it would never receive another change.
        """

        async def work(client):
            async with contextlib.aclosing(client.watch("k")) as values:
                await anext(values)
                waiting = asyncio.ensure_future(anext(values))
                while client.budget.calls["watch"] < 3:
                    await asyncio.sleep(0)
                self.store.restore(*encode_item("k", b"1"))
                self.assertEqual((await waiting).value, b"1")

        with unittest.mock.patch.object(keyvalue, "WATCH_IDLE_TIMEOUT_MS", 20):
            self.session(work)

    def test_a_watch_is_counted_while_it_is_open(self):
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


def encode_item(key, value):
    import base64

    return base64.b64encode(key.encode()).decode(), base64.b64encode(value).decode()
