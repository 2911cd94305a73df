"""Choosing one of the candidates."""

import typing as t

if t.TYPE_CHECKING:
    import random

    from fuchsiahatch_routing.candidates import Candidate

Choose = t.Callable[[t.Sequence["Candidate"], bytes], "Candidate"]


def better_of_two(rng: "random.Random") -> Choose:
    """Return a choice that takes the less loaded of two random candidates."""

    def choose(candidates: t.Sequence["Candidate"], prefix: bytes) -> "Candidate":
        count = min(2, len(candidates))
        return min(rng.sample(list(candidates), count), key=load_of)

    return choose


def load_of(candidate: "Candidate") -> float:
    """Return how full a candidate is, from 0 for idle."""
    upstream = candidate.upstream
    return (upstream.in_flight + upstream.queued) / max(1, upstream.limit)
