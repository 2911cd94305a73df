"""The few figures of the configuration that leaders of rank groups need, by service.

Entries read the whole configuration anyway; an agent's link carries a hundredth of an
entry's. So entries write what leaders need of it into one small item a service, and
agents find it among the items that they follow.
"""

import asyncio
import dataclasses
import typing as t

import orjson

from fuchsiahatch_adapter.configuration import Configuration, Engine
from fuchsiahatch_adapter.forms import read_json
from fuchsiahatch_core.events import Event, log_event
from fuchsiahatch_core.exceptions import ConflictError, FormError, PlatformError
from fuchsiahatch_gateway.defaults import ENGINES_PREFIX, STORE_RETRY_MS
from fuchsiahatch_gateway.routes import shortest_gap_ms

if t.TYPE_CHECKING:
    from fuchsiahatch_adapter.store import Item, StoreClient

#: Entries that see to it that the figures are written, the first of all by their names:
#: each of them reads the item once, and hundreds would.
WRITERS = 3
#: Pause between one writer and the next, in which the first has written.
STAGGER_MS = 250
#: How often another entry looks whether it has become one of them.
PLACE_POLL_MS = 2_000


@dataclasses.dataclass(frozen=True, slots=True)
class EngineFigures:
    """What the leaders of a service's rank groups need of the configuration.

    Attributes
    ----------
    version : int
        Of the configuration.
    engine : Engine
    gap_ms : int
        Shortest pause that the service's routes allow between two events; 0 when there
        is none.
    """

    version: int
    engine: Engine
    gap_ms: int

    def encode(self) -> bytes:
        """Return the item's value."""
        return orjson.dumps(self)

    def agrees_with(self, other: "EngineFigures") -> bool:
        """Return whether both say the same, be it of different versions."""
        return (self.engine, self.gap_ms) == (other.engine, other.gap_ms)


def decode_engine_figures(service: str, value: bytes) -> EngineFigures:
    """Decode a service's figures.

    Raises
    ------
    FormError
    """
    return read_json(value, EngineFigures, f"engine figures of {service}")


def extract_figures(configuration: Configuration) -> dict[str, EngineFigures]:
    """Return the figures of all services with engines, by service."""
    return {
        name: EngineFigures(
            configuration.version,
            service.engine,
            shortest_gap_ms(configuration.routes, name),
        )
        for name, service in configuration.services.items()
        if service.engine is not None
    }


class FiguresWriter:
    """One entry's part in keeping the figures in the store true.

    Parameters
    ----------
    store : StoreClient
    place : callable
        Returns this entry's place among all that live, by name; 0 is the first, None
        while it isn't one of them.
    """

    __slots__ = ("_due", "_place", "_store", "_unwritten", "_written")

    def __init__(self, store: "StoreClient", place: t.Callable[[], int | None]) -> None:
        self._store = store
        self._place = place
        self._due = asyncio.Event()
        self._unwritten: dict[str, EngineFigures] = {}
        #: What the store was seen to hold.
        self._written: dict[str, EngineFigures] = {}

    def note_configuration(self, configuration: Configuration) -> None:
        """Take in the configuration in force."""
        fresh = extract_figures(configuration)
        self._unwritten = {
            service: figures
            for service, figures in fresh.items()
            if service not in self._written
            or not self._written[service].agrees_with(figures)
        }
        if self._unwritten:
            self._due.set()

    def forget(self, configuration: Configuration | None) -> None:
        """Look again at what the store holds: it came back from an older copy."""
        self._written.clear()
        if configuration is not None:
            self.note_configuration(configuration)

    async def run(self) -> None:
        """Write what the store lacks, for ever."""
        while True:
            await self._due.wait()
            place = self._place()
            if place is None or place >= WRITERS:
                await asyncio.sleep(PLACE_POLL_MS / 1000)
                continue
            await asyncio.sleep(place * STAGGER_MS / 1000)
            try:
                await self._write_all()
            except (ConflictError, PlatformError) as fault:
                log_event(Event.SERVICE_CALL_FAILED, detail=str(fault))
                await asyncio.sleep(STORE_RETRY_MS / 1000)

    async def _write_all(self) -> None:
        while self._unwritten:
            service, figures = next(iter(self._unwritten.items()))
            await self._write(service, figures)
            self._written[service] = figures
            if self._unwritten.get(service) is figures:
                del self._unwritten[service]
        self._due.clear()

    async def _write(self, service: str, figures: EngineFigures) -> None:
        """Write a service's figures, unless the store has them or newer ones."""
        key = ENGINES_PREFIX + service
        item = await self._store.get(key)
        known = _read(service, item)
        if known is not None:
            if known.agrees_with(figures) or known.version > figures.version:
                return
        revision = 0 if item is None else item.revision
        await self._store.put(key, figures.encode(), expected=revision)
        log_event(Event.FIGURES_WRITTEN, service=service, version=figures.version)


def _read(service: str, item: "Item | None") -> EngineFigures | None:
    if item is None or item.value is None:
        return None
    try:
        return decode_engine_figures(service, item.value)
    except FormError as fault:
        log_event(Event.ITEM_UNREADABLE, item=item.key, detail=fault.detail)
        return None
