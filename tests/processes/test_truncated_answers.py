import asyncio
import collections
import itertools
import os
import random
import signal
import time
import unittest

from fuchsiahatch_http1.answers import Framing
from tests.gateway.mortal_upstreams import MortalUpstream
from tests.gateway.played_upstreams import EVENTS, CutEnd, make_event
from tests.gateway.sites import ask, make_configuration
from tests.loopback import run
from tests.processes.entries import PORTS, EntryProcesses

#: Addresses of their own, as other tests' entries may be ending.
IPS = ("127.0.7.71", "127.0.7.72", "127.0.7.73")
PATHS = ("/safe/x", "/twice/x", "/hold/x", "/chat/x", "/brief/x")
STREAMS = ("/chat/x", "/brief/x")
REPEATABLE = ("/safe/x", "/chat/x")
#: Share of the answers that are sent whole.
WHOLE_SHARE = 0.7
#: Time until a crashed upstream restarts; longer than an entry is delayed by load.
BACK_S = 1.5
CALLERS, SOAK_S = 6, 6.0
SEEDS = range(1, 1 + int(os.environ.get("TRUNCATION_SEEDS", "1")))


class Record:
    """What all upstreams were asked and answered.

    Attributes
    ----------
    bodies : dict of str to bytes
        Whole bodies of plain answers, by their signature.
    arrivals : collections.Counter
        Requests by id.
    cuts : collections.Counter
        Answers that were cut, by framing and end.
    """

    def __init__(self):
        self.bodies = {}
        self.arrivals = collections.Counter()
        self.cuts = collections.Counter()
        self._numbers = itertools.count(1)

    def sign(self):
        return f"run-{next(self._numbers)}"


class CuttingUpstream(MortalUpstream):
    """An upstream that frames its answers in any way, and cuts some at any byte."""

    def __init__(self, entries, name, rng, record):
        super().__init__(entries, name, BACK_S, self._answer)
        self.rng, self.record = rng, record
        self.ending = None

    @property
    def is_down(self):
        return self.ending is not None and not self.ending.done()

    async def _answer(self, request, wire):
        self.record.arrivals[request.request_id] += 1
        signature = self.record.sign()
        body = self._body_of(request, signature)
        framing = self.rng.choice(tuple(Framing))
        cut = self._choose_cut(request, body, framing)
        await wire.raw(_make_head(request, signature, framing, len(body)))
        await self._send(wire, framing, body if cut is None else body[: cut[0]])
        if cut is not None:
            await self._break_off(wire, cut[1])
        elif framing is Framing.CHUNKED:
            await wire.end_stream()
        elif framing is Framing.UNTIL_CLOSE:
            wire.close()

    def _body_of(self, request, signature):
        if request.target in STREAMS:
            first = int(request.headers.get("last-event-id", 0)) + 1
            return b"".join(map(make_event, range(first, EVENTS + 1)))
        body = f"the answer of {signature}".encode()
        self.record.bodies[signature] = body
        return body

    def _choose_cut(self, request, body, framing):
        """Return the bytes that are sent and the end; None for a whole answer."""
        if not body or self.rng.random() < WHOLE_SHARE:
            return None
        cut, end = self.rng.randrange(len(body)), self.rng.choice(tuple(CutEnd))
        inside = request.target in STREAMS and not body[:cut].endswith(b"\n\n") and cut
        if framing is Framing.UNTIL_CLOSE and end is CutEnd.CLOSE and not inside:
            # An upstream that lives on and closes there says that its answer is whole.
            end = CutEnd.RESET
        if end is CutEnd.CRASH and any(one.is_down for one in self.site.upstreams):
            end = CutEnd.RESET
        self.record.cuts[framing, end] += 1
        return cut, end

    async def _send(self, wire, framing, data):
        size = self.rng.randint(1, 40)
        for at in range(0, len(data), size):
            piece = data[at : at + size]
            chunked = framing is Framing.CHUNKED
            await wire.raw(b"%x\r\n%b\r\n" % (len(piece), piece) if chunked else piece)
            await asyncio.sleep(self.rng.uniform(0.0, 0.01))

    async def _break_off(self, wire, end):
        if end is CutEnd.CLOSE:
            wire.close()
        elif end is CutEnd.RESET:
            wire.reset()
        else:
            self.ending = asyncio.ensure_future(self.end())
            await asyncio.sleep(30)


def _make_head(request, signature, framing, length):
    lines = [
        "HTTP/1.1 200 OK",
        f"Fuchsiahatch-Request-Id: {request.request_id}",
        f"Fuchsiahatch-Response-Signature: {signature}",
    ]
    if framing is Framing.LENGTH:
        lines.append(f"Content-Length: {length}")
    elif framing is Framing.CHUNKED:
        lines.append("Transfer-Encoding: chunked")
    return "\r\n".join([*lines, "", ""]).encode()


class Soak:
    """Callers that check their answers, and what happens to entries meanwhile."""

    def __init__(self, entries, rng, record):
        self.entries, self.rng, self.record = entries, rng, record
        self.faults = []
        self.ends = collections.Counter()
        self.version = 1

    async def play(self):
        calling = [
            asyncio.ensure_future(self._call(ip, number))
            for ip in IPS
            for number in range(CALLERS)
        ]
        await self._disturb()
        for task in calling:
            task.cancel()
        await asyncio.gather(*calling, return_exceptions=True)

    async def _call(self, ip, caller):
        for number in itertools.count():
            path = self.rng.choice(PATHS)
            request_id = f"{ip}-{caller}-{number}"
            try:
                # A body of its own: requests that crash upstreams are known by it.
                reply = await ask(
                    PORTS["front"],
                    path,
                    ip=ip,
                    request_id=request_id,
                    body=request_id.encode(),
                )
            except OSError:
                # The entry is down.
                await asyncio.sleep(0.05)
                continue
            self._check(path, request_id, reply)

    def _check(self, path, request_id, reply):
        self.ends[path, reply.status if reply.whole else "not whole"] += 1
        arrivals = self.record.arrivals[request_id]
        if path not in REPEATABLE and arrivals > 1:
            self.faults.append(
                f"{request_id} {path} reached upstreams {arrivals} times"
            )
        if reply.status != 200 or not reply.whole:
            return
        signature = reply.headers["fuchsiahatch-response-signature"]
        expected = (
            b"".join(map(make_event, range(1, EVENTS + 1)))
            if path in STREAMS
            else self.record.bodies[signature]
        )
        if reply.body != expected:
            self.faults.append(f"{request_id} {path} got {reply.body!r} as whole")

    async def _disturb(self):
        ends_s = time.monotonic() + SOAK_S
        while time.monotonic() < ends_s:
            step = self.rng.choice((self._reload, self._configure, self._restart))
            await step()
            await asyncio.sleep(self.rng.uniform(0.3, 0.9))

    async def _reload(self):
        for ip in IPS:
            self.entries.processes[ip].send_signal(signal.SIGHUP)

    async def _configure(self):
        self.version += 1
        self.entries.store.put("op/config", make_configuration(self.version))

    async def _restart(self):
        ip = self.rng.choice(IPS)
        how = self.rng.choice((signal.SIGKILL, signal.SIGTERM))
        self.entries.processes[ip].send_signal(how)
        await self.entries.until_ended(ip)
        self.entries.start(ip)


class TestSoak(unittest.TestCase):
    def test_no_answer_that_broke_off_looks_complete(self):
        for seed in SEEDS:
            with self.subTest(seed=seed):
                self.check(seed)

    def check(self, seed):
        rng, record = random.Random(seed), Record()

        def make_upstreams(entries):
            return [
                CuttingUpstream(entries, f"i-{name}", rng, record) for name in "abcd"
            ]

        async def play():
            async with EntryProcesses(make_upstreams, IPS) as entries:
                soak = Soak(entries, rng, record)
                await soak.play()
                for one in entries.upstreams:
                    if one.ending is not None:
                        one.ending.cancel()
            return soak, {line["message_type"] for line in entries.lines}

        soak, kinds = run(play())
        self.assertEqual(soak.faults, [])
        for path in PATHS:
            self.assertGreater(soak.ends[path, 200], 0)
        self.assertGreater(len(record.cuts), 3)
        self.assertIn("attempt_retried", kinds)
        self.assertNotIn("internal_error", kinds)


if __name__ == "__main__":
    unittest.main()
