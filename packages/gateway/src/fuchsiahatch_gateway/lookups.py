"""Which entries a caller may connect to."""

import dataclasses
import typing as t

import orjson

from fuchsiahatch_adapter.forms import read_json, reading
from fuchsiahatch_adapter.node_settings import parse_address
from fuchsiahatch_gateway.datagrams import check_peer
from fuchsiahatch_gateway.defaults import MAX_LOOKUP_ENTRIES

#: Entries that an answer names at least, where there are so many: callers of a zone
#: whose entries have all died must know others.
MIN_LOOKUP_ENTRIES = 2


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
    description = f"registration of {node}"
    record = read_json(value, EntryRecord, description)
    with reading(description):
        parse_address(record.callers)
        check_peer(record.peer)
    return record


def choose_addresses(
    entries: t.Iterable[EntryRecord], local: EntryRecord | None, zone: str
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
    by_address = {entry.callers: entry for entry in entries}
    if local is not None:
        by_address[local.callers] = local
    same_zone = [address for address, entry in by_address.items() if entry.zone == zone]
    if len(same_zone) >= MIN_LOOKUP_ENTRIES:
        return same_zone[:MAX_LOOKUP_ENTRIES]
    return [*same_zone, *(by_address.keys() - set(same_zone))][:MAX_LOOKUP_ENTRIES]
