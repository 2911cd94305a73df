"""Strategies for choosing one of the candidates, as closures of one signature."""

import heapq
import math
import typing as t

import xxhash

if t.TYPE_CHECKING:
    import random

    from fuchsiahatch_routing.candidates import Candidate

Choose = t.Callable[[t.Sequence["Candidate"], bytes], "Candidate"]

#: Multiple of the mean load up to which a prefix's first-ranked upstream is filled.
LOAD_BOUND = 1.25
#: Factor by which the load of a straggler is multiplied.
STRAGGLER_FACTOR = 3.0
#: Bytes of a request's messages that make up its prefix.
PREFIX_BYTES = 1_024

_MESSAGES_FIELD = b'"messages"'


def at_random(rng: "random.Random") -> Choose:
    """Return a choice that ignores load."""

    def choose(candidates: t.Sequence["Candidate"], prefix: bytes) -> "Candidate":
        return rng.choice(candidates)

    return choose


def least_loaded(rng: "random.Random") -> Choose:
    """Return a choice of the least loaded candidate, with ties broken at random."""

    def choose(candidates: t.Sequence["Candidate"], prefix: bytes) -> "Candidate":
        return min(candidates, key=lambda one: (load_of(one), rng.random()))

    return choose


def better_of_two(rng: "random.Random") -> Choose:
    """Return a choice that takes the less loaded of two random candidates."""

    def choose(candidates: t.Sequence["Candidate"], prefix: bytes) -> "Candidate":
        count = min(2, len(candidates))
        return min(rng.sample(list(candidates), count), key=load_of)

    return choose


def prefix_affinity(rng: "random.Random", bound: float = LOAD_BOUND) -> Choose:
    """Return a choice that keeps a prefix at one upstream while load allows.

    Parameters
    ----------
    rng : random.Random
        For requests without a prefix.
    bound : float
        The first-ranked upstream is filled up to this multiple of the mean load.

    Notes
    -----
    The upstreams are ranked for each prefix by rendezvous hash, so that adding or
    removing one moves only its own prefixes. The first is taken while it is
    within the bound, else the less loaded of the next two in rank, so that a
    prefix in heavy demand occupies few prefix caches.
    """
    without_prefix = better_of_two(rng)

    def choose(candidates: t.Sequence["Candidate"], prefix: bytes) -> "Candidate":
        if not prefix or len(candidates) == 1:
            return without_prefix(candidates, prefix)
        first, *alternatives = heapq.nlargest(3, candidates, key=_ranking(prefix))
        if _within_bound(first, candidates, bound):
            return first
        return min(alternatives, key=load_of)

    return choose


def prefix_of(body: bytes) -> bytes:
    """Return the part of a request that an engine's prefix cache may hold.

    Parameters
    ----------
    body : bytes
        A chat completion request, or the body of any other call.

    Returns
    -------
    bytes
        Empty when the body has no messages; the choice then goes by load alone.
    """
    start = body.find(_MESSAGES_FIELD)
    return b"" if start < 0 else body[start : start + PREFIX_BYTES]


def load_of(candidate: "Candidate") -> float:
    """Return the utilization of a candidate with one more request.

    Notes
    -----
    All ranks of a group advance in lock-step, so one straggler slows every
    request of its group; its load is multiplied by `STRAGGLER_FACTOR`. It is
    never excluded: a wrong report must not leave a request without candidates.
    """
    upstream = candidate.upstream
    load = (upstream.in_flight + upstream.queued + 1) / max(1, upstream.limit)
    return load * STRAGGLER_FACTOR if upstream.straggling else load


def _ranking(prefix: bytes) -> t.Callable[["Candidate"], int]:
    def rank(candidate: "Candidate") -> int:
        host = candidate.upstream.home.host.encode()
        return xxhash.xxh3_64_intdigest(host + b"\0" + prefix)

    return rank


def _within_bound(
    candidate: "Candidate", candidates: t.Sequence["Candidate"], bound: float
) -> bool:
    upstream = candidate.upstream
    if upstream.straggling:
        return False
    total = sum(one.upstream.in_flight + one.upstream.queued for one in candidates)
    # Rounded up: at low load the bound must still admit one request somewhere.
    max_load = math.ceil(bound * (total + 1) / len(candidates))
    return upstream.in_flight + upstream.queued < max_load
