"""Seeded random schedules over the placement model, looking for stale admission."""

import collections
import dataclasses
import itertools
import random
import typing as t

from fuchsiahatch_bench.placement_model import (
    PLACEMENT,
    SERVICE,
    MakeEntry,
    Message,
    Model,
    Reverted,
    StaleAdmission,
)
from fuchsiahatch_placement import acceptance
from fuchsiahatch_placement.rosters import Voter

_PAUSED_SIDE = 2
_ROUND_MS = 500
_ROUNDS = (2, 13)
_HOPS = 4
_SERVICE_UP = 0.75
_WHOLE = 0.25
_PAUSED = 0.4
_RESTART = 0.8
_WRITE = 0.6
_OLD_WATCH = 0.2
_TICK = 0.7
_LOST_IN_CUT = 0.02
_LOST = 0.05
_TIMED_OUT = 0.07
_DELIVERED = 0.85


@dataclasses.dataclass(frozen=True, slots=True)
class Scope:
    """What a search goes over.

    Attributes
    ----------
    voters, observers : tuple of Voter
    phases : int
        Stretches of one schedule, each under one partition.
    roster_changes : bool
        Whether hosts join and leave the roster.
    """

    voters: tuple[Voter, ...]
    observers: tuple[Voter, ...] = ()
    phases: int = 6
    roster_changes: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Found:
    """A schedule that broke the rule, with its session."""

    seed: int
    fault: str
    log: tuple[str, ...]


@dataclasses.dataclass(slots=True)
class Tally:
    """What a search went through.

    Attributes
    ----------
    schedules : int
    ends : counter of str
        How writes ended, by segment.
    found : list of Found
    """

    schedules: int = 0
    ends: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    found: list[Found] = dataclasses.field(default_factory=list)


def search(
    scope: Scope,
    seeds: t.Iterable[int],
    make_entry: MakeEntry = acceptance.EntryConfiguration,
    most_found: int = 1,
) -> Tally:
    """Run a schedule for each seed.

    Parameters
    ----------
    scope : Scope
    seeds : iterable of int
    make_entry : callable, optional
        Makes the entries; one without a guard shows what the guard is for.
    most_found : int, optional
        After so many broken schedules the search ends.

    Returns
    -------
    Tally
    """
    tally = Tally()
    for seed in seeds:
        model = Model(scope.voters, scope.observers, make_entry)
        try:
            _run(model, scope, random.Random(seed))
        except (StaleAdmission, Reverted) as fault:
            tally.found.append(Found(seed, str(fault), tuple(model.log)))
        tally.schedules += 1
        tally.ends.update(
            f"{writer.segment} {writer.end.outcome.value}"
            for writer in model.writers.values()
            if writer.end is not None
        )
        if len(tally.found) >= most_found:
            break
    return tally


def _run(model: Model, scope: Scope, rng: random.Random) -> None:
    _warm_up(model)
    for _ in range(scope.phases):
        _phase(model, scope, rng)


def _warm_up(model: Model) -> None:
    for host in model.entries:
        model.tick_entry(host)
    model.deliver_all()


def _phase(model: Model, scope: Scope, rng: random.Random) -> None:
    """Let some rounds pass under one partition, after restarts and new writes."""
    hosts = sorted(model.entries)
    sides = _partition(rng, hosts)
    if rng.random() < _PAUSED:
        sides[rng.choice(hosts)] = _PAUSED_SIDE
    model.service_up = rng.random() < _SERVICE_UP
    model.note(_describe_phase(model, sides))
    for host in hosts:
        if rng.random() < _RESTART / len(hosts):
            model.start_entry(host)
    if rng.random() < _WRITE:
        model.begin_write()
    if scope.roster_changes and rng.random() < _WRITE:
        model.begin_roster_write(rng.choice(hosts))
    if rng.random() < _OLD_WATCH:
        model.send_watch(rng.choice(hosts), model.values[PLACEMENT][0])
    for _ in range(rng.randint(*_ROUNDS)):
        _round(model, rng, sides)


def _round(model: Model, rng: random.Random, sides: dict[str, int]) -> None:
    model.advance(_ROUND_MS)
    for host in sorted(model.entries):
        if rng.random() < _TICK and sides.get(host) != _PAUSED_SIDE:
            model.tick_entry(host)
    for _ in range(_HOPS):
        for message in list(model.messages):
            _move(model, rng, sides, message)


def _move(
    model: Model, rng: random.Random, sides: dict[str, int], message: Message
) -> None:
    if message not in model.messages:
        return
    source, target = sides.get(message.source), sides.get(message.target)
    chance = rng.random()
    if target == _PAUSED_SIDE:
        return
    if None not in (source, target) and source != target:
        if chance < _LOST_IN_CUT:
            model.lose(message)
    elif chance < _LOST:
        model.lose(message)
    elif chance < _TIMED_OUT:
        model.give_up_waiting(message)
    elif chance < _DELIVERED:
        model.deliver(message)


def _partition(rng: random.Random, hosts: list[str]) -> dict[str, int]:
    """Put hosts and service on two sides; writers reach all that answer them."""
    if rng.random() < _WHOLE:
        return {}
    return {name: rng.randint(0, 1) for name in (*hosts, SERVICE)}


def _describe_phase(model: Model, sides: dict[str, int]) -> str:
    groups = itertools.groupby(sorted(sides, key=sides.__getitem__), sides.get)
    text = " | ".join(", ".join(group) for _, group in groups) or "no cut"
    return f"{text}; service {'up' if model.service_up else 'down'}"
