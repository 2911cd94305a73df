"""Splitting a server-sent event stream at event boundaries."""

import typing as t

#: Length above which an event is meant to be forwarded in parts. `EventSplitter`
#: doesn't enforce it.
MAX_EVENT_BYTES = 1_048_576


class EventSplitter:
    """Buffers bytes of a stream and returns complete events.

    Attributes
    ----------
    last_id : bytes or None
        Id of the last complete event, for the Last-Event-ID header of a resumed stream.
    """

    __slots__ = ("_buffer", "last_id")

    def __init__(self) -> None:
        self._buffer = b""
        self.last_id: bytes | None = None

    def feed(self, data: bytes) -> bytes:
        """Add bytes to the buffer; return the events that are complete now."""
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

    @property
    def partial_bytes(self) -> int:
        """Number of bytes after the last complete event."""
        return len(self._buffer)

    def take_remainder(self) -> bytes:
        """Return and clear the bytes after the last complete event."""
        rest, self._buffer = self._buffer, b""
        return rest

    def discard_partial(self) -> None:
        """Drop an incomplete event; the next upstream sends it again in full."""
        self._buffer = b""


def _end_of(data: bytes, terminator: bytes) -> int:
    position = data.rfind(terminator)
    return position + len(terminator) if position >= 0 else 0


def _ids(events: bytes) -> t.Iterator[bytes]:
    for line in events.splitlines():
        if line.startswith(b"id:"):
            yield line[3:].strip()
