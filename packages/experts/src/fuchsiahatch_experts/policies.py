"""Rebalancing policies, as closures with one signature."""

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

#: A rent-to-buy account is checked again once it has grown by this factor, so that few
#: searches are made during a long quiet time.
RECHECK_GROWTH = 1.2
#: Lower limit of an expert's forecast popularity, as a share of the current one.
MIN_FORECAST_SHARE = 0.25


@dataclasses.dataclass(frozen=True, slots=True, eq=False)
class Observation:
    """Input of a policy's periodic decision; none is made while weights are fetched.

    Attributes
    ----------
    now_ms : int
    current : ExpertMap
        The current map.
    popularity : ndarray, shape (layers, experts)
        Running estimate.
    exposure_ms : float
        Time in expert layers since the last observation, as it would have been on
        equally loaded ranks. Multiplied by (skew - 1) it is the time lost.
    """

    now_ms: int
    current: "ExpertMap"
    popularity: "npt.NDArray[np.float64]"
    exposure_ms: float


@dataclasses.dataclass(frozen=True, slots=True)
class Tuning:
    """Parameters of the payback policy on a forecast.

    Attributes
    ----------
    horizon_ms : float
        Exposure over which a move must pay off.
    lead_ms : int
        Time by which popularity is forecast.
    """

    horizon_ms: float
    lead_ms: int


#: Defaults of each deployment by ranks per group; `make tune-experts` computes them.
GERAK_BERSAMA_TUNING = {16: Tuning(30_000.0, 120_000), 64: Tuning(60_000.0, 60_000)}
GERALDTON_TUNING = {16: Tuning(200_000.0, 60_000), 64: Tuning(200_000.0, 60_000)}

#: Returns the map to move to, or None to keep the current one.
Policy = t.Callable[[Observation], "ExpertMap | None"]
#: Proposes a map to move to.
Plan = t.Callable[[Observation], "ExpertMap"]


def plan_afresh(slots: int) -> Plan:
    """Return a plan that packs from scratch, ignoring the current map."""

    def plan(observation: Observation) -> "ExpertMap":
        ranks = observation.current.placed.shape[2]
        return pack(observation.popularity, ranks, slots)

    return plan


def plan_changes(slots: int, min_gain: float) -> Plan:
    """Return a plan that changes the current map by worthwhile moves.

    Parameters
    ----------
    slots : int
    min_gain : float
        Minimum fall in skew per move.
    """

    def plan(observation: Observation) -> "ExpertMap":
        return improve(observation.current, observation.popularity, slots, min_gain)

    return plan


def never() -> Policy:
    """Return the policy that never changes the map."""
    return lambda observation: None


def periodic(period_ms: int, plan: Plan) -> Policy:
    """Return the policy that moves every `period_ms`, regardless of the gain."""
    last_ms: int | None = None

    def decide(observation: Observation) -> "ExpertMap | None":
        nonlocal last_ms
        if last_ms is None:
            last_ms = observation.now_ms
        if observation.now_ms - last_ms < period_ms:
            return None
        last_ms = observation.now_ms
        return _if_changed(observation.current, plan(observation))

    return decide


def threshold(skew_limit: float, plan: Plan) -> Policy:
    """Return the policy that moves when the mean skew exceeds a limit."""

    def decide(observation: Observation) -> "ExpertMap | None":
        if layer_skew(observation.current, observation.popularity).mean() <= skew_limit:
            return None
        return _if_changed(observation.current, plan(observation))

    return decide


def rent_to_buy(prices: "Prices", plan: Plan) -> Policy:
    """Return the policy that moves the whole map at break-even.

    It moves once the cost of skew since the last move that the new map would have
    avoided equals the price of the move.
    """
    exposure_ms = 0.0
    next_check_exposure_ms = 0.0

    def decide(observation: Observation) -> "ExpertMap | None":
        nonlocal exposure_ms, next_check_exposure_ms
        exposure_ms += observation.exposure_ms
        if exposure_ms < next_check_exposure_ms:
            return None
        target = plan(observation)
        saving = _saving(prices, observation, target, exposure_ms)
        if saving <= 0 or saving < _price(prices, observation, target):
            next_check_exposure_ms = exposure_ms * RECHECK_GROWTH
            return None
        exposure_ms = next_check_exposure_ms = 0.0
        return _if_changed(observation.current, target)

    return decide


def rent_to_buy_by_layer(
    prices: "Prices", slots: int, credit_ms: float = 0.0
) -> Policy:
    """Return the policy that moves each layer at its own break-even.

    Each layer has its own account and makes the part of a move whose saving, over the
    time since the layer's last move, equals its price.

    Parameters
    ----------
    prices : Prices
    slots : int
    credit_ms : float, optional
        Initial exposure of an account; with more, a layer moves sooner.
    """
    exposures_ms: npt.NDArray[np.float64] | None = None
    next_check_exposures_ms: npt.NDArray[np.float64] | None = None

    def decide(observation: Observation) -> "ExpertMap | None":
        nonlocal exposures_ms, next_check_exposures_ms
        layers = len(observation.popularity)
        if exposures_ms is None or next_check_exposures_ms is None:
            exposures_ms = np.full(layers, credit_ms / layers)
            next_check_exposures_ms = np.zeros(layers)
        exposures_ms += observation.exposure_ms / layers
        due = exposures_ms >= next_check_exposures_ms
        gains = _min_gains(prices, exposures_ms, due)
        next_check_exposures_ms[due] = exposures_ms[due] * RECHECK_GROWTH
        target = improve(observation.current, observation.popularity, slots, gains)
        moved = count_moves(observation.current, target) > 0
        exposures_ms[moved] = credit_ms / layers
        next_check_exposures_ms[moved] = 0.0
        return _if_changed(observation.current, target)

    return decide


def payback(
    prices: "Prices", slots: int, horizon_ms: float, period_ms: int = 0
) -> Policy:
    """Return the policy that makes every move that pays off within a horizon.

    Parameters
    ----------
    prices : Prices
    slots : int
    horizon_ms : float
        Exposure over which a move must pay off; longer where popularity is stable for
        longer.
    period_ms : int, optional
        Minimum interval between two searches.
    """
    last_ms: int | None = None

    def decide(observation: Observation) -> "ExpertMap | None":
        nonlocal last_ms
        if last_ms is not None and observation.now_ms - last_ms < period_ms:
            return None
        last_ms = observation.now_ms
        layers = len(observation.popularity)
        min_gain = prices.move_ms * layers / (prices.skew * horizon_ms)
        target = improve(observation.current, observation.popularity, slots, min_gain)
        return _if_changed(observation.current, target)

    return decide


def forecast(policy: Policy, lead_ms: int) -> Policy:
    """Return a policy that decides on popularity extrapolated by its trend.

    Parameters
    ----------
    policy : Policy
    lead_ms : int
        Time to extrapolate by, over which the trend is taken as well.
    """
    history: list[tuple[int, npt.NDArray[np.float64]]] = []

    def decide(observation: Observation) -> "ExpertMap | None":
        history.append((observation.now_ms, observation.popularity))
        while len(history) > 1 and observation.now_ms - history[1][0] >= lead_ms:
            history.pop(0)
        past_ms, past = history[0]
        scale = lead_ms / max(observation.now_ms - past_ms, 1)
        ahead = observation.popularity + min(scale, 1.0) * (
            observation.popularity - past
        )
        ahead = np.maximum(ahead, MIN_FORECAST_SHARE * observation.popularity)
        return policy(dataclasses.replace(observation, popularity=ahead))

    return decide


def tuned_policy(
    prices: "Prices", slots: int, ranks: int, tunings: t.Mapping[int, Tuning]
) -> Policy:
    """Return payback on a forecast where tuned, else rent-to-buy by layer.

    Parameters
    ----------
    prices : Prices
    slots, ranks : int
    tunings : mapping of int to Tuning
        By ranks per group, such as `GERAK_BERSAMA_TUNING`.
    """
    tuning = tunings.get(ranks)
    if tuning is None:
        return rent_to_buy_by_layer(prices, slots)
    return forecast(payback(prices, slots, tuning.horizon_ms), tuning.lead_ms)


def _if_changed(current: "ExpertMap", target: "ExpertMap") -> "ExpertMap | None":
    return None if np.array_equal(current.placed, target.placed) else target


def _price(prices: "Prices", observation: Observation, target: "ExpertMap") -> float:
    return prices.move_ms * float(count_moves(observation.current, target).sum())


def _saving(
    prices: "Prices", observation: Observation, target: "ExpertMap", exposure_ms: float
) -> float:
    before = layer_skew(observation.current, observation.popularity).mean()
    after = layer_skew(target, observation.popularity).mean()
    return prices.skew * exposure_ms * float(before - after)


def _min_gains(
    prices: "Prices",
    exposures_ms: "npt.NDArray[np.float64]",
    due: "npt.NDArray[np.bool_]",
) -> "npt.NDArray[np.float64]":
    paid = prices.skew * np.where(due, exposures_ms, 0.0)
    gains = np.full(len(paid), np.inf)
    return np.divide(prices.move_ms, paid, out=gains, where=paid > 0)
