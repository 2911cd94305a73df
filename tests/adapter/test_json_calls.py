import asyncio
import unittest
from unittest import mock

from fuchsiahatch_adapter import json_calls
from fuchsiahatch_adapter.json_calls import SILENCE_MS
from fuchsiahatch_adapter.node_settings import StoreAccess, parse_address
from fuchsiahatch_adapter.store import CALL_MS, RangeRead, StoreClient
from fuchsiahatch_core.clock import Clock
from fuchsiahatch_core.codes import Code
from fuchsiahatch_core.exceptions import (
    AmbiguousWriteError,
    UnansweredReadError,
    UnsentError,
)
from fuchsiahatch_http1.client import ConnectionPool
from fuchsiahatch_standins.fleet_store import PAGE_ITEMS, FleetStore
from tests.loopback import LOOP, run


class Served:
    """The stand-in of the store with a client, for the time of a context."""

    async def __aenter__(self):
        self.store = FleetStore()
        port = await self.store.listen()
        access = StoreAccess(parse_address(f"127.0.0.1:{port}"), 1_000, 20_000)
        self.client = StoreClient(access, ConnectionPool(Clock()))
        return self

    async def __aexit__(self, *exc_info):
        await self.store.close()

    async def restore(self, copy):
        """Let the store come back from a copy, and the client hear of it."""
        self.store.restore(copy)
        # The connections that it kept are reset.
        await asyncio.sleep(0.02)
        await self.client.ping()


class TestUnanswered(unittest.TestCase):
    def test_a_read_tells_how_much_had_come(self):
        # On call, a read that was cut off in its middle looked like a write that the
        # store had not answered.
        async def read():
            async with Served() as served:
                served.store.put("a", b"x" * 90_000)
                served.store.faults.silent_behind_bytes = 8_192
                with self.assertRaises(UnansweredReadError) as caught:
                    await served.client.get("a")
                return caught.exception

        fault = run(read())
        self.assertEqual(fault.result, Code.UNANSWERED_READ)
        self.assertRegex(fault.detail, r"after \d+ ms and 8192 of 120\d\d\d bytes")

    def test_a_write_may_have_been_done(self):
        async def write():
            async with Served() as served:
                served.store.faults.lose_writes = True
                with self.assertRaises(AmbiguousWriteError) as caught:
                    await served.client.put("a", b"x")
                return caught.exception

        self.assertIn("no answer", run(write()).detail)


class TestCounts(unittest.TestCase):
    def test_calls_are_counted_by_what_they_ask_for(self):
        # The dearest price of a large day is for calls, and nobody could say whose.
        async def ask():
            async with Served() as served:
                await served.client.read_all("a/")
                await served.client.read_all("b/")
                await served.client.ping()
                return served.client.calls

        calls = run(ask())
        self.assertEqual(calls["store range a/ 200"], 1)
        self.assertEqual(calls["store range b/ 200"], 1)
        self.assertEqual(calls["store key 404"], 1)


class TestLongAnswers(unittest.TestCase):
    """Answers that grow with the deployment come whole, however slow the link.

    An agent that reads a configuration of half a megabyte over a link of 4 Mbit/s had
    no whole answer within a call's 0.8 s, asked again from the start, and so for ever.
    """

    def test_an_answer_that_goes_on_is_waited_for(self):
        async def read():
            async with Served() as served:
                served.store.put("a", b"x" * 75_000)
                served.store.faults.bytes_per_s = 50_000
                began = LOOP.time()
                item = await served.client.get("a")
                return len(item.value), LOOP.time() - began

        size, took_s = run(read())
        self.assertEqual(size, 75_000)
        self.assertGreater(took_s, 2 * CALL_MS / 1000)

    def test_one_that_stops_midway_is_given_up_behind_its_silence(self):
        async def read():
            async with Served() as served:
                served.store.put("a", b"x" * 75_000)
                served.store.faults.silent_behind_bytes = 8_192
                began = LOOP.time()
                with self.assertRaises(UnansweredReadError):
                    await served.client.get("a")
                return LOOP.time() - began

        self.assertLess(run(read()), 2 * SILENCE_MS / 1000)

    def test_one_that_goes_on_for_ever_is_given_up(self):
        async def read():
            async with Served() as served:
                served.store.put("a", b"x" * 600_000)
                served.store.faults.bytes_per_s = 50_000
                with mock.patch.object(json_calls, "LONGEST_MS", 1_000):
                    with self.assertRaises(UnansweredReadError):
                        await served.client.get("a")

        run(read())

    def test_a_read_of_many_pages_goes_on_where_it_failed(self):
        # A process that starts on a link that loses one call in five never reads all
        # twelve pages of a fleet in a row, and begins anew each time.
        async def read():
            async with Served() as served:
                for number in range(12 * PAGE_ITEMS):
                    served.store.put(f"s/{number:04}", b"{}")
                reading = RangeRead(served.client, "s/")
                failures = 0
                while True:
                    served.store.faults.fail_each = 5
                    try:
                        return await reading.finish(), failures, served.store.calls
                    except UnsentError:
                        failures += 1

        found, failures, calls = run(read())
        self.assertEqual(len(found.items), 12 * PAGE_ITEMS)
        self.assertEqual(len({item.key for item in found.items}), 12 * PAGE_ITEMS)
        self.assertGreaterEqual(failures, 2)
        self.assertLessEqual(len(calls), 12 + failures)
