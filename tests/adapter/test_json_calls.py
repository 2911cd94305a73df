import unittest

from fuchsiahatch_adapter.node_settings import parse_address
from fuchsiahatch_adapter.store import StoreClient
from fuchsiahatch_core.clock import Clock
from fuchsiahatch_core.codes import Code
from fuchsiahatch_core.exceptions import AmbiguousWriteError, UnansweredReadError
from fuchsiahatch_http1.client import ConnectionPool
from fuchsiahatch_standins.fleet_store import FleetStore
from tests.loopback import run


class Access:
    """How a client reaches the stand-in."""

    def __init__(self, port):
        self.address = parse_address(f"127.0.0.1:{port}")


class Served:
    """The stand-in of the store with a client, for the time of a context."""

    async def __aenter__(self):
        self.store = FleetStore()
        port = await self.store.listen()
        self.client = StoreClient(Access(port), ConnectionPool(Clock()))
        return self

    async def __aexit__(self, *exc_info):
        await self.store.close()


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
