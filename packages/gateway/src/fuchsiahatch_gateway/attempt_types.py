"""Parameters and outcomes of attempts to send a request to an upstream."""

import dataclasses
import typing as t

from fuchsiahatch_adapter import names
from fuchsiahatch_gateway.event_stream import shows_progress
from fuchsiahatch_gateway.next_steps import Result
from fuchsiahatch_http1.client import ignore_data

if t.TYPE_CHECKING:
    from fuchsiahatch_gateway.answer_ends import Ending
    from fuchsiahatch_gateway.event_stream import EventSplitter
    from fuchsiahatch_gateway.kept_bytes import Reservation
    from fuchsiahatch_gateway.known_upstream import Upstream
    from fuchsiahatch_http1.answers import Bound, Head
    from fuchsiahatch_http1.client import ClientConnection

#: First status that states a failure of the upstream itself.
UPSTREAM_FAILED = 500
#: Status of an upstream at whose address another one was expected.
MISPLACED = 421


@dataclasses.dataclass(slots=True)
class Outcome:
    """How an attempt ended.

    Attributes
    ----------
    result : Result
    detail : str
        The reason, for the log.
    head : Head or None
        Of the upstream's answer; None without one.
    body : bytes
        Of a complete answer that was not relayed yet.
    relayed : bool
        Whether the complete answer has been sent to the caller.
    closed_early : bool
        Whether the upstream closed the connection before its answer was complete.
    events_relayed : bool
        Whether events of its answer were relayed to the caller.
    group_crashed : bool
        Whether the upstream, a rank of a group, crashed before any event was relayed.
    withdrawn : bool
        Whether the upstream stopped accepting requests before anything was sent.
    ending : Ending or None
        How the upstream's answer ended; None if nothing was sent.
    is_suspended : bool
        Whether the upstream was merely silent: its connection is open, and the attempt
        can be continued.
    was_superseded : bool
        Whether the attempt was ended as the suspended one's answer went on.
    """

    result: Result
    detail: str = ""
    head: "Head | None" = None
    body: bytes = b""
    relayed: bool = False
    closed_early: bool = False
    events_relayed: bool = False
    group_crashed: bool = False
    withdrawn: bool = False
    ending: "Ending | None" = None
    is_suspended: bool = False
    was_superseded: bool = False

    @property
    def status(self) -> int:
        """Status of the upstream's answer; 0 without one."""
        return 0 if self.head is None else self.head.status

    @property
    def retry_after(self) -> list[str]:
        """Retry-After values of the upstream's answer, as sent."""
        if self.head is None:
            return []
        return [
            value.decode("latin-1") for value in self.head.values(names.RETRY_AFTER)
        ]

    @property
    def misplaced(self) -> bool:
        """Whether another upstream answered at the address."""
        return self.result is Result.NOT_RUN and self.status == MISPLACED

    @property
    def names_request(self) -> bool:
        """Whether the upstream's answer has an id, which tells a late repeat apart."""
        return self.head is not None and bool(self.head.header(names.REQUEST_ID))

    @property
    def succeeded(self) -> bool:
        """Whether the upstream has answered completely and with success."""
        return self.result is Result.ANSWERED and 200 <= self.status < 300

    @property
    def upstream_failed(self) -> bool:
        """Whether the answer is an error of the upstream."""
        return self.status >= UPSTREAM_FAILED


@dataclasses.dataclass(slots=True)
class Attempt:
    """Parameters and callbacks of an attempt.

    Attributes
    ----------
    upstream : Upstream
    team : str
    left_ms : int
        Time left for the answer.
    silence_ms : int or None
        Silence after which the attempt may be abandoned; None to wait until the
        deadline.
    may_send : callable
        Returns whether the upstream still accepts requests.
    may_give_up : callable
        Returns whether the request can be retried now, and takes that retry: the
        attempt must be given up then.
    may_move : callable
        Returns whether a stream in progress can move to another upstream now; likewise.
    events : EventSplitter or None
        For a stream, with the state left by earlier attempts.
    on_event : callable
        Called when events are relayed.
    on_head : callable
        Called with the head of the upstream's answer when it arrives, unless another
        upstream answered.
    on_skipped_head : callable
        Called with the head of its answer to an earlier request.
    withdrawals : set of callable
        While the head of the answer is awaited, holds a function that withdraws the
        request unless it `may_stay`.
    may_stay : callable
        Returns whether the request may still begin at the upstream; takes the retry
        that a withdrawn one needs.
    used_connections : list of ClientConnection
        Those that earlier attempts of this request were sent on; extended by this one.
    still_works : coroutine function
        Returns whether the upstream works now; asked when only the end of its
        connection has ended its answer.
    kept : Reservation
        Share of this answer in the memory for answers.
    on_bound : callable
        Called with a bound that the answer has reached.
    urgency : int or None
        Priority class that the upstream is told; None to tell it none.
    suspended : Attempt or None
        An earlier attempt whose upstream was silent; if that goes on before the first
        event of this one, this one is given up.
    on_relay : callable
        Called before the beginning of a plain answer is relayed.
    sent_ms : int
        When it began.
    connection : ClientConnection or None
        The connection that it was sent on; None before that.
    head : Head or None
        Of the upstream's answer; None before it arrives.
    partial : bytes
        Beginning of an event that had arrived when the attempt was suspended.
    """

    upstream: "Upstream"
    team: str
    left_ms: int
    silence_ms: int | None
    may_send: t.Callable[[], bool]
    may_give_up: t.Callable[[], bool]
    may_move: t.Callable[[], bool]
    events: "EventSplitter | None"
    on_event: t.Callable[[], None]
    on_head: "t.Callable[[Head], None]"
    on_skipped_head: "t.Callable[[Head], None]"
    withdrawals: set[t.Callable[[], None]]
    may_stay: t.Callable[[], bool]
    used_connections: "list[ClientConnection]"
    still_works: t.Callable[[], t.Awaitable[bool]]
    kept: "Reservation"
    on_bound: "t.Callable[[Bound], None]"
    urgency: int | None = None
    suspended: "Attempt | None" = None
    on_relay: t.Callable[[], None] = lambda: None
    sent_ms: int = 0
    connection: "ClientConnection | None" = None
    head: "Head | None" = None
    partial: bytes = b""

    @property
    def is_superseded(self) -> bool:
        """Whether the suspended attempt's answer has gone on."""
        return self.suspended is not None and self.suspended.has_progress

    def watch_suspended(self, on_data: t.Callable[[], None] | None) -> None:
        """Call a function when the suspended attempt's upstream sends more."""
        if self.suspended is not None and self.suspended.connection is not None:
            self.suspended.connection.on_data = on_data or ignore_data

    @property
    def has_progress(self) -> bool:
        """Whether more of the answer has arrived since the attempt was suspended."""
        unread = b"" if self.connection is None else self.connection.unread
        return bool(unread) if self.head is None else shows_progress(unread)

    @property
    def has_begun(self) -> bool:
        """Whether any of the answer has arrived since the attempt was sent."""
        return self.head is not None or self.has_progress
