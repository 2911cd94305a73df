"""What one rank's server does with an order, as the platform's pages describe it."""

import dataclasses
import typing as t

from fuchsiahatch_experts.rank_orders import Armed, Order, OrderKind, OrderResult


@dataclasses.dataclass(slots=True)
class Rank:
    """One rank's server.

    Attributes
    ----------
    map_version, prepared, highest : int
        Map in use, newest map whose copy is complete, highest version ever taken.
    copying, copied_ms : int
        Version that is being copied (0: none), and when that will be done.
    armed : Armed or None
    held : int or None
    """

    map_version: int = 0
    prepared: int = 0
    highest: int = 0
    copying: int = 0
    copied_ms: int = 0
    armed: Armed | None = None
    held: int | None = None


class MixedMaps(AssertionError):
    """A pass began while two ranks had different maps."""


def carry_out(
    rank: Rank, order: Order, step: int, now_ms: int, copy_ms: int
) -> OrderResult:
    """Let a rank carry an order out, or refuse it.

    Parameters
    ----------
    rank : Rank
    order : Order
    step : int
        The last pass that was begun.
    now_ms, copy_ms : int
        The time, and how long a copy takes.
    """
    if not _FITS[order.kind](rank, order, step):
        return OrderResult.REFUSED
    if order.kind is OrderKind.PREPARE:
        _prepare(rank, order, now_ms + copy_ms)
    elif order.kind is OrderKind.ARM:
        rank.armed = Armed(order.version, order.step)
    elif order.kind is OrderKind.HOLD:
        rank.held = order.step
    elif order.kind is OrderKind.GO:
        rank.held = None
    elif rank.armed is not None and rank.armed.version == order.version:
        rank.armed = None
    return OrderResult.BEGUN


def end_copies(ranks: t.Iterable[Rank], now_ms: int) -> None:
    """Complete the copies whose time has come."""
    for rank in ranks:
        if rank.copying and now_ms >= rank.copied_ms:
            rank.prepared, rank.copying = rank.copying, 0


def begin_pass(ranks: t.Collection[Rank], step: int) -> int:
    """Begin the pass behind `step`, unless it is held; return the last one begun.

    Raises
    ------
    MixedMaps
    """
    if any(rank.held == step + 1 for rank in ranks):
        return step
    for rank in ranks:
        if rank.armed is not None and rank.armed.step == step + 1:
            rank.map_version, rank.armed = rank.armed.version, None
    if len({rank.map_version for rank in ranks}) > 1:
        raise MixedMaps(f"step {step + 1}: {ranks}")
    return step + 1


def _prepare(rank: Rank, order: Order, copied_ms: int) -> None:
    if order.version in (rank.prepared, rank.copying):
        return
    rank.highest = order.version
    rank.prepared = 0
    rank.copying = order.version
    rank.copied_ms = copied_ms


def _fits_prepare(rank: Rank, order: Order, step: int) -> bool:
    if order.version in (rank.prepared, rank.copying):
        return True
    return order.version > rank.highest and rank.armed is None


def _fits_arm(rank: Rank, order: Order, step: int) -> bool:
    return rank.prepared == order.version and order.step > step


def _fits_disarm(rank: Rank, order: Order, step: int) -> bool:
    return rank.map_version != order.version


def _fits_hold(rank: Rank, order: Order, step: int) -> bool:
    return order.step > step and rank.held in (None, order.step)


def _fits_go(rank: Rank, order: Order, step: int) -> bool:
    return rank.held == order.step


_FITS: dict[OrderKind, t.Callable[[Rank, Order, int], bool]] = {
    OrderKind.PREPARE: _fits_prepare,
    OrderKind.ARM: _fits_arm,
    OrderKind.DISARM: _fits_disarm,
    OrderKind.HOLD: _fits_hold,
    OrderKind.GO: _fits_go,
}
