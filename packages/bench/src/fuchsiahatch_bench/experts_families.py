"""The compared policies, and the parameters that tuning may choose for each."""

import dataclasses
import itertools
import typing as t

from fuchsiahatch_experts.policies import (
    forecast,
    never,
    payback,
    periodic,
    plan_afresh,
    plan_changes,
    rent_to_buy,
    rent_to_buy_by_layer,
    threshold,
)

if t.TYPE_CHECKING:
    from fuchsiahatch_experts.costs import Prices
    from fuchsiahatch_experts.policies import Policy

    Parameters = dict[str, t.Any]
    Make = t.Callable[..., Policy]

LEAST_GAINS = (0.0, 0.01, 0.02, 0.04, 0.08)
LEADS_MS = (60_000, 120_000)


@dataclasses.dataclass(frozen=True, slots=True)
class Family:
    """A policy whose parameters are chosen on the tuning seeds.

    Attributes
    ----------
    name : str
    make : callable
        From prices, slots and the parameters to a fresh policy.
    grid : dict of str to tuple
        Values to try for each parameter; every combination is tried.
    uses_prices : bool
        Whether the policy compares prices, and so follows a change of weights.
    """

    name: str
    make: "Make"
    grid: dict[str, tuple[t.Any, ...]]
    uses_prices: bool

    def combinations(self) -> "list[Parameters]":
        """Return every combination of the grid."""
        values = itertools.product(*self.grid.values())
        return [dict(zip(self.grid, chosen, strict=True)) for chosen in values]


def _never(prices: "Prices", slots: int) -> "Policy":
    return never()


def _afresh(prices: "Prices", slots: int, period_ms: int) -> "Policy":
    return periodic(period_ms, plan_afresh(slots))


def _periodic(
    prices: "Prices", slots: int, period_ms: int, least_gain: float
) -> "Policy":
    return periodic(period_ms, plan_changes(slots, least_gain))


def _threshold(
    prices: "Prices", slots: int, skew_limit: float, least_gain: float
) -> "Policy":
    return threshold(skew_limit, plan_changes(slots, least_gain))


def _rent_to_buy(prices: "Prices", slots: int, least_gain: float) -> "Policy":
    return rent_to_buy(prices, plan_changes(slots, least_gain))


def _by_layer_forecast(
    prices: "Prices", slots: int, credit_ms: float, lead_ms: int
) -> "Policy":
    return forecast(rent_to_buy_by_layer(prices, slots, credit_ms), lead_ms)


def _payback_forecast(
    prices: "Prices", slots: int, horizon_ms: float, lead_ms: int
) -> "Policy":
    return forecast(payback(prices, slots, horizon_ms), lead_ms)


CREDITS_MS = (0.0, 30e3, 100e3, 200e3)
HORIZONS_MS = (20e3, 30e3, 45e3, 60e3, 100e3, 200e3, 300e3)

#: The first is what the others are compared with where nothing is ever moved.
FAMILIES = (
    Family("never", _never, {}, False),
    Family(
        "periodic, packed afresh",
        _afresh,
        {"period_ms": (600_000, 1_800_000, 3_600_000)},
        False,
    ),
    Family(
        "periodic",
        _periodic,
        {
            "period_ms": (60_000, 120_000, 300_000, 600_000),
            "least_gain": LEAST_GAINS[1:],
        },
        False,
    ),
    Family(
        "threshold",
        _threshold,
        {"skew_limit": (1.1, 1.15, 1.2, 1.3, 1.5, 1.75), "least_gain": LEAST_GAINS[1:]},
        False,
    ),
    Family("rent-to-buy", _rent_to_buy, {"least_gain": LEAST_GAINS}, True),
    Family("rent-to-buy by layer", rent_to_buy_by_layer, {}, True),
    Family(
        "rent-to-buy by layer, forecast",
        _by_layer_forecast,
        {"credit_ms": CREDITS_MS, "lead_ms": LEADS_MS},
        True,
    ),
    Family("payback", payback, {"horizon_ms": HORIZONS_MS}, True),
    Family(
        "payback, forecast",
        _payback_forecast,
        {"horizon_ms": HORIZONS_MS, "lead_ms": LEADS_MS},
        True,
    ),
)
