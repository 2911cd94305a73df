"""Splitting a server-sent event stream at event boundaries."""

import codecs
import re
import typing as t

#: Length above which an event counts as one that doesn't end.
MAX_EVENT_BYTES = 1_048_576
#: A line's end and a blank line; lines end in CRLF, LF or CR. A CR at the end of the
#: received bytes counts, though an LF that belongs to it may follow.
_EVENT_END = re.compile(rb"(?:\r\n|\n|\r(?!\n)){2}")
#: Bytes before new ones in which the end of an event may have begun.
_OVERLAP_BYTES = 3
_LINE_ENDS = b"\r\n"


class EventSplitter:
    """Buffers bytes of a stream and returns complete events.

    Attributes
    ----------
    last_id : bytes or None
        Id of the last complete event, for the Last-Event-ID header of a resumed stream;
        None where the stream can't be resumed.
    """

    __slots__ = ("_buffer", "last_id")

    def __init__(self) -> None:
        self._buffer = bytearray()
        self.last_id: bytes | None = None

    def feed(self, data: bytes) -> bytes:
        """Add bytes to the buffer; return the events that are complete now."""
        searched = max(len(self._buffer) - _OVERLAP_BYTES, 0)
        self._buffer += data
        end = 0
        for match in _EVENT_END.finditer(self._buffer, searched):
            end = match.end()
        if not end:
            return b""
        whole = bytes(self._buffer[:end])
        del self._buffer[:end]
        for event_id in _ids(whole):
            # An empty id revokes the ones before it.
            self.last_id = event_id or None
        return whole

    @property
    def partial_bytes(self) -> int:
        """Number of bytes after the last complete event, without line ends."""
        return len(self._buffer.strip(_LINE_ENDS))

    @property
    def is_too_long(self) -> bool:
        """Whether more bytes than those of the longest event wait for its end."""
        return len(self._buffer) > MAX_EVENT_BYTES

    def take_remainder(self) -> bytes:
        """Return and clear the bytes after the last complete event."""
        rest = bytes(self._buffer)
        self._buffer.clear()
        return rest

    def discard_partial(self) -> None:
        """Drop an incomplete event; the next upstream sends it again in full."""
        self._buffer.clear()


def _ids(events: bytes) -> t.Iterator[bytes]:
    for line in events.removeprefix(codecs.BOM_UTF8).splitlines():
        if line.startswith(b"id:"):
            yield line[3:].strip()
