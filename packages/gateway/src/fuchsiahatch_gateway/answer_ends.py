"""How the answers of upstreams end."""

import dataclasses
import typing as t

from fuchsiahatch_http1.answers import AnswerBroken, Framing

if t.TYPE_CHECKING:
    from fuchsiahatch_gateway.event_stream import EventSplitter
    from fuchsiahatch_http1.answers import Head
    from fuchsiahatch_http1.client import ClientConnection

_EVENT_STREAM = b"text/event-stream"


@dataclasses.dataclass(frozen=True, slots=True)
class Ending:
    """How an attempt's answer ended, for the log and the metrics.

    Attributes
    ----------
    framing : str
        How it stated where its body ends; empty without a head.
    end : str
        What ended it on its connection; empty if this side gave it up.
    partial_bytes : int
        Bytes of a stream after its last complete event.
    last_event_id : str or None
        Id of the last complete event of a stream.
    """

    framing: str
    end: str
    partial_bytes: int = 0
    last_event_id: str | None = None


def describe_ending(
    connection: "ClientConnection", events: "EventSplitter | None"
) -> Ending:
    """Return how the current answer on a connection ended."""
    framing = "" if connection.framing is None else connection.framing.value
    end = "" if connection.end is None else connection.end.value
    if events is None:
        return Ending(framing, end)
    last_id = None if events.last_id is None else events.last_id.decode("latin-1")
    return Ending(framing, end, events.partial_bytes, last_id)


def is_event_stream(head: "Head") -> bool:
    """Return whether an answer is a stream of events; one that doesn't say may be."""
    content_type = head.header(b"content-type")
    return content_type is None or content_type.lower().startswith(_EVENT_STREAM)


async def check_complete(
    connection: "ClientConnection",
    events: "EventSplitter | None",
    still_works: t.Callable[[], t.Awaitable[bool]],
) -> None:
    """Check that the answer whose body has ended on a connection is complete.

    A stream is never complete inside an event, however its end is stated: an upstream
    that crashes closes its connections as one that has finished does, and a proxy in
    front of it may send a last chunk. For the same reason an answer with neither a
    length nor chunks is complete only if its upstream still works.

    Parameters
    ----------
    connection : ClientConnection
    events : EventSplitter or None
        Of a stream; None for any other answer.
    still_works : coroutine function
        Returns whether the upstream works now.

    Raises
    ------
    AnswerBroken
    """
    if events is not None and events.partial_bytes:
        raise AnswerBroken("the stream ended inside an event")
    if connection.framing is Framing.UNTIL_CLOSE and not await still_works():
        raise AnswerBroken("closed without framing by an upstream that doesn't work")


def is_framed(ending: Ending | None) -> bool:
    """Return whether an answer stated where its body ends."""
    return ending is None or ending.framing != Framing.UNTIL_CLOSE.value


def ending_fields(ending: Ending | None) -> dict[str, t.Any]:
    """Return the fields of a log line that say how an answer ended."""
    if ending is None:
        return {}
    return {
        "framing": ending.framing,
        "answer_end": ending.end,
        "partial_bytes": ending.partial_bytes,
        "last_event_id": ending.last_event_id,
    }
