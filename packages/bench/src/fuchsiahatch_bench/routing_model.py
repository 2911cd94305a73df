"""A small model of upstreams with prefix caches, to compare choices over.

Discrete events on a model clock with a seeded order: no sockets, no processes.
"""

import collections
import dataclasses
import heapq
import itertools
import random
import typing as t

from fuchsiahatch_core.identities import Home, Offer
from fuchsiahatch_routing.candidates import Candidate, Upstream
from fuchsiahatch_routing.loads import OWN_WEIGHT, LoadTable

if t.TYPE_CHECKING:
    from fuchsiahatch_routing.choice import Choose

_OFFER = Offer("booking-assistant", "2")
_OFFERS = frozenset([_OFFER])


@dataclasses.dataclass(frozen=True, slots=True)
class Model:
    """Sizes and times of one experiment.

    Attributes
    ----------
    upstreams, entries : int
    limit : int
        Requests that an upstream runs at once; the others wait in order.
    cached_prefixes : int
        Prefixes that an upstream's cache holds, the least lately used goes.
    prefixes : int
        Prefixes there are.
    skew : float
        Exponent of their popularity over rank.
    decode_ms, hit_ms, miss_ms : float
        Time for the tokens, and for a prefix that is cached or is not.
    report_ms : float
        Time between two reports of an upstream's load to the entries.
    replies_tell : bool
        Whether each answer's end brings the upstream's load as well.
    own_weight : float
        Of the entries' load tables.
    load : float
        Request rate, as a part of the rate that all could serve with every
        prefix cached.
    warm_ms, duration_ms : float
        Requests that come before the first are not counted; none comes after
        the second.
    """

    upstreams: int = 16
    entries: int = 6
    limit: int = 8
    cached_prefixes: int = 40
    prefixes: int = 400
    skew: float = 1.0
    decode_ms: float = 400.0
    hit_ms: float = 20.0
    miss_ms: float = 200.0
    report_ms: float = 1_000.0
    replies_tell: bool = True
    own_weight: float = OWN_WEIGHT
    load: float = 0.7
    warm_ms: float = 5_000.0
    duration_ms: float = 35_000.0

    @property
    def rate_per_ms(self) -> float:
        """Requests a millisecond, over all entries."""
        full = self.upstreams * self.limit / (self.decode_ms + self.hit_ms)
        return self.load * full


class ModelUpstream:
    """One upstream: places, a queue and a prefix cache."""

    __slots__ = ("_cache", "_model", "running", "waiting")

    def __init__(self, model: Model) -> None:
        self._model = model
        self._cache: collections.OrderedDict[int, None] = collections.OrderedDict()
        self.running = 0
        self.waiting: collections.deque[Request] = collections.deque()

    @property
    def load(self) -> int:
        """Requests that run or wait."""
        return self.running + len(self.waiting)

    def service_ms(self, prefix: int) -> tuple[bool, float]:
        """Return whether a prefix is cached and how long its request takes."""
        model = self._model
        hit = prefix in self._cache
        self._cache[prefix] = None
        self._cache.move_to_end(prefix)
        if len(self._cache) > model.cached_prefixes:
            self._cache.popitem(last=False)
        return hit, model.decode_ms + (model.hit_ms if hit else model.miss_ms)


@dataclasses.dataclass(slots=True)
class Request:
    """One request on its way."""

    prefix: int
    entry: int
    at_ms: float
    upstream: int = -1
    hit: bool = False


@dataclasses.dataclass(slots=True)
class Result:
    """What one run came to."""

    latencies_ms: list[float] = dataclasses.field(default_factory=list)
    hits: int = 0


class Run:
    """One run of a model under one choice.

    Parameters
    ----------
    model : Model
    choose : callable
    seed : int
        Of the arrivals, the same for every choice compared.
    """

    def __init__(self, model: Model, choose: "Choose", seed: int) -> None:
        self._model = model
        self._choose = choose
        self._rng = random.Random(seed)
        self._order = itertools.count()
        self._events: list[tuple[float, int, t.Callable[..., None], t.Any]] = []
        self._upstreams = [ModelUpstream(model) for _ in range(model.upstreams)]
        self._entries = [LoadTable(model.own_weight) for _ in range(model.entries)]
        self._now_ms = 0.0
        self._weights = list(
            itertools.accumulate(
                1 / (rank + 1) ** model.skew for rank in range(model.prefixes)
            )
        )
        self.result = Result()

    def play(self) -> Result:
        """Run to the end and return what came of it."""
        self._at(0.0, self._report, None)
        self._at(0.0, self._arrive, None)
        while self._events:
            self._now_ms, _, act, argument = heapq.heappop(self._events)
            act(argument)
        return self.result

    def _at(self, at_ms: float, act: t.Callable[..., None], argument: t.Any) -> None:
        heapq.heappush(self._events, (at_ms, next(self._order), act, argument))

    def _report(self, _: None) -> None:
        for number, upstream in enumerate(self._upstreams):
            for entry in self._entries:
                entry.record_report(str(number), upstream.load)
        if self._now_ms < self._model.duration_ms:
            self._at(self._now_ms + self._model.report_ms, self._report, None)

    def _arrive(self, _: None) -> None:
        model = self._model
        (prefix,) = self._rng.choices(range(model.prefixes), cum_weights=self._weights)
        request = Request(prefix, self._rng.randrange(model.entries), self._now_ms)
        self._send(request)
        next_ms = self._now_ms + self._rng.expovariate(model.rate_per_ms)
        if next_ms < model.duration_ms:
            self._at(next_ms, self._arrive, None)

    def _send(self, request: Request) -> None:
        entry = self._entries[request.entry]
        candidates = [
            _candidate(str(number), entry, self._model.limit)
            for number in range(self._model.upstreams)
        ]
        chosen = self._choose(candidates, b"prefix-%d" % request.prefix)
        request.upstream = int(chosen.upstream.home.host)
        entry.begin(chosen.upstream.home.host)
        self._upstreams[request.upstream].waiting.append(request)
        self._fill(self._upstreams[request.upstream])

    def _fill(self, upstream: ModelUpstream) -> None:
        while upstream.waiting and upstream.running < self._model.limit:
            request = upstream.waiting.popleft()
            upstream.running += 1
            hit, service_ms = upstream.service_ms(request.prefix)
            request.hit = hit
            self._at(self._now_ms + service_ms, self._finish, request)

    def _finish(self, request: Request) -> None:
        upstream = self._upstreams[request.upstream]
        entry, host = self._entries[request.entry], str(request.upstream)
        if self._model.replies_tell:
            entry.record_report(host, upstream.load)
        entry.end(host)
        upstream.running -= 1
        if request.at_ms >= self._model.warm_ms:
            self.result.latencies_ms.append(self._now_ms - request.at_ms)
            self.result.hits += request.hit
        self._fill(upstream)


def _candidate(host: str, loads: LoadTable, limit: int) -> Candidate:
    upstream = Upstream(
        home=Home(host, "1"),
        zone="kl-a",
        address="",
        offers=_OFFERS,
        live=True,
        leaving=False,
        in_flight=round(loads.load_of(host)),
        limit=limit,
    )
    return Candidate(upstream, _OFFER)
