"""Tells a caller that has left from one that has ended its sending side alone."""

import typing as t

from twisted.internet import reactor

from fuchsiahatch_http1.connection_states import PeerEnd

if t.TYPE_CHECKING:
    from fuchsiahatch_http1.caller_transport import CallerTransport

#: Time for an answer before it is asked whether the caller is still there. The work for
#: one that has left must stop within half a second, a round trip and the poll included.
ASK_DELAY_MS = 150
#: Interval at which it is then checked whether the caller has left.
POLL_INTERVAL_MS = 20


class HalfClose:
    """Asks a caller that has closed its sending side whether it is still there.

    Parameters
    ----------
    transport : CallerTransport
    ask : callable
        Writes something to the connection, if that is possible now. A socket that is
        closed answers with a reset, one whose sending side alone is closed doesn't.
    on_left : callable
        Called once the connection is known to have ended.
    """

    __slots__ = ("_ask", "_on_left", "_timer", "_transport")

    def __init__(
        self,
        transport: "CallerTransport",
        ask: t.Callable[[], None],
        on_left: t.Callable[[], None],
    ) -> None:
        self._transport = transport
        self._ask = ask
        self._on_left = on_left
        self._timer = reactor.callLater(ASK_DELAY_MS / 1000, self._begin)

    def stop(self) -> None:
        """Do nothing more."""
        if self._timer.active():
            self._timer.cancel()

    def _begin(self) -> None:
        self._ask()
        self._schedule()

    def _schedule(self) -> None:
        self._timer = reactor.callLater(POLL_INTERVAL_MS / 1000, self._check)

    def _check(self) -> None:
        # The socket isn't read any more, so that nothing else tells of its reset.
        if self._transport.look_for_peer_end() in (PeerEnd.OPEN, PeerEnd.CLOSED):
            self._schedule()
        else:
            self._on_left()
