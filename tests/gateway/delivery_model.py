"""Runs the real delivery between simulated callers and upstreams, in virtual time.

A scenario lists the requests, the upstreams' reactions to the requests that arrive, and
the upstreams that leave. `find_faults` runs it and returns each violated invariant. The
connection classes are the real ones; only the transport is simulated.
"""

import asyncio
import dataclasses
import random
import types

import orjson

from fuchsiahatch_gateway.crashing_requests import CrashingRequests
from fuchsiahatch_gateway.delivery import Delivery
from fuchsiahatch_gateway.fleet import Fleet
from fuchsiahatch_gateway.late_upstreams import LateUpstreams
from fuchsiahatch_gateway.placing import Placer
from fuchsiahatch_gateway.retry_budget import RetryBudget
from fuchsiahatch_gateway.routes import RouteTable
from fuchsiahatch_gateway.upstream_crashes import UpstreamCrashes
from fuchsiahatch_standins.fleet_store import make_upstream_item
from fuchsiahatch_standins.virtual_time import run_virtually
from tests import loopback  # noqa: F401  (installs the reactor)
from tests.gateway.played_upstreams import (
    EVENTS,
    FIRST_PORT,
    Act,
    Cut,
    Repeat,
    Run,
    SimulatedPool,
    make_event,
)
from tests.gateway.sites import HOST, KEY, make_configuration, make_route

TIMEOUT_MS = 1_200
#: Time for which an upstream may go on working after the caller has disconnected.
DISCONNECT_GRACE_MS = 50
#: Time after a request's deadline within which its final answer must be sent.
FINAL_MS = 50
#: Tolerance for times that are rounded to milliseconds.
ROUNDING_MS = 2
NOT_RUN_STATUSES = (408, 421, 429, 503)
ROUTES = [
    make_route("/safe/", "safe", timeoutMs=TIMEOUT_MS),
    make_route("/twice/", "unsafe", timeoutMs=TIMEOUT_MS, maxAttempts=3),
    make_route("/chat/", "streaming", resumeStreams=True, timeoutMs=TIMEOUT_MS),
    make_route("/brief/", "streaming", timeoutMs=TIMEOUT_MS),
]
PATHS = tuple(route["prefix"] for route in ROUTES)
REPEATABLE = ("/safe/", "/chat/")
STREAMS = ("/chat/", "/brief/")


@dataclasses.dataclass(frozen=True)
class Ask:
    """One caller's request; `leaves_ms` is relative to its start."""

    path: str
    at_ms: int
    leaves_ms: int | None = None


@dataclasses.dataclass(frozen=True)
class Scenario:
    """What happens in a run.

    `acts` are consumed in the order of arrival, and `repeats` in that of whole answers.
    """

    asks: tuple[Ask, ...]
    acts: tuple[tuple[Act | Cut, int], ...]
    upstreams: int = 2
    places: int = 1
    leaving: tuple[tuple[int, int], ...] = ()
    slack: float = 90.0
    repeats: tuple[Repeat | None, ...] = ()


class SimulatedExchange:
    """A caller's request and the answer that the caller received."""

    method = b"POST"
    body = b"the body"

    def __init__(self, number, path):
        self.request_id = f"q-{number}"
        self.path = path
        self.target = path.encode() + b"x"
        self.headers = [
            (b"host", HOST.encode()),
            (b"fuchsiahatch-request-id", self.request_id.encode()),
            (b"fuchsiahatch-deadline-ms", b"%d" % TIMEOUT_MS),
            (b"authorization", b"Token " + KEY.encode()),
        ]
        self.started = False
        self.caller_disconnected = False
        self.finished = False
        self.aborted = False
        self.status = 0
        self.answer_headers = {}
        self.answer = b""
        self.ended_ms = None

    def header(self, name):
        return next((value for key, value in self.headers if key == name), None)

    def respond(self, status, headers=(), body=b""):
        self.start(status, headers)
        self.write(body)
        self.finish()

    def start(self, status, headers):
        assert not self.started, "a second head"
        self.started = True
        self.status = status
        self.answer_headers = {name.lower(): value for name, value in headers}

    def write(self, data):
        assert not self.finished, "bytes after the end"
        self.answer += data

    def finish(self):
        self.finished = True

    def abort(self):
        self.aborted = True

    async def drained(self):
        await asyncio.sleep(0)


def make_delivery(routes, fleet, placer, pool, budget, clock, rng, *callbacks):
    """Return the real delivery of an entry without peers."""
    log = types.SimpleNamespace(
        note_end=lambda *end: None,
        note_retry=lambda *retry: None,
        note_continued=lambda *continued: None,
        note_broken_answer=lambda *broken: None,
    )
    crashing = CrashingRequests(clock, lambda message: None)
    return Delivery(
        routes,
        placer,
        pool,
        budget,
        log,
        crashing,
        UpstreamCrashes(
            crashing,
            pool.probe,
            lambda instance: instance in fleet.upstreams,
            clock,
        ),
        LateUpstreams(clock, fleet.upstreams, lambda notice: None),
        clock,
        rng,
        *callbacks,
    )


class World:
    """The run of one scenario, with its state and the violations found."""

    def __init__(self, scenario, loop):
        self.scenario = scenario
        self.loop = loop
        self.clock = loop.make_clock()
        self.faults = []
        self.runs = []
        self.left_ms = {}
        self._acts = list(scenario.acts)
        self._repeats = list(scenario.repeats)
        rng = random.Random(1)
        routes = RouteTable()
        routes.apply(orjson.dumps(make_configuration(1, ROUTES)))
        self.pool = SimulatedPool(self, self.clock)
        self.fleet = Fleet("kl-a", self.clock, rng)
        self.fleet.on_departed = lambda entry: self.pool.close_idle(
            entry.address.ip, entry.address.port
        )
        self.placer = Placer(self.fleet, self.clock)
        budget = RetryBudget(0.2, scenario.slack, 10_000, self.clock, lambda: 1, True)
        self.delivery = make_delivery(
            routes, self.fleet, self.placer, self.pool, budget, self.clock, rng
        )
        self._leaving = dict.fromkeys(range(scenario.upstreams), False)
        self._apply_fleet()

    def next_act(self):
        return self._acts.pop(0) if self._acts else (Act.ANSWER, 5)

    def next_repeat(self):
        return self._repeats.pop(0) if self._repeats else None

    def refuses_connection(self):
        if self._acts and self._acts[0][0] is Act.NO_CONNECTION:
            self._acts.pop(0)
            return True
        return False

    def note_arrival(self, upstream, request, body):
        headers = {name.decode(): value.decode() for name, value in request.headers}
        request_id = headers["fuchsiahatch-request-id"]
        path = request.target.decode().removesuffix("x")
        now_ms = self.clock.now_ms()
        run = Run(request_id, path, path in STREAMS, upstream, now_ms)
        run.signature = f"sig-{len(self.runs)}"
        run.first_event = int(headers.get("last-event-id", 0)) + 1
        if body != SimulatedExchange.body or headers["fuchsiahatch-tenant"] != "team-a":
            self.faults.append(f"{request_id} was changed on its way")
        if headers["fuchsiahatch-expect-instance"] != f"i-{upstream}":
            self.faults.append(f"{request_id} went to another upstream")
        if self.left_ms.get(upstream, now_ms) < now_ms:
            self.faults.append(f"{request_id} went to an upstream that had left")
        self.runs.append(run)
        return run

    async def play(self):
        exchanges = [
            SimulatedExchange(number, ask.path)
            for number, ask in enumerate(self.scenario.asks)
        ]
        works = [
            self._ask(ask, exchange)
            for ask, exchange in zip(self.scenario.asks, exchanges, strict=True)
        ]
        leaves = [self._leave(*leaving) for leaving in self.scenario.leaving]
        await asyncio.gather(*works, *leaves)
        await asyncio.sleep(3)
        for ask, exchange in zip(self.scenario.asks, exchanges, strict=True):
            self._check_answer(exchange)
            self._check_abandoned(exchange, ask.at_ms + TIMEOUT_MS)
        self._check_final_state()
        remaining = asyncio.all_tasks() - {asyncio.current_task()}
        for task in remaining:
            task.cancel()
        await asyncio.gather(*remaining, return_exceptions=True)
        return self.faults

    async def _ask(self, ask, exchange):
        await asyncio.sleep(ask.at_ms / 1000)
        began_ms = self.clock.now_ms()
        work = asyncio.ensure_future(self.delivery.handle(exchange))
        limit_ms = TIMEOUT_MS + FINAL_MS if ask.leaves_ms is None else ask.leaves_ms
        await asyncio.wait({work}, timeout=limit_ms / 1000)
        if work.done():
            work.result()
            return
        exchange.caller_disconnected = True
        work.cancel()
        await asyncio.wait({work})
        if ask.leaves_ms is None:
            late_ms = self.clock.now_ms() - began_ms
            self.faults.append(f"{exchange.request_id} had no answer at {late_ms} ms")
        await asyncio.sleep(DISCONNECT_GRACE_MS / 1000)
        for run in self.runs:
            if run.request_id == exchange.request_id and run.working:
                self.faults.append(f"{exchange.request_id} outlived its caller")

    async def _leave(self, upstream, at_ms):
        await asyncio.sleep(at_ms / 1000)
        self._leaving[upstream] = True
        self._apply_fleet()
        self.placer.serve_waiting()
        self.left_ms.setdefault(upstream, self.clock.now_ms())

    def _apply_fleet(self):
        places = self.scenario.places
        self.fleet.apply(
            {
                f"i-{number}": make_upstream_item(
                    f"i-{number}",
                    "svc",
                    f"10.0.0.1:{FIRST_PORT + number}",
                    places,
                    leaving,
                )
                for number, leaving in self._leaving.items()
            }
        )

    def _check_answer(self, exchange):
        name = exchange.request_id
        runs = [run for run in self.runs if run.request_id == name]
        ran = [run for run in runs if run.ran]
        if exchange.path not in REPEATABLE and len(ran) > 1:
            self.faults.append(f"{name} ran {len(ran)} times")
        if len(ran) > 3:
            self.faults.append(f"{name} ran at more upstreams than its route allows")
        if exchange.caller_disconnected:
            return
        if exchange.status == 502 and name.encode() not in self.pool.sent:
            self.faults.append(f"{name} failed and was never sent")
        if exchange.status in NOT_RUN_STATUSES and ran:
            self.faults.append(f"{name} got {exchange.status} and has run")
        if not (exchange.finished or exchange.aborted):
            self.faults.append(f"{name} has no end")
        if 200 <= exchange.status < 300:
            self._check_success(exchange, ran)
        elif exchange.aborted:
            self.faults.append(f"{name} was cut before its answer had begun")

    def _check_abandoned(self, exchange, ends_ms):
        """A silent upstream is abandoned only for one that goes on to answer."""
        runs = [run for run in self.runs if run.request_id == exchange.request_id]
        if exchange.caller_disconnected or not runs:
            return
        if runs[-1].spoiled or runs[-1].act is Act.UNSIGNED:
            return
        if exchange.finished and b"fuchsiahatch-response-signature" in (
            exchange.answer_headers
        ):
            # An earlier upstream, which had been silent, may have answered first.
            runs = [run for run in runs if run.aborted_ms is None] or runs
        aborted_ms = runs[-1].aborted_ms
        if aborted_ms is not None and aborted_ms < ends_ms - ROUNDING_MS:
            self.faults.append(f"{exchange.request_id} was abandoned without a retry")

    def _check_success(self, exchange, ran):
        name = exchange.request_id
        signature = exchange.answer_headers.get(b"fuchsiahatch-response-signature")
        signer = next((r for r in ran if r.signature.encode() == signature), None)
        if signer is None:
            self.faults.append(f"{name} got a success that is none of its runs'")
        elif exchange.path in STREAMS:
            self._check_events(exchange)
        elif exchange.finished and exchange.answer != signer.body:
            self.faults.append(f"{name} got another body: {exchange.answer!r}")

    def _check_events(self, exchange):
        whole = [make_event(number) for number in range(1, EVENTS + 1)]
        allowed = [b"".join(whole[:count]) for count in range(EVENTS + 1)]
        if exchange.finished and exchange.answer != allowed[-1]:
            self.faults.append(f"{exchange.request_id}: {exchange.answer!r} as whole")
        if exchange.answer not in allowed:
            self.faults.append(f"{exchange.request_id}: events {exchange.answer!r}")

    def _check_final_state(self):
        if self.placer.waiting:
            self.faults.append("a request waits forever")
        for instance, upstream in self.fleet.upstreams.items():
            if upstream.local_requests:
                self.faults.append(
                    f"{instance} has lost {upstream.local_requests} places"
                )


def find_faults(scenario):
    """Run a scenario and return the violated invariants."""
    return run_virtually(lambda loop: World(scenario, loop).play())
