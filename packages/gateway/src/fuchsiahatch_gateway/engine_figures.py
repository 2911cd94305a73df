"""The few figures of the configuration that leaders of rank groups need, by service.

Entries read the whole configuration anyway; an agent's link has a hundredth of the
capacity of an entry's. Entries therefore write the part that leaders need to one small
item per service, which agents receive with the other items that they watch.
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

#: Entries that write the figures: the first ones by name. Each writer reads
#: the item once, which would be hundreds of calls if all entries did so.
MAX_WRITERS = 3
#: Delay between two writers, long enough for the first one to have written.
WRITER_DELAY_MS = 250
#: Interval at which other entries check whether they have become writers.
INDEX_POLL_INTERVAL_MS = 2_000


@dataclasses.dataclass(frozen=True, slots=True)
class EngineFigures:
    """The part of the configuration that leaders of a service's rank groups need.

    Attributes
    ----------
    version : int
        Version of the configuration.
    engine : Engine
    gap_ms : int
        Shortest gap that the service's routes allow between two events; 0 if none does.
    """

    version: int
    engine: Engine
    gap_ms: int

    def encode(self) -> bytes:
        """Return the item's value."""
        return orjson.dumps(self)

    def agrees_with(self, other: "EngineFigures") -> bool:
        """Return whether both are equal except for their versions."""
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
    """Keeps the figures in the store up to date.

    Parameters
    ----------
    store : StoreClient
    index : callable
        Returns this entry's index among all live entries, sorted by name, from 0; None
        while it isn't registered.
    """

    __slots__ = ("_due", "_index", "_store", "_unwritten", "_written")

    def __init__(self, store: "StoreClient", index: t.Callable[[], int | None]) -> None:
        self._store = store
        self._index = index
        self._due = asyncio.Event()
        self._unwritten: dict[str, EngineFigures] = {}
        #: The figures that are known to be in the store.
        self._written: dict[str, EngineFigures] = {}

    def note_configuration(self, configuration: Configuration) -> None:
        """Note the current configuration."""
        current = extract_figures(configuration)
        self._unwritten = {
            service: figures
            for service, figures in current.items()
            if service not in self._written
            or not self._written[service].agrees_with(figures)
        }
        if self._unwritten:
            self._due.set()

    def recheck(self, configuration: Configuration | None) -> None:
        """Check the stored figures again: the store was restored from an older copy."""
        self._written.clear()
        if configuration is not None:
            self.note_configuration(configuration)

    async def run(self) -> None:
        """Write missing and outdated figures until cancelled."""
        while True:
            await self._due.wait()
            index = self._index()
            if index is None or index >= MAX_WRITERS:
                await asyncio.sleep(INDEX_POLL_INTERVAL_MS / 1000)
                continue
            await asyncio.sleep(index * WRITER_DELAY_MS / 1000)
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
        """Write a service's figures, unless the store has the same or newer ones."""
        key = ENGINES_PREFIX + service
        item = await self._store.get(key)
        stored = _read(service, item)
        if stored is not None:
            if stored.agrees_with(figures) or stored.version > figures.version:
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
