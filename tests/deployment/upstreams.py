"""All stand-in upstreams of a deployment in one process.

It is started with the path of a JSON file, writes one line with the upstreams' ports,
then a line for each run of a request, and takes commands as JSON lines on its standard
input, at whose end it ends::

    python -m tests.deployment.upstreams SETTINGS.json
"""

import asyncio
import json
import pathlib
import random
import sys
import time

import msgspec

from fuchsiahatch_http1.server import HttpServer
from fuchsiahatch_standins.rank_group import RankGroup
from tests.deployment.layout import Layout
from tests.deployment.slots import Silence, SlottedUpstream
from tests.deployment.targets import decode_target
from tests.gateway.played_upstreams import make_event
from tests.loopback import LOOP

#: How often a group looks whether its pause is over.
PAUSE_POLL_S = 0.005


class UpstreamSettings(msgspec.Struct):
    """Settings of the process.

    Attributes
    ----------
    engines, plain_upstreams : list of (str, str)
        Names and addresses.
    """

    seed: int
    layout: Layout
    engines: list[tuple[str, str]]
    plain_upstreams: list[tuple[str, str]]


class EngineGroup:
    """A rank group whose streams send an event in each pass at most.

    Parameters
    ----------
    name : str
    places : list of (str, str)
        Names and addresses of its ranks.
    figures : Engines
    seed : int
    write_run : callable
    """

    def __init__(self, name, places, figures, seed, write_run):
        self._figures = figures
        ips = [ip for _, ip in places]
        layers, experts = figures.expert_layers, figures.experts
        self.ranks = RankGroup(name, ips, layers, experts, seed, self._serve)
        self.ranks.on_pass = self._note_pass
        self.silence = Silence()
        self._passed = asyncio.Event()
        self.upstreams = [
            SlottedUpstream(name, figures.slots, figures.queue, write_run, self._stream)
            for name, _ in places
        ]

    async def start(self):
        """Serve and begin passes."""
        await self.ranks.start()
        self._keeping = asyncio.ensure_future(self._keep_figures())

    async def close(self):
        """Stop."""
        self._keeping.cancel()
        await self.ranks.close()

    async def _serve(self, number, exchange):
        await self.upstreams[number].handle(exchange)

    async def _keep_figures(self):
        """Let the ranks report their load, and the passes last as long as it asks."""
        ranks, figures = self.ranks, self._figures
        while True:
            ranks.running = [one.running for one in self.upstreams]
            ranks.queued = [one.queued for one in self.upstreams]
            fullest = max(ranks.running)
            ranks.busy = fullest > 0 and not self.silence.lasts
            ranks.pass_ms = figures.pass_ms + figures.pass_ms_per_stream * fullest
            await asyncio.sleep(PAUSE_POLL_S)

    def _note_pass(self):
        self._passed.set()
        self._passed = asyncio.Event()

    async def _stream(self, run, exchange, upstream):
        target = decode_target(run.target)
        await asyncio.sleep(self._figures.first_event_ms / 1000)
        for number in range(run.after + 1, target.amount + 1):
            await self._wait_for_pass(run, target.time_ms / 1000)
            await upstream.silence.wait()
            if not exchange.started:
                exchange.start(200, upstream.answer_head(run))
            exchange.write(make_event(number))
            run.events, run.last_event_s = number, time.monotonic()
            await exchange.drained()
        if not exchange.started:
            exchange.start(200, upstream.answer_head(run))
        exchange.finish()

    async def _wait_for_pass(self, run, interval_s):
        await self._passed.wait()
        while time.monotonic() - run.last_event_s < interval_s:
            await self._passed.wait()


class PlainUpstream:
    """An upstream of plain answers.

    Parameters
    ----------
    name, ip : str
    layout : Layout
    rng : random.Random
    write_run : callable
    """

    def __init__(self, name, ip, layout, rng, write_run):
        figures = layout.plain_upstreams
        self._ip, self._rng = ip, rng
        self._error_shares = {one.prefix: one.error_share for one in layout.kinds}
        self.upstream = SlottedUpstream(
            name, figures.slots, figures.queue, write_run, self._answer
        )
        self._server = HttpServer(self.upstream.handle)

    async def start(self):
        """Serve and return the port."""
        return await self._server.listen(self._ip, 0)

    async def close(self):
        """Stop."""
        await self._server.close()

    async def _answer(self, run, exchange, upstream):
        target = decode_target(run.target)
        await asyncio.sleep(target.time_ms / 1000)
        await upstream.silence.wait()
        failed = self._rng.random() < self._error_shares.get(target.prefix, 0.0)
        run.status = 500 if failed else 200
        body = b"" if failed else b"x" * target.amount
        exchange.respond(run.status, upstream.answer_head(run), body)


class UpstreamProcess:
    """The process with all upstreams.

    Parameters
    ----------
    settings : UpstreamSettings
    """

    def __init__(self, settings):
        layout, rng = settings.layout, random.Random(settings.seed)
        ranks = layout.engines.ranks
        self.groups = [
            EngineGroup(
                f"group-{at // ranks + 1}",
                settings.engines[at : at + ranks],
                layout.engines,
                settings.seed,
                write_line,
            )
            for at in range(0, len(settings.engines), ranks)
        ]
        self.plain = [
            PlainUpstream(name, ip, layout, rng, write_line)
            for name, ip in settings.plain_upstreams
        ]
        engines = [one for group in self.groups for one in group.upstreams]
        every = [*engines, *(one.upstream for one in self.plain)]
        self._upstreams = {one.name: one for one in every}

    async def run(self):
        """Serve until the end of the standard input."""
        for group in self.groups:
            await group.start()
        ports = [port for group in self.groups for port in group.ranks.ports]
        ports += [await one.start() for one in self.plain]
        write_line({"ports": dict(zip(self._upstreams, ports, strict=True))})
        async for line in _read_lines():
            self.obey(json.loads(line))
        for upstream in self._upstreams.values():
            upstream.write_open_runs()
        switches = sum(group.ranks.switches for group in self.groups)
        mixed = [fault for group in self.groups for fault in group.ranks.mixed]
        write_line({"switches": switches, "mixed": mixed})
        for one in (*self.groups, *self.plain):
            await one.close()

    def obey(self, command):
        """Carry a command out, as the disturbances write them."""
        match command:
            case {"do": "silence", "upstream": name, "for_s": length_s}:
                self._upstreams[name].silence.begin(length_s)
            case {"do": "pause", "group": number, "for_s": length_s}:
                self.groups[number % len(self.groups)].silence.begin(length_s)
            case {"do": "shift", "expert": expert}:
                for group in self.groups:
                    group.ranks.hot = expert
            case {"do": "rename", "upstream": name, "instance": instance}:
                self._upstreams[name].instance = instance
            case _:
                raise ValueError(f"{command} is no command of the upstreams")


def write_line(document):
    """Write a document as one line of the standard output."""
    sys.stdout.write(json.dumps(document) + "\n")
    sys.stdout.flush()


async def _read_lines():
    reader = asyncio.StreamReader()
    loop = asyncio.get_running_loop()
    await loop.connect_read_pipe(
        lambda: asyncio.StreamReaderProtocol(reader), sys.stdin
    )
    while line := await reader.readline():
        yield line


def main():
    """Run the process."""
    content = pathlib.Path(sys.argv[1]).read_bytes()
    settings = msgspec.json.decode(content, type=UpstreamSettings)
    LOOP.run_until_complete(UpstreamProcess(settings).run())


if __name__ == "__main__":
    main()
