"""A map as its difference from another one, which both sides know.

A whole map has a row for each layer and rank: 5 KB at 8 layers and 63 ranks, sent to
each of 63 agents for each change over a link of 500 KB a second. A change of one copy
a rank is a tenth of that.
"""

import typing as t

import msgspec

if t.TYPE_CHECKING:
    from fuchsiahatch_experts.rank_orders import Placement

#: Base of a change that holds the whole map.
NO_BASE = -1


class MapChange(msgspec.Struct, frozen=True, array_like=True):
    """Rows of a map that differ from another map's.

    Attributes
    ----------
    base : int
        Version of the other map; `NO_BASE` where all rows are there.
    layers, ranks : int
    rows : tuple of (int, int, tuple of int)
        Layer, rank and experts.
    """

    base: int
    layers: int
    ranks: int
    rows: tuple[tuple[int, int, tuple[int, ...]], ...]


def make_change(
    target: "Placement", base: int = NO_BASE, known: "Placement | None" = None
) -> MapChange:
    """Return what is new in a map; all of it where no base is known."""
    rows = tuple(
        (at, rank, held)
        for at, layer in enumerate(target)
        for rank, held in enumerate(layer)
        if known is None or known[at][rank] != held
    )
    base = NO_BASE if known is None else base
    return MapChange(base, len(target), len(target[0]), rows)


def apply_change(change: MapChange, known: "Placement | None" = None) -> "Placement":
    """Return the map that a change makes of its base.

    Raises
    ------
    ValueError
        When the change doesn't fit the base, or lacks rows without one.
    """
    shape = (change.layers, change.ranks)
    if known is None:
        if len(change.rows) != change.layers * change.ranks:
            raise ValueError(f"{len(change.rows)} rows are no whole map of {shape}")
    elif (len(known), len(known[0])) != shape:
        raise ValueError(f"a map of another size than {shape}")
    held: list[list[tuple[int, ...]]] = (
        [[()] * change.ranks for _ in range(change.layers)]
        if known is None
        else [list(layer) for layer in known]
    )
    for at, rank, experts in change.rows:
        if not (0 <= at < change.layers and 0 <= rank < change.ranks):
            raise ValueError(f"no row {at}, {rank} in a map of {shape}")
        held[at][rank] = experts
    return tuple(tuple(layer) for layer in held)


def first_map(layers: int, experts: int, ranks: int) -> "Placement":
    """Return the map that a group begins with: its experts in turn."""
    layer = tuple(tuple(range(rank, experts, ranks)) for rank in range(ranks))
    return (layer,) * layers
