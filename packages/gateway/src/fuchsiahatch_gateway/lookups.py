"""Which entries a caller may connect to."""

import dataclasses
import typing as t

import orjson

from fuchsiahatch_adapter.forms import decoding, read_json
from fuchsiahatch_adapter.node_settings import parse_address
from fuchsiahatch_gateway.datagrams import check_peer
from fuchsiahatch_gateway.defaults import MAX_LOOKUP_ENTRIES

#: Entries that an answer names at least, where there are so many: callers of a zone
#: whose entries have all died must know others.
LEAST_ENTRIES = 2


@dataclasses.dataclass(frozen=True, slots=True)
class EntryRecord:
    """An entry's registration.

    Attributes
    ----------
    node, zone : str
    callers : str
        Where it takes callers' requests, ``ip:port``.
    peer : tuple of (str, int)
        Where it takes our datagrams.
    """

    node: str
    zone: str
    callers: str
    peer: tuple[str, int]

    def encode(self) -> bytes:
        """Return the registration's value."""
        return orjson.dumps(dataclasses.asdict(self))


def decode_entry(node: str, value: bytes) -> EntryRecord:
    """Decode an entry's registration.

    Raises
    ------
    FormError
    """
    what = f"registration of {node}"
    record = read_json(value, EntryRecord, what)
    with decoding(what):
        parse_address(record.callers)
        check_peer(record.peer)
    return record


def choose_addresses(
    entries: t.Iterable[EntryRecord], own: EntryRecord | None, zone: str
) -> list[str]:
    """Return the addresses for a caller, its own zone's alone if they are enough.

    Parameters
    ----------
    entries : iterable of EntryRecord
    own : EntryRecord or None
        This entry, while it takes requests: it is alive whatever the store says.
    zone : str
        The caller's.
    """
    known = {entry.callers: entry for entry in entries}
    if own is not None:
        known[own.callers] = own
    near = [address for address, entry in known.items() if entry.zone == zone]
    if len(near) >= LEAST_ENTRIES:
        return near[:MAX_LOOKUP_ENTRIES]
    return [*near, *(known.keys() - set(near))][:MAX_LOOKUP_ENTRIES]
