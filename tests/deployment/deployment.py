"""A deployment of real entries and agents with stand-ins around them."""

import asyncio
import json
import random
import signal
import socket

import msgspec

from fuchsiahatch_standins.fleet_store import FleetStore, make_upstream_entry
from fuchsiahatch_standins.platform_demo import make_settings
from tests.deployment.addresses import (
    DIRECTORY_PORT,
    FRONT_PORT,
    INTERNAL_PORTS,
    READY_PORT,
)
from tests.deployment.configurations import Operator
from tests.deployment.programs import NotRunError

START_LIMIT_S, READY_LIMIT_S = 10.0, 20.0
READY_POLL_S = 0.1
UPSTREAMS = "upstreams"


class Deployment:
    """All processes of a deployment and the store stand-in.

    Parameters
    ----------
    layout : Layout
    places : Places
    programs : Programs
    seed : int

    Attributes
    ----------
    store : FleetStore
    ports : dict of str to int
        Ports of the upstreams by name.
    """

    def __init__(self, layout, places, programs, seed):
        self.layout, self.places, self.programs = layout, places, programs
        self._seed = seed
        self.store = FleetStore()
        self._operator = Operator(layout, random.Random(f"{seed} operator"))
        self.ports = {}
        self._bootstrap = True

    async def start(self):
        """Start everything and wait until all entries are ready.

        Raises
        ------
        NotRunError
        """
        self._check_ports()
        self._store_port = await self.store.listen()
        self.configure()
        await self._start_upstreams()
        for place in self.places.engines:
            self._start_agent(place)
        for place in self.places.entries:
            self.start_entry(place)
        self._bootstrap = False
        await asyncio.gather(*map(self._until_first_ready, self.places.entries))

    async def close(self):
        """End everything that was started."""
        try:
            for place in self.places.entries:
                self.programs.signal(place.name, signal.SIGKILL)
            await self._end_upstreams()
        finally:
            await self.programs.end_all()
            await self.store.close()

    def configure(self):
        """Write the next version of the configuration."""
        self.store.put("op/config", self._operator.next_configuration())

    def command(self, **command):
        """Send a command to the upstreams' process."""
        stream = self.programs.processes[UPSTREAMS].stdin
        stream.write(json.dumps(command).encode() + b"\n")
        stream.flush()

    def register(self, place, instance, **changes):
        """Write the entry of an upstream into the store."""
        layout = self.layout
        is_engine = place in self.places.engines
        kind = layout.engines if is_engine else layout.plain_upstreams
        entry = make_upstream_entry(
            kind.service,
            f"{place.ip}:{self.ports[place.name]}",
            zone=place.zone,
            slots=kind.slots,
            **changes,
        )
        self.store.put(f"servers/{instance}", entry)

    def start_entry(self, place):
        """Start the process of an entry."""
        listen = {
            "front": f"{place.ip}:{FRONT_PORT}",
            "ready": f"{place.ip}:{READY_PORT}",
            "directory": f"{place.ip}:{DIRECTORY_PORT}",
        }
        settings = self._make_settings(place, role="entry", listen=listen)
        self.programs.start_role("entry", place.name, settings)

    def _start_agent(self, place):
        settings = self._make_settings(
            place,
            role="agent",
            app=f"{place.ip}:{self.ports[place.name]}",
            service=self.layout.engines.service,
        )
        name = f"agent-of-{place.name}"
        self.programs.start_role("agent", name, {**settings, "node": name})

    def _make_settings(self, place, **changes):
        layout = self.layout
        settings = make_settings(
            self._store_port,
            place.ip,
            node=place.name,
            zone=place.zone,
            region=layout.region,
            zones={zone.name: layout.region for zone in layout.zones},
            internalPorts=INTERNAL_PORTS,
            bootstrap=self._bootstrap,
            **changes,
        )
        settings["bounds"]["graceS"] = layout.stop_grace_s
        return settings

    async def is_ready(self, place):
        """Return whether an entry says that callers may come."""
        try:
            reader, writer = await asyncio.open_connection(place.ip, READY_PORT)
        except OSError:
            return False
        try:
            writer.write(b"GET /-/ready HTTP/1.1\r\nHost: entry\r\n\r\n")
            return b" 200 " in await reader.readline()
        except OSError:
            return False
        finally:
            writer.close()

    async def until_ready(self, place, limit_s=READY_LIMIT_S):
        """Wait until an entry is ready; return whether it came in time."""
        loop = asyncio.get_running_loop()
        until_s = loop.time() + limit_s
        while not await self.is_ready(place):
            if loop.time() >= until_s:
                return False
            await asyncio.sleep(READY_POLL_S)
        return True

    async def _until_first_ready(self, place):
        if not await self.until_ready(place):
            _, others = self.programs.read_lines(place.name)
            raise NotRunError(f"{place.name} isn't ready: {' '.join(others[-3:])}")

    async def _start_upstreams(self):
        places = self.places
        settings = {
            "seed": self._seed,
            "layout": msgspec.to_builtins(self.layout),
            "engines": [(one.name, one.ip) for one in places.engines],
            "plain_upstreams": [(one.name, one.ip) for one in places.plain_upstreams],
        }
        module = "tests.deployment.upstreams"
        self.programs.start_module(UPSTREAMS, module, settings)
        self.ports = await self._read_ports()
        for place in (*places.engines, *places.plain_upstreams):
            self.register(place, place.name)

    async def _read_ports(self):
        for _ in range(int(START_LIMIT_S / READY_POLL_S)):
            await asyncio.sleep(READY_POLL_S)
            lines, others = self.programs.read_lines(UPSTREAMS)
            if lines:
                return lines[0]["ports"]
            if not self.programs.runs(UPSTREAMS):
                break
        raise NotRunError(f"the upstreams don't start: {' '.join(others[-3:])}")

    async def _end_upstreams(self):
        if self.programs.runs(UPSTREAMS):
            self.programs.processes[UPSTREAMS].stdin.close()
            await self.programs.until_ended(UPSTREAMS, START_LIMIT_S)

    def _check_ports(self):
        for place in self.places.entries:
            for port in (FRONT_PORT, READY_PORT, DIRECTORY_PORT):
                with socket.socket() as probe:
                    probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                    try:
                        probe.bind((place.ip, port))
                    except OSError as fault:
                        raise NotRunError(f"{place.ip}:{port}: {fault}") from fault
