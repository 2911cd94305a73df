"""Splitting a server-sent event stream at event boundaries."""

import codecs
import re
import typing as t

#: Length above which an event counts as one that doesn't end.
MAX_EVENT_BYTES = 1_048_576
#: Bytes of comments and of lines without meaning that may come between two events.
MAX_QUIET_BYTES = 262_144
#: A line's end and a blank line; lines end in CRLF, LF or CR. A CR at the end of the
#: received bytes counts, though an LF that belongs to it may follow.
_EVENT_END = re.compile(rb"(?:\r\n|\n|\r(?!\n)){2}")
#: Bytes before new ones in which the end of an event may have begun.
_OVERLAP_BYTES = 3
#: A line that makes an event more than a comment.
_PROGRESS_LINE = re.compile(rb"(?:\A|[\r\n])(?:data|id)[:\r\n]")
_LINE_ENDS = b"\r\n"


class EventSplitter:
    """Buffers bytes of a stream and returns complete events.

    Attributes
    ----------
    last_id : bytes or None
        Id of the last complete event, for the Last-Event-ID header of a resumed stream;
        None where the stream can't be resumed.
    progressed : bool
        Whether the latest bytes completed an event with data or an id. Comments keep a
        connection alive, but are no progress.
    quiet_bytes : int
        Complete lines since the latest such event.
    """

    __slots__ = ("_buffer", "last_id", "progressed", "quiet_bytes")

    def __init__(self) -> None:
        self._buffer = bytearray()
        self.last_id: bytes | None = None
        self.progressed = False
        self.quiet_bytes = 0

    def feed(self, data: bytes) -> bytes:
        """Add bytes to the buffer; return the events that are complete now."""
        searched = max(len(self._buffer) - _OVERLAP_BYTES, 0)
        self._buffer += data
        end = 0
        for match in _EVENT_END.finditer(self._buffer, searched):
            end = match.end()
        self.progressed = False
        if not end:
            return b""
        whole = bytes(self._buffer[:end])
        del self._buffer[:end]
        self._note_progress(whole)
        for event_id in _ids(whole):
            # An empty id revokes the ones before it.
            self.last_id = event_id or None
        return whole

    def _note_progress(self, whole: bytes) -> None:
        text = whole.removeprefix(codecs.BOM_UTF8)
        self.progressed = _PROGRESS_LINE.search(text) is not None
        self.quiet_bytes = 0 if self.progressed else self.quiet_bytes + len(whole)

    @property
    def buffered_bytes(self) -> int:
        """Number of bytes after the last complete event."""
        return len(self._buffer)

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
        self.quiet_bytes = 0
        self._buffer.clear()


def shows_progress(data: bytes) -> bool:
    """Return whether bytes of a stream, framed or not, hold more than comments."""
    return _PROGRESS_LINE.search(data) is not None


def _ids(events: bytes) -> t.Iterator[bytes]:
    for line in events.removeprefix(codecs.BOM_UTF8).splitlines():
        if line.startswith(b"id:"):
            yield line[3:].strip()
