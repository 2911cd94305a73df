"""Seeded workloads of drifting expert popularity, one for each deployment."""

import dataclasses
import typing as t

import numpy as np

if t.TYPE_CHECKING:
    import numpy.typing as npt

    Floats = npt.NDArray[np.float64]

#: Time between two samples of a step.
INTERVAL_MS = 30_000
#: Layers simulated; each stands for 16 of a model's 32.
LAYERS = 2
EXPERTS = 64
#: Expert choices in one step per rank, at full load.
CHOICES_PER_RANK = 256
#: Steps that the estimate sees per interval; the others are not sampled.
OBSERVED_STEPS = 16
#: Steps per interval: "a few milliseconds or more" each, with idle time between.
STEPS_PER_INTERVAL = 2_000

#: One evening of booking.
EVENING_INTERVALS = 240
RUSHES = 5
CHAINS = 6
#: Pre-dawn runs on consecutive days, half an hour each.
RUNS = 3
RUN_INTERVALS = 60
DAY_MS = 86_400_000


@dataclasses.dataclass(frozen=True, slots=True, eq=False)
class Workload:
    """Popularity over time, and a sample of steps drawn from it.

    Attributes
    ----------
    times_ms : ndarray of int, shape (intervals,)
    before : ndarray, shape (layers, experts)
        Popularity that the first map is packed for, known from earlier days.
    truth : ndarray, shape (intervals, layers, experts)
        Expected share of each expert.
    observed : ndarray of int, shape (intervals, layers, experts)
        Token counts that the estimate is given.
    step : ndarray of int, shape (intervals, layers, experts)
        Token counts of one step of the interval, by which skew is measured.
    load : ndarray, shape (intervals,)
        Tokens in a step as a share of a full step.
    """

    times_ms: "npt.NDArray[np.int_]"
    before: "Floats"
    truth: "Floats"
    observed: "npt.NDArray[np.int_]"
    step: "npt.NDArray[np.int_]"
    load: "Floats"


def booking_rushes(seed: int, ranks: int) -> Workload:
    """Make an evening on which the members of some chains rush to book.

    Each chain has its own preference for experts. A rush rises within minutes,
    ebbs over a quarter of an hour or more, and adds its chain's preference to the
    everyday one.
    """
    rng = np.random.default_rng([seed, 1])
    everyday = _preference(rng, 0.5)
    chains = np.stack([_preference(rng, 1.0) for _ in range(CHAINS)])
    intervals = np.arange(EVENING_INTERVALS)
    weights = np.zeros((EVENING_INTERVALS, CHAINS))
    for start in rng.uniform(0, EVENING_INTERVALS * 0.9, RUSHES):
        height = rng.uniform(0.8, 2.5)
        rise = rng.uniform(3, 12)
        ebb = rng.uniform(20, 60)
        weights[:, rng.integers(CHAINS)] += height * _pulse(
            intervals - start, rise, ebb
        )
    mixed = everyday + np.einsum("tc,cle->tle", weights, chains)
    truth = mixed / mixed.sum(axis=2, keepdims=True)
    load = np.minimum(1.0, 0.4 + 0.3 * weights.sum(axis=1))
    return _sample(rng, intervals * INTERVAL_MS, everyday, truth, load, ranks)


def moving_fronts(seed: int, ranks: int) -> Workload:
    """Make short pre-dawn runs over a front that moves along the shelf.

    Experts prefer places along the shelf. The front drifts during a run, moves on
    by a good part of its own width between two days, and its width changes.
    """
    rng = np.random.default_rng([seed, 2])
    homes = np.stack([rng.permutation(EXPERTS) / EXPERTS for _ in range(LAYERS)])
    base = _preference(rng, 0.3)
    place = rng.uniform(0, 1)
    before = _at_front(base, homes, place, 0.12)
    times_ms, truths, loads = [], [], []
    for day in range(RUNS):
        place += rng.normal(0, 0.12)
        width = rng.uniform(0.08, 0.16)
        speed = rng.normal(0, 0.1) / RUN_INTERVALS
        for interval in range(RUN_INTERVALS):
            place += speed + rng.normal(0, 0.004)
            truths.append(_at_front(base, homes, place, width))
            loads.append(min(1.0, 0.5 + interval / 8))
            times_ms.append(day * DAY_MS + interval * INTERVAL_MS)
    times = np.array(times_ms)
    return _sample(rng, times, before, np.stack(truths), np.array(loads), ranks)


def _preference(rng: np.random.Generator, spread: float) -> "Floats":
    drawn = rng.lognormal(0.0, spread, (LAYERS, EXPERTS))
    return drawn / drawn.sum(axis=1, keepdims=True)


def _pulse(age: "Floats", rise: float, ebb: float) -> "Floats":
    rising = np.clip(age / rise, 0.0, 1.0)
    return rising * np.exp(-np.maximum(age - rise, 0.0) / ebb)


def _at_front(base: "Floats", homes: "Floats", place: float, width: float) -> "Floats":
    distance = np.abs(homes - place % 1.0)
    around = np.minimum(distance, 1.0 - distance)
    mixed = base * (0.4 + 3.0 * np.exp(-0.5 * (around / width) ** 2))
    return mixed / mixed.sum(axis=1, keepdims=True)


def _sample(
    rng: np.random.Generator,
    times_ms: "npt.NDArray[np.int_]",
    before: "Floats",
    truth: "Floats",
    load: "Floats",
    ranks: int,
) -> Workload:
    choices = (load * ranks * CHOICES_PER_RANK).astype(int)[:, np.newaxis]
    step = rng.multinomial(choices, truth)
    observed = rng.multinomial(choices * OBSERVED_STEPS, truth)
    return Workload(times_ms, before, truth, observed, step, load)
