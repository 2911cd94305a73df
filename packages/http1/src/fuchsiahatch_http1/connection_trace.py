"""What is remembered of a connection, to tell how it ended."""

from twisted.internet import reactor

from fuchsiahatch_http1.connection_states import (
    ClosedConnection,
    CloseReason,
    Headers,
    PeerEnd,
)


class ConnectionTrace:
    """The last answer on a connection, and its close.

    Attributes
    ----------
    reason : CloseReason or None
        Why its close began; None if it hasn't.
    discarded_bytes : int
        Bytes that were received since then.
    """

    __slots__ = (
        "_answer_bytes",
        "_answered_s",
        "_began_s",
        "_headers",
        "discarded_bytes",
        "reason",
    )

    def __init__(self) -> None:
        self._headers: Headers = ()
        self._answer_bytes = 0
        self._answered_s: float | None = None
        self._began_s: float | None = None
        self.reason: CloseReason | None = None
        self.discarded_bytes = 0

    def note_answer(self, headers: Headers, answer_bytes: int) -> None:
        """Note that an answer has been finished."""
        self._headers = headers
        self._answer_bytes = answer_bytes
        self._answered_s = reactor.seconds()

    def note_close(self, reason: CloseReason) -> None:
        """Note that the close begins."""
        self.reason = reason
        self._began_s = reactor.seconds()

    def describe(
        self, unacknowledged_bytes: int, unread_bytes: int, peer_end: PeerEnd
    ) -> ClosedConnection:
        """Return how the connection ends."""
        return ClosedConnection(
            self.reason,
            self._headers,
            _age_ms(self._answered_s),
            self._answer_bytes,
            unacknowledged_bytes,
            unread_bytes,
            self.discarded_bytes,
            _age_ms(self._began_s),
            peer_end,
        )


def _age_ms(since_s: float | None) -> int | None:
    return None if since_s is None else int(1000 * (reactor.seconds() - since_s))
