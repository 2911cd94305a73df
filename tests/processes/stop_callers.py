"""Callers that look entries up, keep connections, and go elsewhere at a stop."""

import asyncio
import itertools
import json
import time

from tests.gateway.sites import Reply
from tests.processes.channels import Channel, Try
from tests.processes.entries import PORTS
from tests.processes.stop_upstreams import LARGE_TARGET

#: Time that a caller allows each entry for a lookup.
LOOKUP_TIMEOUT_S = 1.0
#: Sendings of a request, after which a caller gives it up.
MOST_TRIES = 4
#: Share of requests on a new connection, though there is a kept one.
NEW_SHARE = 0.5
#: Shortest and longest times of streams, plain answers, pauses in the middle of a
#: body, idle connections, and pauses between two requests.
STREAM_S, LONG_STREAM_S, PLAIN_S = (0.2, 6.0), (4.0, 6.0), (0.01, 0.4)
BODY_PAUSE_S, IDLE_S, PAUSE_S = (0.3, 2.0), (0.5, 3.0), (0.0, 0.3)
#: Size of a long body, and requests that are sent at once.
BODY_BYTES, PIPELINED = 200_000, 3
#: Kernel's buffer of a caller that reads slowly, and its pause before each piece.
SLOW_BUFFER_BYTES, SLOW_PAUSE_S = 65_536, 0.05


class Directory:
    """What a caller knows of the entries, for as long as it keeps an answer.

    Parameters
    ----------
    ips : sequence of str
        Entries that it asks, the nearest first.
    kept_s : float
    """

    def __init__(self, ips, kept_s):
        self._ips, self._kept_s = ips, kept_s
        self._known, self._known_s = (), float("-inf")

    async def addresses(self):
        """Return the entries' addresses by an answer that is kept, or a new one."""
        if time.monotonic() > self._known_s + self._kept_s:
            await self.look_up()
        return self._known

    async def look_up(self):
        """Ask the entries in turn; keep what is known if none answers."""
        for ip in self._ips:
            try:
                known = await asyncio.wait_for(resolve(ip), LOOKUP_TIMEOUT_S)
            except (OSError, ValueError, KeyError):
                continue
            self._known, self._known_s = known, time.monotonic()
            return


async def resolve(ip):
    reader, writer = await asyncio.open_connection(ip, PORTS["directory"])
    query = "name=booking.example&region=klang-valley&zone=kl-a"
    writer.write(f"GET /-/resolve?{query} HTTP/1.1\r\nHost: x\r\n".encode())
    writer.write(b"Connection: close\r\n\r\n")
    try:
        reply = Reply(await reader.read(-1))
    finally:
        writer.close()
    return [one.partition(":")[0] for one in json.loads(reply.body)["addresses"]]


class Caller:
    """A caller with one request after the other.

    Parameters
    ----------
    name : str
    directory : Directory
    rng : random.Random

    Attributes
    ----------
    requests : list of list of Try
        The sendings of each request.
    """

    def __init__(self, name, directory, rng):
        self._name, self._directory, self._rng = name, directory, rng
        self._numbers = itertools.count()
        self._channel = None
        self.requests = []

    async def play(self, is_over):
        """Send requests until `is_over`, and finish the last one."""
        kinds = {
            self._ask_stream: 10,
            self._ask_plain: 6,
            self._send_long_body: 3,
            self._ask_pipelined: 2,
            self._read_slowly: 1,
            self._stay_idle: 2,
        }
        while not is_over():
            (ask,) = self._rng.choices(list(kinds), list(kinds.values()))
            await ask()
            await self._wait(PAUSE_S)
        self._drop_channel()

    async def _ask_stream(self):
        path = self._rng.choice(("chat", "brief"))
        span_s = self._rng.choice((STREAM_S, LONG_STREAM_S))
        await self._ask(self._timed_target(path, span_s))

    async def _ask_plain(self):
        await self._ask(self._plain_target())

    async def _send_long_body(self):
        pause_s = self._rng.uniform(*BODY_PAUSE_S)
        await self._ask(self._plain_target(), bytes(BODY_BYTES), pause_s)

    async def _ask_pipelined(self):
        targets = [self._plain_target() for _ in range(PIPELINED)]
        channel = await self._find_channel(())
        if isinstance(channel, Try):
            return
        sent = [(self._next_id(), target) for target in targets]
        tries = await channel.ask_pipelined(*sent)
        self._keep(channel, tries[-1])
        for one in tries:
            self.requests.append([one])
            await self._ask_again(self.requests[-1])

    async def _read_slowly(self):
        self._drop_channel()
        await self._ask(LARGE_TARGET, slowly=True)
        self._drop_channel()

    async def _stay_idle(self):
        await self._wait(IDLE_S)

    async def _ask(self, target, body=b"", pause_s=0.0, slowly=False):
        tries = []
        self.requests.append(tries)
        tries.append(await self._try(target, body, pause_s, (), slowly))
        await self._ask_again(tries, slowly)

    async def _ask_again(self, tries, slowly=False):
        while tries[-1].may_retry and len(tries) < MOST_TRIES:
            last, failed = tries[-1], {one.ip for one in tries}
            tries.append(await self._try(last.target, last.body, 0.0, failed, slowly))

    async def _try(self, target, body, pause_s, failed, slowly):
        found = await self._find_channel(failed, slowly)
        if isinstance(found, Try):
            found.target, found.body = target, body
            return found
        one = await found.ask(self._next_id(), target, body, pause_s)
        self._keep(found, one)
        return one

    async def _find_channel(self, failed, slowly=False):
        """Return a connection, or a try that found none."""
        addresses = await self._directory.addresses()
        channel, self._channel = self._channel, None
        if channel is not None:
            usable = channel.ip in addresses and channel.ip not in failed
            if usable and not channel.ended and self._rng.random() > NEW_SHARE:
                return channel
            channel.close()
        left = [ip for ip in addresses if ip not in failed]
        if not left:
            await self._directory.look_up()
            addresses = await self._directory.addresses()
            left = [ip for ip in addresses if ip not in failed] or addresses
        return await self._connect(self._rng.choice(left), slowly)

    async def _connect(self, ip, slowly):
        now_s = time.monotonic()
        channel = Channel(ip, SLOW_BUFFER_BYTES if slowly else None)
        channel.read_pause_s = SLOW_PAUSE_S if slowly else 0.0
        try:
            await channel.open(PORTS["front"])
        except OSError:
            channel.close()
            return Try(self._next_id(), "", b"", ip, now_s, time.monotonic())
        return channel

    def _keep(self, channel, one):
        if one.keeps:
            self._channel = channel
        else:
            channel.close()
            self._channel = None

    def _drop_channel(self):
        if self._channel is not None:
            self._channel.close()
            self._channel = None

    def _plain_target(self):
        return self._timed_target(self._rng.choice(("safe", "twice", "hold")), PLAIN_S)

    def _timed_target(self, path, span_s):
        return f"/{path}/{1000 * self._rng.uniform(*span_s):.0f}"

    def _next_id(self):
        return f"{self._name}-{next(self._numbers)}"

    async def _wait(self, span_s):
        await asyncio.sleep(self._rng.uniform(*span_s))
