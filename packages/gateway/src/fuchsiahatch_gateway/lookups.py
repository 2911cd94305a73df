"""Selection of the entry addresses that a lookup returns to a caller."""

import dataclasses
import typing as t

import orjson

from fuchsiahatch_adapter.forms import decoding, read_json
from fuchsiahatch_adapter.node_settings import parse_address
from fuchsiahatch_gateway.datagrams import check_peer
from fuchsiahatch_gateway.defaults import MAX_LOOKUP_ENTRIES

#: Minimum number of entries in an answer, if that many exist. Callers in a zone whose
#: entries have all failed need the address of an entry elsewhere.
MIN_LOOKUP_ENTRIES = 2


@dataclasses.dataclass(frozen=True, slots=True)
class EntryRecord:
    """An entry's registration in the store.

    Attributes
    ----------
    node, zone : str
    callers : str
        Address for callers' requests, ``ip:port``.
    peer : tuple of (str, int)
        Address for datagrams of the gateway's other processes.
    """

    node: str
    zone: str
    callers: str
    peer: tuple[str, int]

    def encode(self) -> bytes:
        """Return the registration as it is stored."""
        return orjson.dumps(dataclasses.asdict(self))


def decode_entry(node: str, value: bytes) -> EntryRecord:
    """Decode an entry's registration.

    Raises
    ------
    FormError
    """
    description = f"registration of {node}"
    record = read_json(value, EntryRecord, description)
    with decoding(description):
        parse_address(record.callers)
        check_peer(record.peer)
    return record


def choose_addresses(
    entries: t.Iterable[EntryRecord],
    local: EntryRecord | None,
    zone: str,
    regions: t.Mapping[str, str] | None = None,
) -> list[str]:
    """Return the entry addresses for a caller: only of its zone if they suffice.

    Those of its region follow if they don't, and all others if these don't either.

    Parameters
    ----------
    entries : iterable of EntryRecord
    local : EntryRecord or None
        This entry; None while it takes no requests. It is included even if the store
        doesn't list it, as it is known to be alive.
    zone : str
        Zone of the caller.
    regions : mapping of str to str, optional
        Region of each zone; where that of the caller isn't known, all other entries
        follow those of its zone.
    """
    by_address = {entry.callers: entry for entry in entries}
    if local is not None:
        by_address[local.callers] = local
    region_of = regions or {}
    region = region_of.get(zone)
    same_zone = [address for address, entry in by_address.items() if entry.zone == zone]
    same_region = [
        address
        for address, entry in by_address.items()
        if entry.zone != zone and region and region_of.get(entry.zone) == region
    ]
    addresses = same_zone
    for others in (same_region, by_address):
        if len(addresses) < MIN_LOOKUP_ENTRIES:
            addresses = [*addresses, *(set(others) - set(addresses))]
    return addresses[:MAX_LOOKUP_ENTRIES]
