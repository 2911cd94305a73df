"""A process of callers, which writes a JSON line for each sending of a request.

It is started with a settings file, from the root of the repository::

    python -m tests.deployment.callers SETTINGS.json
"""

import dataclasses
import itertools
import json
import pathlib
import random
import sys
import time

from tests.deployment.caller_answers import AnswerReader
from tests.deployment.caller_channels import Channel
from tests.deployment.caller_loop import CallerLoop, pause_until
from tests.deployment.caller_manners import draw_caller
from tests.deployment.caller_manners import draw_request as draw_manners
from tests.deployment.caller_records import EndedBy
from tests.deployment.caller_requests import Kind, draw_request
from tests.deployment.caller_sendings import Sending
from tests.processes.channels import PROMISES

#: Time that a caller allows each entry for a lookup, and entries that it asks.
LOOKUP_TIMEOUT_S, LOOKUP_ENTRIES = 1.0, 3
#: Longest time for which most callers keep a lookup's answer, and that of the others.
KEPT_S, LONG_KEPT_S = 2.0, 6.0
#: Sendings of a request, after which a caller gives it up.
MAX_TRIES = 4
#: Statuses after which no request is sent again.
FINAL_STATUSES = (400, 401, 404, 413, 431)
#: Share of requests on a new connection though one is kept, and kept ones of a caller.
NEW_SHARE, MAX_KEPT = 0.3, 3
#: Share of answers behind which a caller that ignores a close goes on, on the same
#: connection, and the time until then.
GOES_ON_SHARE = 0.4
IGNORING_PAUSES_S = (0.0, 0.0, 0.005, 0.02, 0.05)
#: When the next request is sent early, before or behind the expected end of an answer.
EARLY_S = (-0.1, 0.05)
#: Receive buffer of a caller with a small one.
SMALL_BUFFER_BYTES = 4_096
#: Time for which a busy process reads nothing, and then serves its callers.
BUSY_S, SERVING_S = (0.05, 0.3), (0.02, 0.2)
#: Time after the last request after which a busy process is busy no more.
BUSY_TAIL_S = 3.0


@dataclasses.dataclass(frozen=True, slots=True)
class CallerSettings:
    """What a process of callers is told.

    Attributes
    ----------
    seed, callers : int
    lookups : sequence of str
        Addresses of the entries' lookups.
    front_port : int
        Port of the entries that a lookup names without one.
    host, key : str
    kinds : sequence of Kind
    requests_per_s : float
    ends_at_s : float
        When the last request is sent, by `time.monotonic`.
    busy : bool
        Whether the process burns its processor between reads.
    region, zones : str, sequence of str
        Where the callers are.
    without : sequence of str
        Manners that are switched off.
    """

    seed: int
    callers: int
    lookups: tuple[str, ...]
    front_port: int
    host: str
    key: str
    kinds: tuple[Kind, ...]
    requests_per_s: float
    ends_at_s: float
    busy: bool = False
    region: str = "klang-valley"
    zones: tuple[str, ...] = ("kl-a",)
    without: tuple[str, ...] = ()


def read_settings(path):
    """Read the settings of a process of callers."""
    document = json.loads(pathlib.Path(path).read_text("utf-8"))
    document["kinds"] = tuple(Kind(**kind) for kind in document["kinds"])
    return CallerSettings(**document)


class Directory:
    """What a caller knows of the entries, for as long as it keeps an answer.

    Parameters
    ----------
    lookups : sequence of (str, int)
        Entries that it asks, the nearest first.
    query : str
    front_port : int
    kept_s : float
    """

    def __init__(self, lookups, query, front_port, kept_s):
        self._lookups, self._query = lookups, query
        self._front_port, self._kept_s = front_port, kept_s
        self._known, self._asked_s = (), float("-inf")

    async def addresses(self):
        """Return the entries' addresses by an answer that is kept, or a new one."""
        if time.monotonic() > self._asked_s + self._kept_s:
            await self.look_up()
        return self._known

    async def look_up(self):
        """Ask the entries in turn; keep what is known if none answers."""
        for address in self._lookups:
            known = await self._resolve(address)
            if known:
                self._known, self._asked_s = known, time.monotonic()
                return

    async def _resolve(self, address):
        channel = Channel(address)
        until_s = time.monotonic() + LOOKUP_TIMEOUT_S
        reader, body = AnswerReader("GET"), b""
        try:
            await channel.connect()
            channel.queue(f"GET /-/resolve?{self._query} HTTP/1.1\r\n".encode())
            channel.queue(b"Host: lookup\r\nConnection: close\r\n\r\n")
            while channel.end is None and time.monotonic() < until_s:
                data = await channel.receive(until_s)
                reader.receive(data)
                body += data
            named = json.loads(body.partition(b"\r\n\r\n")[2])["addresses"]
        except (OSError, ValueError, KeyError):
            return ()
        finally:
            channel.close()
        return tuple(parse_address(name, self._front_port) for name in named)


def parse_address(text, default_port=0):
    """Return the address and the port of "ip:port", or of an address alone."""
    ip, _, port = text.partition(":")
    return ip, int(port or default_port)


class Caller:
    """A caller with one request after the other.

    Parameters
    ----------
    name : str
    settings : CallerSettings
    write : callable
        Given each record.
    """

    def __init__(self, name, settings, write):
        self._name, self._settings, self._write = name, settings, write
        self._rng = rng = random.Random(f"{settings.seed} {name}")
        self._manners = draw_caller(rng, settings.without)
        self._numbers = itertools.count(1)
        self._kept, self._left_open = [], []
        self._goes_on = False
        zone = rng.choice(settings.zones)
        query = f"name={settings.host}&region={settings.region}&zone={zone}"
        lookups = [parse_address(text) for text in settings.lookups]
        nearest = rng.sample(lookups, min(LOOKUP_ENTRIES, len(lookups)))
        kept_s = LONG_KEPT_S if "keeps-longer" in self._manners else KEPT_S
        self._directory = Directory(nearest, query, settings.front_port, kept_s)

    async def play(self):
        """Send requests until the settings' end, and finish the last one."""
        interval_s = self._settings.callers / self._settings.requests_per_s
        due_s = time.monotonic() + self._rng.uniform(0, interval_s)
        while due_s < self._settings.ends_at_s:
            await pause_until(due_s)
            await self._ask(draw_request(self._rng, self._settings.kinds))
            due_s = max(due_s + self._rng.expovariate(1 / interval_s), time.monotonic())
            due_s = min(due_s, self._goes_on_s())
        for channel in (*self._kept, *self._left_open):
            channel.close()

    def _goes_on_s(self):
        """Return when the next request is sent on the connection of the last one."""
        goes_on = self._rng.random() < GOES_ON_SHARE
        pause_s = self._rng.choice(IGNORING_PAUSES_S)
        if "ignores-close" in self._manners and self._kept and goes_on:
            self._goes_on = True
            return time.monotonic() + pause_s
        return float("inf")

    async def _ask(self, request):
        manners = draw_manners(self._rng, self._manners, self._settings.without)
        ahead = None
        if "pipelines" in manners or "sends-early" in manners:
            ahead = draw_request(self._rng, self._settings.kinds)
        for one, last in await self._send(request, manners, ahead, set()):
            await self._send_again(one, last)

    async def _send_again(self, request, last):
        failed = {last.record.entry}
        while self._may_send_again(request, last):
            await self._wait_as_told(request, last)
            ((_, last),) = await self._send(request, self._manners, None, failed)
            failed.add(last.record.entry)

    def _may_send_again(self, request, last):
        record = last.record
        if request.tries >= MAX_TRIES or time.monotonic() >= request.until_s:
            return False
        if record.whole and (record.status in FINAL_STATUSES or record.status < 300):
            return False
        if record.detail == "gave up":
            return False
        refused = record.whole and record.status in PROMISES
        return request.kind.may_repeat or refused or not record.status

    async def _wait_as_told(self, request, last):
        left_s = request.until_s - time.monotonic()
        if "hurries" not in self._manners and last.retry_after_s:
            wait_s = min(last.retry_after_s, left_s / 3)
            await pause_until(time.monotonic() + wait_s)

    async def _send(self, request, manners, ahead, failed):
        """Send a request once, and another one ahead of its answer's end.

        Returns
        -------
        list of (Request, Sending)
        """
        channel = await self._find_channel(failed, manners)
        first = self._make_sending(request, channel, manners)
        if channel.end is not None:
            self._note_unconnected(first, channel)
            return [(request, first)]
        first.send(self._settings.host, self._settings.key)
        if ahead is None:
            await first.receive()
            self._write(first.record)
            self._keep(channel, first, manners)
            return [(request, first)]
        return await self._send_ahead(request, first, ahead, channel, manners)

    async def _send_ahead(self, request, first, ahead, channel, manners):
        second = self._make_sending(ahead, channel, self._manners)

        def send_second(at_s=0.0):
            if not second.record.sent_s:
                second.send(self._settings.host, self._settings.key, at_s)

        if "pipelines" in manners:
            send_second()
        else:
            early_s = request.lasts_s + self._rng.uniform(*EARLY_S)
            send_second(first.record.sent_s + early_s)
        await first.receive()
        self._write(first.record)
        if first.record.whole:
            await second.receive()
        else:
            second.end_with(first.record)
        self._write(second.record)
        self._keep(channel, second, manners)
        return [(request, first), (ahead, second)]

    def _make_sending(self, request, channel, manners):
        request_id = f"{self._name}-{next(self._numbers)}"
        return Sending(request, request_id, self._name, channel, manners, self._rng)

    def _note_unconnected(self, sending, channel):
        record = sending.record
        record.sent_s = record.ended_s = time.monotonic()
        record.ending, record.seen = channel.end.ending, channel.end.seen
        record.ended_by, record.detail = EndedBy.ENTRY, "no connection"
        self._write(record)
        channel.close()

    async def _find_channel(self, failed, manners):
        """Return a connection; one with an end if none could be established."""
        addresses = await self._directory.addresses()
        self._leave_missing({ip for ip, _ in addresses})
        usable = [one for one in self._kept if one.ip not in failed]
        takes_last, self._goes_on = self._goes_on, False
        is_new = self._rng.random() < NEW_SHARE and not takes_last
        if not failed and usable and not is_new:
            channel = usable[-1] if takes_last else self._rng.choice(usable)
            self._kept.remove(channel)
            if "ignores-close" in self._manners or not channel.has_ended():
                return channel
            channel.close()
        left = [one for one in addresses if one[0] not in failed]
        if not left:
            await self._directory.look_up()
            addresses = await self._directory.addresses()
            left = [one for one in addresses if one[0] not in failed] or addresses
        address = self._rng.choice(left) if left else ("", 0)
        return await self._connect(address, manners)

    async def _connect(self, address, manners):
        is_small = "small-buffer" in manners
        size = SMALL_BUFFER_BYTES if is_small else None
        channel = Channel(address, manners.seen_by, size)
        await channel.connect()
        return channel

    def _leave_missing(self, ips):
        """Use no connection any more whose entry is missing from the last lookup."""
        for channel in [one for one in self._kept if one.ip not in ips]:
            self._kept.remove(channel)
            if "leaves-open" in self._manners:
                self._left_open.append(channel)
            else:
                channel.close()

    def _keep(self, channel, sending, manners):
        is_open = channel.end is None and sending.record.whole
        goes_on = sending.may_keep or "ignores-close" in self._manners
        if is_open and goes_on and not _ends_behind_answer(manners):
            self._kept.append(channel)
            if len(self._kept) > MAX_KEPT:
                self._kept.pop(0).close()
        else:
            channel.close("resets-behind-answer" in manners)


def _ends_behind_answer(manners):
    endings = (
        "half-closes-behind-request",
        "half-closes-behind-answer",
        "resets-behind-answer",
    )
    return any(name in manners for name in endings)


async def be_busy(rng, until_s):
    """Burn the processor again and again until a time, as long as others serve."""
    while time.monotonic() < until_s:
        ends_s = time.monotonic() + rng.uniform(*BUSY_S)
        while time.monotonic() < ends_s:
            pass
        await pause_until(time.monotonic() + rng.uniform(*SERVING_S))


def main(path):
    """Play the callers of a settings file."""
    settings = read_settings(path)
    loop = CallerLoop()

    def write(record):
        sys.stdout.write(f"{record.encode()}\n")
        sys.stdout.flush()

    for number in range(settings.callers):
        caller = Caller(f"s{settings.seed}c{number}", settings, write)
        loop.start(caller.play())
    if settings.busy:
        rng = random.Random(settings.seed)
        loop.start(be_busy(rng, settings.ends_at_s + BUSY_TAIL_S))
    loop.run()


if __name__ == "__main__":
    main(sys.argv[1])
