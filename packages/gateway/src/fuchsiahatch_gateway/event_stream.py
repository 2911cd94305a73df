"""Cutting a stream of events into whole events."""

import typing as t

#: Longest event that is kept until its end; a longer one is passed on in parts.
MAX_EVENT_BYTES = 1_048_576


class EventSplitter:
    """Collects bytes and returns whole events.

    Attributes
    ----------
    last_id : bytes or None
        Id of the last whole event.
    """

    __slots__ = ("_buffer", "last_id")

    def __init__(self) -> None:
        self._buffer = b""
        self.last_id: bytes | None = None

    def feed(self, data: bytes) -> bytes:
        """Return the whole events that end in the bytes so far."""
        self._buffer += data
        end = max(
            _end_of(self._buffer, b"\n\n"),
            _end_of(self._buffer, b"\r\n\r\n"),
        )
        if not end:
            return b""
        whole, self._buffer = self._buffer[:end], self._buffer[end:]
        for event_id in _ids(whole):
            self.last_id = event_id
        return whole

    def take_remainder(self) -> bytes:
        """Return what came behind the last whole event."""
        rest, self._buffer = self._buffer, b""
        return rest

    def discard_partial(self) -> None:
        """Drop half an event that was cut; the next upstream sends it whole."""
        self._buffer = b""


def _end_of(data: bytes, terminator: bytes) -> int:
    position = data.rfind(terminator)
    return position + len(terminator) if position >= 0 else 0


def _ids(events: bytes) -> t.Iterator[bytes]:
    for line in events.splitlines():
        if line.startswith(b"id:"):
            yield line[3:].strip()
