import asyncio
import os
import unittest

from fuchsiahatch_gateway.entry import Entry
from fuchsiahatch_gateway.log import LineWriter
from fuchsiahatch_gateway.process import Process
from tests.gateway.sites import make_route, make_settings, until
from tests.gateway.test_agents import Group
from tests.loopback import run

ENTRY_IP = "127.0.8.9"
#: A link of 4 Mbit/s, of which nothing else takes any.
LINK_BYTES_PER_S = 500_000
#: Routes of a configuration that takes over a second of that link.
GROWN_ROUTES = [make_route(f"/grown-{number}/", "safe") for number in range(1_700)]
#: Time in which a group must follow its demand: what is read at a start, an election,
#: and a change of map, at some seconds each.
FOLLOW_S = 12.0


class GrownSite(Group):
    """Three agents and one entry, behind a configuration of 1,700 routes."""

    async def __aenter__(self):
        await super().__aenter__()
        await self.kill_agents()
        document = self.configuration()
        document["version"] = 2
        document["routes"] = [*document["routes"], *GROWN_ROUTES]
        self.store.put("op/config", document)
        null = os.open(os.devnull, os.O_WRONLY)
        settings = make_settings(
            self.store_port,
            ip=ENTRY_IP,
            listen={"front": f"{ENTRY_IP}:28227", "ready": f"{ENTRY_IP}:28220"},
            internalPorts=[27_340, 27_355],
        )
        self._process = Process(settings, LineWriter(null, lambda: 0))
        self.entry = Entry(self._process)
        self._serving = asyncio.ensure_future(self.entry.run())
        await until(lambda: self.entry.ready)
        return self

    async def __aexit__(self, *exc_info):
        self._serving.cancel()
        self._process._tasks.cancel()
        await self.entry.callers.stop_accepting()
        await self.entry.side_calls.stop_accepting()
        if self.entry.datagrams.transport is not None:
            stopped = self.entry.datagrams.transport.stopListening()
            await stopped.asFuture(asyncio.get_running_loop())
        for server in self._process.servers:
            await server.close()
        await super().__aexit__(*exc_info)

    async def kill_agents(self):
        for rank in tuple(self.running):
            await self.kill(rank)

    def start_agents(self):
        for rank in range(3):
            self.start(rank)


class TestGrownConfiguration(unittest.TestCase):
    """Groups keep their first map for good behind a kill of all processes.

    Users see a fifth of the usual replies in time, from the kill until the next day. An
    operator has added over a thousand routes; all agents start anew and one of them
    leads. It needs a dozen figures of its engines, and reads the whole configuration
    for them: half a megabyte over a link of 4 Mbit/s, in a call of 0.8 s at most, begun
    anew for ever. Nothing is planned meanwhile.
    """

    def test_a_group_that_starts_behind_it_follows_its_demand(self):
        async def follow():
            async with GrownSite(31) as site:
                site.store.faults.bytes_per_s = LINK_BYTES_PER_S
                before = site.engines.switches
                site.start_agents()
                await until(lambda: site.engines.switches > before, FOLLOW_S)
                return site.engines.mixed

        self.assertEqual(run(follow()), [])
