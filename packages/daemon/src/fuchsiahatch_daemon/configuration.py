"""Keeps the placement snapshot that this process works under."""

from fuchsiahatch_core.defaults import HEARTBEAT_MS, KEY_PREFIX
from fuchsiahatch_core.events import Event, log_event
from fuchsiahatch_daemon.tasks import Tasks
from fuchsiahatch_placement.records import EMPTY_SNAPSHOT, Snapshot, decode_document
from fuchsiahatch_platform.keyvalue import KeyValueClient


class Configuration:
    """Reads one segment of placement records and never goes back.

    Parameters
    ----------
    segment : str
    key_value : KeyValueClient

    Notes
    -----
    .. versionadded:: 0.1
    """

    def __init__(self, segment: str, key_value: KeyValueClient) -> None:
        self.snapshot: Snapshot = EMPTY_SNAPSHOT
        self._key = f"{KEY_PREFIX}placement/{segment}"
        self._key_value = key_value
        self._tasks = Tasks()

    @property
    def fresh(self) -> bool:
        """Whether work may be admitted under the snapshot."""
        return self.snapshot.revision > 0

    def start(self) -> None:
        """Begin to read."""
        self._tasks.repeat(self._read, HEARTBEAT_MS)

    def stop(self) -> None:
        """End reading."""
        self._tasks.cancel()

    async def _read(self) -> None:
        kept = await self._key_value.get(self._key)
        if not kept.value:
            return
        snapshot = decode_document(kept.value)
        if snapshot.revision > self.snapshot.revision:
            self.snapshot = snapshot
            log_event(Event.CONFIGURATION_APPLIED, revision=snapshot.revision)
