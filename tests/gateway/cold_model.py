"""Entries that send to cold upstreams, in virtual time, and failures of issuers."""

import asyncio
import random
import types

import orjson

from fuchsiahatch_adapter.configuration import ColdStart
from fuchsiahatch_adapter.store import Item
from fuchsiahatch_core.exceptions import RefusedError
from fuchsiahatch_gateway.cold_starts import WINDOW_MS, ColdStarts
from fuchsiahatch_gateway.datagrams import ColdPermitRequest, encode
from fuchsiahatch_gateway.fleet import Fleet
from fuchsiahatch_gateway.lookups import EntryRecord
from fuchsiahatch_gateway.permits import Permits, _choose_issuer, _weight
from fuchsiahatch_gateway.placing import Placer
from fuchsiahatch_gateway.request_traits import ANY_REQUEST, RequestTraits
from fuchsiahatch_standins.fleet_store import make_upstream_entry
from fuchsiahatch_standins.virtual_time import run_virtually
from tests.gateway.test_stated_rates import Network

COLD_START = ColdStart(3_000, 15.0)
OVER, SLACK = 1.5, 5.0
#: Most requests to a cold upstream in any second.
LIMIT = COLD_START.rate_per_s * OVER + SLACK
#: Time in which a change of the store reaches an entry, in ms.
READ_DELAY_MS = (200, 800)
#: Interval at which an upstream writes its item.
WRITE_INTERVAL_MS = 1_200
#: Time after which the registration of an entry that doesn't renew it ends.
LEASE_MS = 3_000
#: How long connecting to an upstream takes: mostly some ms, up to the timeout.
CONNECT_MS = (1, 2, 3, 3, 3, 3, 30, 290)


class ModelEntry:
    """Choice, cold starts and permits of one entry, with its own view of the others."""

    def __init__(self, number, model):
        self.node = f"front-{number}"
        self.peer = (f"10.0.0.{number + 1}", 7_000)
        self.record = EntryRecord(self.node, "a", "", self.peer)
        self.model = model
        self.alive, self.frozen_until_s = True, 0.0
        self.reads_entries = True
        self.view = {}
        self.held_datagrams = []
        self.clock = clock = model.loop.make_clock()
        self.fleet = Fleet("a", clock, random.Random(number))
        self.fleet.cold_starts = ColdStarts(
            clock,
            lambda service: COLD_START,
            OVER,
            SLACK,
            lambda: len(self.view.keys() | {self.node}),
        )
        self.permits = Permits(
            self.node,
            lambda: self.view,
            types.SimpleNamespace(send=self.send),
            clock,
            self.fleet.upstreams.get,
            self.fleet.cold_starts.permit_rate,
        )
        self.placer = Placer(self.fleet, clock, self.permits.ask)
        model.network.receivers[self.peer] = self.receive

    @property
    def runs(self):
        return self.alive and self.model.loop.time() >= self.frozen_until_s

    def send(self, message, peer):
        if self.runs:
            self.model.network.send(self.peer, encode(message), peer)

    def receive(self, message, peer):
        if not self.alive:
            return
        if not self.runs:
            self.model.loop.call_at(self.frozen_until_s, self.receive, message, peer)
        elif isinstance(message, ColdPermitRequest):
            self.permits.receive_cold_request(message, peer)
        else:
            self.permits.receive_reply(message)

    def read(self, change):
        """Apply a change of the store when it has reached this entry."""
        low, high = READ_DELAY_MS
        delay_s = self.model.rng.uniform(low, high) / 1000
        self.model.loop.call_later(delay_s, self._apply, change)

    def _apply(self, change):
        if not self.runs:
            self.model.loop.call_later(0.1, self._apply, change)
        else:
            change(self)
            self.placer.serve_waiting()

    def read_entries(self, change):
        self.read(lambda entry: change(entry) if entry.reads_entries else None)

    async def request(self):
        """Send one request where that is allowed; return its refusal, if any."""
        model = self.model
        try:
            chosen = await self.placer.acquire("svc", RequestTraits("t", 1), (), 800)
        except RefusedError as fault:
            return fault
        reserved_ms = self.clock.now_ms()
        await asyncio.sleep(model.rng.choice(CONNECT_MS) / 1000)
        while self.alive and not self.runs:
            await asyncio.sleep(self.frozen_until_s - model.loop.time() + 0.001)
        if self.alive and self.placer.may_still_send(chosen, ANY_REQUEST, reserved_ms):
            known = self.fleet.cold_starts.is_cold(chosen)
            model.arrivals.append(
                (self.clock.now_ms(), chosen.entry.instance, known, self.node)
            )
            await asyncio.sleep(0.05)
        self.placer.release(chosen)
        return None


class Model:
    """Some entries and cold upstreams, and what happens to them.

    Parameters
    ----------
    entries, upstreams : int
    demand_per_s : float
    for_s : float
    seed : int
    events : iterable of (float, callable), optional
        Times in seconds and what happens then to the model.
    lost_share : float, optional
        Share of the datagrams that are lost.
    together : bool, optional
        Whether all entries start at once, rather than know each other at the start.
    """

    def __init__(
        self,
        entries,
        upstreams,
        demand_per_s,
        for_s,
        seed,
        events=(),
        lost_share=0.0,
        together=False,
    ):
        self.entry_count, self.upstreams = entries, upstreams
        self.demand_per_s, self.for_s = demand_per_s, for_s
        self.rng = random.Random(seed)
        self.events, self.lost_share, self.together = events, lost_share, together
        self.arrivals, self.refusals = [], []
        self.revision = 1
        self.stays_cold = True
        self.crowded = []

    def run(self):
        return run_virtually(self._play)

    async def _play(self, loop):
        self.loop = loop
        self.network = Network(loop, self.rng, self.lost_share)
        self.items = {f"i{at}": self._make_item(at, 0) for at in range(self.upstreams)}
        self.entries = [ModelEntry(at, self) for at in range(self.entry_count)]
        whole = {one.node: one.record for one in self.entries}
        for one in self.entries:
            one.fleet.apply(self.items)
            if self.together:
                loop.call_later(self.rng.uniform(0, 0.3), self.register, one)
            else:
                one.view = dict(whole)
        for at, event in self.events:
            loop.call_at(at, event, self)
        running = {asyncio.ensure_future(self._note_entries_forever())}
        running.add(asyncio.ensure_future(self._write_items_forever()))
        requests = set()
        while loop.time() < self.for_s:
            entry = self._choose_entry()
            if entry.runs:
                task = asyncio.ensure_future(self._send_request(entry))
                requests.add(task)
                task.add_done_callback(requests.discard)
            await asyncio.sleep(self.rng.expovariate(self.demand_per_s))
        for task in running:
            task.cancel()
        await asyncio.gather(*requests)
        return self

    def _choose_entry(self):
        """Return the entry of the next caller: half go to those with failures."""
        crowded = [one for one in self.crowded if one.runs]
        return self.rng.choice(
            crowded if crowded and self.rng.random() < 0.5 else self.entries
        )

    async def _send_request(self, entry):
        refusal = await entry.request()
        if refusal is not None:
            self.refusals.append((entry.clock.now_ms(), refusal))

    async def _note_entries_forever(self):
        while True:
            for one in self.entries:
                if one.runs:
                    one.permits.note_entries()
            await asyncio.sleep(0.1)

    async def _write_items_forever(self):
        """Each upstream says at its own times that it is cold."""
        while True:
            for at in range(self.upstreams):
                self.loop.call_later(
                    self.rng.uniform(0, WRITE_INTERVAL_MS) / 1000,
                    self._write_item,
                    at,
                )
            await asyncio.sleep(WRITE_INTERVAL_MS / 1000)

    def _write_item(self, at):
        remaining_ms = COLD_START.duration_ms if self.stays_cold else 0
        item = self._make_item(at, remaining_ms)

        def change(entry):
            known = entry.fleet_items if hasattr(entry, "fleet_items") else self.items
            entry.fleet_items = {**known, f"i{at}": item}
            entry.fleet.apply(entry.fleet_items)

        for one in self.entries:
            one.read(change)

    def _make_item(self, at, remaining_ms):
        self.revision += 1
        fields = make_upstream_entry(
            "svc", f"10.1.0.{at + 1}:80", slots=50, coldRemainingMs=remaining_ms
        )
        return Item(f"servers/i{at}", orjson.dumps(fields), self.revision, 1)

    def register(self, joining):
        """Add a registration to the store, or end it for an entry that is gone."""
        record = joining.record
        for one in self.entries:
            one.read_entries(lambda entry: entry.view.update({record.node: record}))

    def unregister(self, leaving):
        for one in self.entries:
            one.read_entries(lambda entry: entry.view.pop(leaving.node, None))

    def issuer(self, instance="i0"):
        """Return the entry that issues an upstream's permits by most views."""
        alive = [one for one in self.entries if one.alive and one.reads_entries]
        views = [_choose_issuer(one.view, instance) for one in alive]
        node = max(sorted(set(views)), key=views.count)
        return next(one for one in self.entries if one.node == node)

    def ranking(self, instance="i0"):
        """Return the entries, first the issuer, then those that would follow it."""
        return sorted(
            self.entries, key=lambda one: _weight(one.node, instance), reverse=True
        )

    def kill(self, entry):
        entry.alive = False
        self.loop.call_later(LEASE_MS / 1000, self.unregister, entry)

    def leave(self, entry):
        """Leave with an announcement that reaches the others at once."""
        self.crowded.append(entry)
        for one in self.entries:
            if one is not entry:
                one.view.pop(entry.node, None)

    def freeze(self, entry, for_s):
        entry.frozen_until_s = self.loop.time() + for_s
        if for_s > LEASE_MS / 1000:
            self.loop.call_later(LEASE_MS / 1000, self.unregister, entry)
            self.loop.call_later(for_s, self.register, entry)

    def cut(self, entry, for_s):
        """Cut an entry off from the others, of which it learns nothing more."""
        self.crowded.append(entry)
        self.network.cut.add(entry.peer)
        entry.reads_entries = False
        self.loop.call_later(LEASE_MS / 1000, self.unregister, entry)
        self.loop.call_later(for_s, self._mend, entry)

    def _mend(self, entry):
        self.network.cut.discard(entry.peer)
        entry.reads_entries = True
        self.register(entry)

    def keep_view(self, entries):
        """Let some entries learn of no change of the others any more."""
        for one in entries:
            one.reads_entries = False

    def join(self):
        """Add an entry that starts."""
        joining = ModelEntry(len(self.entries), self)
        joining.view = dict(self.issuer().view)
        joining.fleet.apply(self.items)
        self.entries.append(joining)
        self.register(joining)
        self.crowded.append(joining)

    def most_in_a_second(self, instance, known_only=True):
        """Return the most requests in any second of entries that know it is cold."""
        times = [
            at
            for at, where, known, _ in self.arrivals
            if where == instance and (known or not known_only)
        ]
        return max(
            (sum(at <= other < at + WINDOW_MS for other in times) for at in times),
            default=0,
        )

    def rate(self, instance, from_ms, until_ms):
        """Return the mean rate of requests to an upstream, per second."""
        count = sum(
            where == instance and from_ms <= at < until_ms
            for at, where, _, _ in self.arrivals
        )
        return 1_000 * count / (until_ms - from_ms)
