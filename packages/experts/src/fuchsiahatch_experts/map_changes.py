"""Encoding of a map as its difference from another map that both sides know.

A whole map has a row for each layer and rank: 5 KB at 8 layers and 63 ranks, sent to
each of 63 agents for each change over a link of 500 KB per second. A change of one copy
per rank takes a twentieth of that.
"""

import typing as t
import zlib

import msgspec

if t.TYPE_CHECKING:
    from fuchsiahatch_experts.rank_orders import Placement

#: Base of a change that holds the whole map.
NO_BASE = -1
#: Most experts that one change may remove from a row, and most that it may add.
MAX_EDITS_PER_ROW = 255
#: The highest zlib level, as a change is compressed once and sent to all ranks.
_COMPRESSION_LEVEL = 9
#: Size up to which a change is unpacked: 64 layers of 1,024 ranks, all rows replaced.
_MAX_UNPACKED_BYTES = 4_194_304

_Row = tuple[int, ...]
_EDITS = msgspec.msgpack.Decoder(list[t.Annotated[int, msgspec.Meta(ge=0)]])


class MapChange(msgspec.Struct, frozen=True, array_like=True):
    """Difference of a map from its base.

    Attributes
    ----------
    base : int
        Version of the base map; `NO_BASE` if the change contains all rows.
    layers, ranks : int
    edits : bytes
        For each row that differs: its distance in rows from the last such row, the
        numbers of removed and of added experts, the indexes of the removed ones in the
        old row, and the added experts. This takes 345 bytes for a copy on each of 96
        ranks, compared with 960 for whole rows.
    """

    base: int
    layers: int
    ranks: int
    edits: bytes


def make_change(
    target: "Placement", base: int = NO_BASE, base_map: "Placement | None" = None
) -> MapChange:
    """Return a map's difference from its base, or the whole map without a base."""
    ranks = len(target[0])
    edits: list[int] = []
    last_position = 0
    for index, layer in enumerate(target):
        for rank, experts in enumerate(layer):
            old_row = () if base_map is None else base_map[index][rank]
            if base_map is not None and old_row == experts:
                continue
            position = index * ranks + rank
            edits += (position - last_position, *_edit_row(old_row, experts))
            last_position = position
    packed = zlib.compress(msgspec.msgpack.encode(edits), _COMPRESSION_LEVEL)
    return MapChange(NO_BASE if base_map is None else base, len(target), ranks, packed)


def apply_change(change: MapChange, base_map: "Placement | None" = None) -> "Placement":
    """Return the map that results from applying a change to its base.

    Raises
    ------
    ValueError
        When the change doesn't fit the base, or there is no base and rows are missing.
    """
    shape = (change.layers, change.ranks)
    if base_map is not None and (len(base_map), len(base_map[0])) != shape:
        raise ValueError(f"size of the base map differs from {shape}")
    rows: list[_Row] = (
        [()] * (change.layers * change.ranks)
        if base_map is None
        else [experts for layer in base_map for experts in layer]
    )
    edited = _apply_edits(_unpack(change.edits), rows)
    # A row may be empty: a silent rank is taken to hold what no other rank holds.
    if base_map is None and edited != len(rows):
        raise ValueError(f"{edited} rows given for a whole map of size {shape}")
    starts = range(0, len(rows), change.ranks)
    return tuple(tuple(rows[start : start + change.ranks]) for start in starts)


def _edit_row(old_row: _Row, experts: _Row) -> t.Iterator[int]:
    removed = [index for index, expert in enumerate(old_row) if expert not in experts]
    added = [expert for expert in experts if expert not in old_row]
    yield len(removed)
    yield len(added)
    yield from removed
    yield from added


def _unpack(edits: bytes) -> t.Iterator[int]:
    unpacker = zlib.decompressobj()
    try:
        plain = unpacker.decompress(edits, _MAX_UNPACKED_BYTES)
        return iter(_EDITS.decode(plain))
    except (zlib.error, msgspec.DecodeError) as fault:
        raise ValueError(f"map change can't be decoded: {fault}") from fault


def _apply_edits(edits: t.Iterator[int], rows: list[_Row]) -> int:
    """Edit rows in place, and return the number of edited rows."""
    position, edited = 0, 0
    for distance in edits:
        position += distance
        edited += 1
        try:
            rows[position] = _apply_row(edits, rows[position])
        except IndexError as fault:
            raise ValueError(f"no such row or index, at row {position}") from fault
        except StopIteration as fault:
            raise ValueError("map change is truncated") from fault
    return edited


def _apply_row(edits: t.Iterator[int], old_row: _Row) -> _Row:
    counts = next(edits), next(edits)
    if not all(0 <= count <= MAX_EDITS_PER_ROW for count in counts):
        raise ValueError(f"{counts} experts to remove and add are too many for a row")
    removed = {old_row[next(edits)] for _ in range(counts[0])}
    added = [next(edits) for _ in range(counts[1])]
    return tuple(sorted({*old_row, *added} - removed))


def first_map(layers: int, experts: int, ranks: int) -> "Placement":
    """Return a group's initial map, with the experts assigned to ranks in turn."""
    layer = tuple(tuple(range(rank, experts, ranks)) for rank in range(ranks))
    return (layer,) * layers
