"""When to rebalance: policies as closures with one signature."""

import dataclasses
import typing as t

import numpy as np

from fuchsiahatch_experts.costs import layer_skew
from fuchsiahatch_experts.maps import count_moves
from fuchsiahatch_experts.packing import improve, pack

if t.TYPE_CHECKING:
    import numpy.typing as npt

    from fuchsiahatch_experts.costs import Prices
    from fuchsiahatch_experts.maps import ExpertMap

#: A rent-to-buy account is looked at again once it has grown by this factor, so
#: that a long quiet time asks for few searches.
LOOK_AGAIN = 1.2
#: Least share of a forecast that an expert keeps of its present popularity.
LEAST_FORECAST = 0.25


@dataclasses.dataclass(frozen=True, slots=True, eq=False)
class Observation:
    """What a policy is told from time to time; never while weights are fetched.

    Attributes
    ----------
    now_ms : int
    current : ExpertMap
        The map in force.
    popularity : ndarray, shape (layers, experts)
        Running estimate.
    exposure_ms : float
        Expert time of the steps since the last observation, as it would have been
        on equally loaded ranks. Times (skew - 1) it is the time lost.
    """

    now_ms: int
    current: "ExpertMap"
    popularity: "npt.NDArray[np.float64]"
    exposure_ms: float


@dataclasses.dataclass(frozen=True, slots=True)
class Tuning:
    """Parameters of payback on a forecast.

    Attributes
    ----------
    horizon_ms : float
        Exposure over which a move must earn its price.
    lead_ms : int
        How far ahead popularity is forecast.
    """

    horizon_ms: float
    lead_ms: int


#: Each deployment's default by ranks of a group, as `make tune-experts` chose it.
GERAK_BERSAMA_TUNING = {16: Tuning(30_000.0, 120_000), 64: Tuning(60_000.0, 60_000)}
GERALDTON_TUNING = {16: Tuning(200_000.0, 60_000), 64: Tuning(200_000.0, 60_000)}

#: Returns the map to move to, or None to stay.
Policy = t.Callable[[Observation], "ExpertMap | None"]
#: Proposes a map to move to.
Plan = t.Callable[[Observation], "ExpertMap"]


def plan_afresh(slots: int) -> Plan:
    """Return a plan that packs anew and pays no heed to the current map."""

    def plan(seen: Observation) -> "ExpertMap":
        ranks = seen.current.placed.shape[2]
        return pack(seen.popularity, ranks, slots)

    return plan


def plan_changes(slots: int, least_gain: float) -> Plan:
    """Return a plan that changes the current map where a move brings enough.

    Parameters
    ----------
    slots : int
    least_gain : float
        Fall in skew that one move must bring.
    """

    def plan(seen: Observation) -> "ExpertMap":
        return improve(seen.current, seen.popularity, slots, least_gain)

    return plan


def never() -> Policy:
    """Return the policy that keeps the map."""
    return lambda seen: None


def periodic(period_ms: int, plan: Plan) -> Policy:
    """Return the policy that moves each `period_ms`, whatever it brings."""
    last_ms: int | None = None

    def decide(seen: Observation) -> "ExpertMap | None":
        nonlocal last_ms
        if last_ms is None:
            last_ms = seen.now_ms
        if seen.now_ms - last_ms < period_ms:
            return None
        last_ms = seen.now_ms
        return _if_changed(seen.current, plan(seen))

    return decide


def threshold(skew_limit: float, plan: Plan) -> Policy:
    """Return the policy that moves when the mean skew passes a limit."""

    def decide(seen: Observation) -> "ExpertMap | None":
        if layer_skew(seen.current, seen.popularity).mean() <= skew_limit:
            return None
        return _if_changed(seen.current, plan(seen))

    return decide


def rent_to_buy(prices: "Prices", plan: Plan) -> Policy:
    """Return the policy that moves the whole map at break-even.

    It moves once the skew paid since the last move, as far as the new map would
    have saved it, equals the price of the move.
    """
    exposure_ms = 0.0
    look_at_ms = 0.0

    def decide(seen: Observation) -> "ExpertMap | None":
        nonlocal exposure_ms, look_at_ms
        exposure_ms += seen.exposure_ms
        if exposure_ms < look_at_ms:
            return None
        target = plan(seen)
        saving = _saving(prices, seen, target, exposure_ms)
        if saving <= 0 or saving < _price(prices, seen, target):
            look_at_ms = exposure_ms * LOOK_AGAIN
            return None
        exposure_ms = look_at_ms = 0.0
        return _if_changed(seen.current, target)

    return decide


def rent_to_buy_by_layer(
    prices: "Prices", slots: int, credit_ms: float = 0.0
) -> Policy:
    """Return the policy that moves each layer at its own break-even.

    Each layer has an account of its own, and buys the part of a move whose saving,
    over the time since the layer's last move, equals its price.

    Parameters
    ----------
    prices : Prices
    slots : int
    credit_ms : float, optional
        Exposure that an account starts with; more lets a layer move sooner.
    """
    exposures_ms: npt.NDArray[np.float64] | None = None
    looks_at_ms: npt.NDArray[np.float64] | None = None

    def decide(seen: Observation) -> "ExpertMap | None":
        nonlocal exposures_ms, looks_at_ms
        layers = len(seen.popularity)
        if exposures_ms is None or looks_at_ms is None:
            exposures_ms = np.full(layers, credit_ms / layers)
            looks_at_ms = np.zeros(layers)
        exposures_ms += seen.exposure_ms / layers
        due = exposures_ms >= looks_at_ms
        gains = _least_gains(prices, exposures_ms, due)
        looks_at_ms[due] = exposures_ms[due] * LOOK_AGAIN
        target = improve(seen.current, seen.popularity, slots, gains)
        moved = count_moves(seen.current, target) > 0
        exposures_ms[moved] = credit_ms / layers
        looks_at_ms[moved] = 0.0
        return _if_changed(seen.current, target)

    return decide


def payback(
    prices: "Prices", slots: int, horizon_ms: float, period_ms: int = 0
) -> Policy:
    """Return the policy that makes every move which pays within a horizon.

    Parameters
    ----------
    prices : Prices
    slots : int
    horizon_ms : float
        Exposure over which a move must earn its price; longer where popularity
        stays as it is for longer.
    period_ms : int, optional
        Least time between two searches.
    """
    last_ms: int | None = None

    def decide(seen: Observation) -> "ExpertMap | None":
        nonlocal last_ms
        if last_ms is not None and seen.now_ms - last_ms < period_ms:
            return None
        last_ms = seen.now_ms
        layers = len(seen.popularity)
        least_gain = prices.move_ms * layers / (prices.skew * horizon_ms)
        target = improve(seen.current, seen.popularity, slots, least_gain)
        return _if_changed(seen.current, target)

    return decide


def forecast(policy: Policy, lead_ms: int) -> Policy:
    """Return a policy that is shown popularity as it will be if its trend goes on.

    Parameters
    ----------
    policy : Policy
    lead_ms : int
        How far ahead to look, and the time over which the trend is taken.
    """
    history: list[tuple[int, npt.NDArray[np.float64]]] = []

    def decide(seen: Observation) -> "ExpertMap | None":
        history.append((seen.now_ms, seen.popularity))
        while len(history) > 1 and seen.now_ms - history[1][0] >= lead_ms:
            history.pop(0)
        then_ms, then = history[0]
        scale = lead_ms / max(seen.now_ms - then_ms, 1)
        ahead = seen.popularity + min(scale, 1.0) * (seen.popularity - then)
        ahead = np.maximum(ahead, LEAST_FORECAST * seen.popularity)
        return policy(dataclasses.replace(seen, popularity=ahead))

    return decide


def tuned_policy(
    prices: "Prices", slots: int, ranks: int, tunings: t.Mapping[int, Tuning]
) -> Policy:
    """Return payback on a forecast where it was tuned, else rent-to-buy by layer.

    Parameters
    ----------
    prices : Prices
    slots, ranks : int
    tunings : mapping of int to Tuning
        By ranks of a group, as `GERAK_BERSAMA_TUNING`.
    """
    tuning = tunings.get(ranks)
    if tuning is None:
        return rent_to_buy_by_layer(prices, slots)
    return forecast(payback(prices, slots, tuning.horizon_ms), tuning.lead_ms)


def _if_changed(current: "ExpertMap", target: "ExpertMap") -> "ExpertMap | None":
    return None if np.array_equal(current.placed, target.placed) else target


def _price(prices: "Prices", seen: Observation, target: "ExpertMap") -> float:
    return prices.move_ms * float(count_moves(seen.current, target).sum())


def _saving(
    prices: "Prices", seen: Observation, target: "ExpertMap", exposure_ms: float
) -> float:
    before = layer_skew(seen.current, seen.popularity).mean()
    after = layer_skew(target, seen.popularity).mean()
    return prices.skew * exposure_ms * float(before - after)


def _least_gains(
    prices: "Prices",
    exposures_ms: "npt.NDArray[np.float64]",
    due: "npt.NDArray[np.bool_]",
) -> "npt.NDArray[np.float64]":
    paid = prices.skew * np.where(due, exposures_ms, 0.0)
    gains = np.full(len(paid), np.inf)
    return np.divide(prices.move_ms, paid, out=gains, where=paid > 0)
