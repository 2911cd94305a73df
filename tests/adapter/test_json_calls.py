import asyncio
import contextlib
import unittest
from unittest import mock

from fuchsiahatch_adapter import json_calls
from fuchsiahatch_adapter.json_calls import STALL_TIMEOUT_MS, JsonCaller
from fuchsiahatch_adapter.node_settings import StoreAccess, parse_address
from fuchsiahatch_adapter.store import CALL_TIMEOUT_MS, RangeRead, StoreClient
from fuchsiahatch_core.clock import Clock
from fuchsiahatch_core.codes import Code
from fuchsiahatch_core.exceptions import (
    AmbiguousWriteError,
    UnansweredReadError,
    UnsentError,
)
from fuchsiahatch_http1.pool import ConnectionPool
from fuchsiahatch_standins.fleet_store import PAGE_ITEMS, FleetStore
from fuchsiahatch_standins.scripted_upstream import ScriptedUpstream
from tests.loopback import LOOP, run


class Served:
    """Context manager with a simulated store and a client of it."""

    async def __aenter__(self):
        self.store = FleetStore()
        port = await self.store.listen()
        access = StoreAccess(parse_address(f"127.0.0.1:{port}"), 1_000, 20_000)
        self.client = StoreClient(access, ConnectionPool(Clock()))
        return self

    async def __aexit__(self, *exc_info):
        await self.store.close()

    async def restore(self, copy):
        """Restore the store from a copy, and have the client receive the new era."""
        self.store.restore(copy)
        # Wait until the client's idle connections are reset.
        await asyncio.sleep(0.02)
        await self.client.ping()


class TestUnanswered(unittest.TestCase):
    def test_an_unanswered_read_reports_how_much_was_received(self):
        # Operators couldn't tell a read that was cut off midway from a write that the
        # store hadn't answered.
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

    def test_an_unanswered_write_is_ambiguous(self):
        async def write():
            async with Served() as served:
                served.store.faults.lose_writes = True
                with self.assertRaises(AmbiguousWriteError) as caught:
                    await served.client.put("a", b"x")
                return caught.exception

        self.assertIn("no answer", run(write()).detail)

    def test_a_write_whose_answer_was_closed_before_its_body_is_ambiguous(self):
        async def close_without_body(request, wire):
            await wire.raw(b"HTTP/1.1 200 OK\r\n\r\n")
            wire.close()

        async def write():
            server = ScriptedUpstream(close_without_body)
            address = parse_address(f"127.0.0.1:{await server.listen()}")
            client = StoreClient(
                StoreAccess(address, 1_000, 20_000), ConnectionPool(Clock())
            )
            with self.assertRaises(AmbiguousWriteError):
                await client.put("a", b"x")
            await server.close()

        run(write())


class TestCounts(unittest.TestCase):
    def test_calls_are_counted_by_operation_and_prefix(self):
        # Calls are the largest cost of a busy day; without counters by operation, it
        # couldn't be told which ones.
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
    """Answers whose size grows with the deployment complete on slow links.

    A configuration of half a megabyte over a link of 4 Mbit/s takes longer than a
    call's 0.8 s. Agents cut the answer off and requested it again from the start, for
    ever.
    """

    def test_an_answer_that_makes_progress_may_exceed_the_timeout(self):
        async def read():
            async with Served() as served:
                served.store.put("a", b"x" * 75_000)
                served.store.faults.bytes_per_s = 50_000
                started_s = LOOP.time()
                item = await served.client.get("a")
                return len(item.value), LOOP.time() - started_s

        size, took_s = run(read())
        self.assertEqual(size, 75_000)
        self.assertGreater(took_s, 2 * CALL_TIMEOUT_MS / 1000)

    def test_an_answer_that_stalls_is_abandoned_after_the_stall_timeout(self):
        async def read():
            async with Served() as served:
                served.store.put("a", b"x" * 75_000)
                served.store.faults.silent_behind_bytes = 8_192
                started_s = LOOP.time()
                with self.assertRaises(UnansweredReadError):
                    await served.client.get("a")
                return LOOP.time() - started_s

        self.assertLess(run(read()), 2 * STALL_TIMEOUT_MS / 1000)

    def test_an_endless_answer_is_abandoned(self):
        async def read():
            async with Served() as served:
                served.store.put("a", b"x" * 600_000)
                served.store.faults.bytes_per_s = 50_000
                with mock.patch.object(json_calls, "MAX_ANSWER_MS", 1_000):
                    with self.assertRaises(UnansweredReadError):
                        await served.client.get("a")

        run(read())

    def test_an_answer_that_goes_on_without_end_does_not_fill_the_memory(self):
        sent = []

        async def endless(request, wire):
            await wire.raw(b"HTTP/1.1 200 OK\r\n\r\n")
            with contextlib.suppress(asyncio.CancelledError):
                for _ in range(1_500):
                    await wire.raw(b" " * 65_536)
                    sent.append(65_536)

        async def read():
            server = ScriptedUpstream(endless)
            address = parse_address(f"127.0.0.1:{await server.listen()}")
            caller = JsonCaller(address, ConnectionPool(Clock()), max_bytes=1_000_000)
            with self.assertRaises(UnansweredReadError) as caught:
                await caller.call("read", b"GET", b"/", None, 1_000)
            await server.close()
            return caught.exception.detail

        self.assertIn("longer than 1000000 bytes", run(read()))
        self.assertLess(sum(sent), 40_000_000)

    def test_a_read_of_many_pages_resumes_at_the_failed_page(self):
        # On a link that loses one call in five, a starting process never reads all
        # twelve pages of a fleet in a row: a read that starts over never completes.
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

        result, failures, calls = run(read())
        self.assertEqual(len(result.items), 12 * PAGE_ITEMS)
        self.assertEqual(len({item.key for item in result.items}), 12 * PAGE_ITEMS)
        self.assertGreaterEqual(failures, 2)
        self.assertLessEqual(len(calls), 12 + failures)
