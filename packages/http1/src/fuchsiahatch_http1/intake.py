"""The receiving side of a caller's connection: when it is read, and what is parsed."""

import typing as t

from fuchsiahatch_http1.request_reader import Part, RequestReader, RequestRefused
from fuchsiahatch_http1.socket_queues import buffered_bytes

if t.TYPE_CHECKING:
    from fuchsiahatch_http1.server_state import CallerShare

#: Parts of requests, as heads and chunks, that are parsed of one connection before
#: others have their turn. A single read may hold ten thousand of them.
MAX_PARTS_AT_ONCE = 16


class IntakeOwner(t.Protocol):
    """The connection that requests are read for."""

    transport: t.Any

    @property
    def reads(self) -> bool:
        """Whether the next bytes received belong to a request that is served."""

    def begin_request(self) -> None:
        """Note that the head of a request has been read."""

    def handle_request(self) -> None:
        """Handle a whole request."""

    def wait_for_more(self) -> None:
        """Wait for more bytes."""

    def refuse(self, refusal: RequestRefused) -> None:
        """Refuse a request that can't be read on."""

    def give_way(self) -> None:
        """Refuse a request that isn't whole, as the process has no room for it."""


class Intake:
    """Reads requests a few parts at a time, and pauses the socket in between.

    Parameters
    ----------
    owner : IntakeOwner
    reader : RequestReader
    share : CallerShare

    Attributes
    ----------
    has_ended : bool
        Whether the caller has ended its sending side, so that the socket isn't read any
        more.
    """

    __slots__ = (
        "_awaits_turn",
        "_held_bytes",
        "_is_paused",
        "_owner",
        "_reader",
        "_received",
        "_turns",
        "has_ended",
    )

    def __init__(
        self, owner: IntakeOwner, reader: RequestReader, share: "CallerShare"
    ) -> None:
        self._owner = owner
        self._reader = reader
        self._received = share.received
        self._turns = share.turns
        self._awaits_turn = False
        self._is_paused = False
        self._held_bytes = 0
        self.has_ended = False

    def go_on(self) -> None:
        """Parse received bytes, unless the answers before haven't left the process.

        Then the socket isn't read either, and the caller can send no more before it
        receives what it has asked for.
        """
        if not self._owner.reads or self._awaits_turn:
            return
        if buffered_bytes(self._owner.transport) and self._reader.request is None:
            self._pause()
            return
        self._parse()

    def await_turn(self) -> None:
        """Go on once other connections have had their turn; read no more until then."""
        if self._awaits_turn:
            return
        self._pause()
        self._awaits_turn = True
        self._turns.add(self._take_turn)

    def note_flushed(self) -> None:
        """Go on with requests that came before the answers had left."""
        if self._is_paused and self._owner.reads:
            self.await_turn()

    def note_held(self) -> None:
        """Count what is held of requests that aren't whole."""
        held_bytes = self._reader.held_bytes
        if held_bytes != self._held_bytes:
            self._held_bytes = held_bytes
            self._received.note_held(self._owner, held_bytes)

    def resume(self) -> None:
        """Read the socket again."""
        if self._is_paused:
            self._is_paused = False
            self._owner.transport.resumeProducing()

    def forget(self) -> None:
        """Drop all that was received, as nobody reads it any more."""
        self._turns.discard(self._take_turn)
        self._reader.forget()
        self._held_bytes = 0
        self._received.note_dropped(self._owner)

    def _parse(self) -> None:
        """Parse some parts; the others wait for their turn."""
        try:
            for _ in range(MAX_PARTS_AT_ONCE):
                if not self._owner.reads:
                    return
                if not self._read_part():
                    return
            self.await_turn()
        except RequestRefused as refusal:
            self._owner.refuse(refusal)

    def _read_part(self) -> bool:
        """Parse one part; return False if more bytes must arrive first."""
        part = self._reader.read_part()
        if part is Part.HEAD:
            self._owner.begin_request()
        elif part is Part.END:
            self._owner.handle_request()
        elif part is Part.NOTHING:
            self._owner.wait_for_more()
        return part is not Part.NOTHING

    def _take_turn(self) -> None:
        self._awaits_turn = False
        self.go_on()
        self.note_held()

    def _pause(self) -> None:
        if not self._is_paused and not self.has_ended:
            self._is_paused = True
            self._owner.transport.pauseProducing()
