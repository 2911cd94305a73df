"""A map as its difference from another one, which both sides know.

A whole map has a row for each layer and rank: 5 KB at 8 layers and 63 ranks, sent to
each of 63 agents for each change over a link of 500 KB a second. A change of one copy
a rank is a twentieth of that.
"""

import typing as t
import zlib

import msgspec

if t.TYPE_CHECKING:
    from fuchsiahatch_experts.rank_orders import Placement

#: Base of a change that holds the whole map.
NO_BASE = -1
#: Most experts of a row that one change may replace.
MOST_IN_A_ROW = 255
#: Effort of the compression; a change is made once and sent to all ranks.
_LEVEL = 9
#: Size up to which a change is unpacked: 64 layers of 1,024 ranks, all replaced.
_MOST_BYTES = 4_194_304

_Row = tuple[int, ...]
_EDITS = msgspec.msgpack.Decoder(list[t.Annotated[int, msgspec.Meta(ge=0)]])


class MapChange(msgspec.Struct, frozen=True, array_like=True):
    """What is new in a map.

    Attributes
    ----------
    base : int
        Version of the other map; `NO_BASE` where all rows are there.
    layers, ranks : int
    edits : bytes
        For each row that differs: how many rows on it is from the last one, how many
        experts leave and how many come, their places in the old row, and the new
        experts. 345 bytes for a copy on each of 96 ranks, 960 as whole rows.
    """

    base: int
    layers: int
    ranks: int
    edits: bytes


def make_change(
    target: "Placement", base: int = NO_BASE, known: "Placement | None" = None
) -> MapChange:
    """Return what is new in a map; all of it where no base is known."""
    ranks = len(target[0])
    edits: list[int] = []
    last = 0
    for at, layer in enumerate(target):
        for rank, held in enumerate(layer):
            before = () if known is None else known[at][rank]
            if known is not None and before == held:
                continue
            position = at * ranks + rank
            edits += (position - last, *_edit_row(before, held))
            last = position
    packed = zlib.compress(msgspec.msgpack.encode(edits), _LEVEL)
    return MapChange(NO_BASE if known is None else base, len(target), ranks, packed)


def apply_change(change: MapChange, known: "Placement | None" = None) -> "Placement":
    """Return the map that a change makes of its base.

    Raises
    ------
    ValueError
        When the change doesn't fit the base, or lacks rows without one.
    """
    shape = (change.layers, change.ranks)
    if known is not None and (len(known), len(known[0])) != shape:
        raise ValueError(f"a map of another size than {shape}")
    rows: list[_Row] = (
        [()] * (change.layers * change.ranks)
        if known is None
        else [held for layer in known for held in layer]
    )
    edited = _apply_edits(_unpack(change.edits), rows)
    # A row may be empty: a silent rank is taken to hold what nobody else does.
    if known is None and edited != len(rows):
        raise ValueError(f"{edited} rows are no whole map of {shape}")
    starts = range(0, len(rows), change.ranks)
    return tuple(tuple(rows[start : start + change.ranks]) for start in starts)


def _edit_row(before: _Row, held: _Row) -> t.Iterator[int]:
    leaving = [at for at, expert in enumerate(before) if expert not in held]
    coming = [expert for expert in held if expert not in before]
    yield len(leaving)
    yield len(coming)
    yield from leaving
    yield from coming


def _unpack(edits: bytes) -> t.Iterator[int]:
    unpacker = zlib.decompressobj()
    try:
        plain = unpacker.decompress(edits, _MOST_BYTES)
        return iter(_EDITS.decode(plain))
    except (zlib.error, msgspec.DecodeError) as fault:
        raise ValueError(f"a change that can't be read: {fault}") from fault


def _apply_edits(edits: t.Iterator[int], rows: list[_Row]) -> int:
    """Edit rows in place, and return how many."""
    position, edited = 0, 0
    for step in edits:
        position += step
        edited += 1
        try:
            rows[position] = _apply_row(edits, rows[position])
        except IndexError as fault:
            raise ValueError(f"no such row or place: {position}") from fault
        except StopIteration as fault:
            raise ValueError("a change that ends too soon") from fault
    return edited


def _apply_row(edits: t.Iterator[int], before: _Row) -> _Row:
    numbers = next(edits), next(edits)
    if not all(0 <= number <= MOST_IN_A_ROW for number in numbers):
        raise ValueError(f"{numbers} experts of a row")
    leaving = {before[next(edits)] for _ in range(numbers[0])}
    coming = [next(edits) for _ in range(numbers[1])]
    return tuple(sorted({*before, *coming} - leaving))


def first_map(layers: int, experts: int, ranks: int) -> "Placement":
    """Return the map that a group begins with: its experts in turn."""
    layer = tuple(tuple(range(rank, experts, ranks)) for rank in range(ranks))
    return (layer,) * layers
