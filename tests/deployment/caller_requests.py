"""The requests that callers send, drawn by the kinds of a deployment."""

import dataclasses
import time

from tests.deployment.caller_manners import BodyForm
from tests.deployment.targets import encode_target

#: Longest and shortest time between two events of a stream, as multiples of its mean.
INTERVAL_FACTORS = (0.5, 1.5)
#: Bytes of a plain answer, and the spread of the time that it takes.
ANSWER_BYTES, WORK_FACTORS = (20, 20_000), (0.5, 2.0)
#: Pause in the middle of a slow body, and the bytes of one of its chunks.
BODY_PAUSE_S, CHUNK_BYTES = 0.4, 4_096
STREAM, SAFE, UNSAFE = "stream", "safe", "unsafe"


@dataclasses.dataclass(frozen=True, slots=True)
class Kind:
    """A kind of request.

    Attributes
    ----------
    name, prefix, method : str
    kind : str
        "stream", "safe" or "unsafe".
    resumable : bool
        Whether a broken stream may go on in another answer.
    objective_ms, time_limit_ms : int
        Time in which an answer is of full worth, and for which its caller waits.
    share : float
    request_bytes : int
    events_mean, events_max : int
        Events of a stream.
    work_ms : int
        Mean time between two events, or mean time of a plain answer.
    """

    name: str
    prefix: str
    method: str
    kind: str
    resumable: bool
    objective_ms: int
    time_limit_ms: int
    share: float
    request_bytes: int
    events_mean: int
    events_max: int
    work_ms: int

    @property
    def may_repeat(self):
        """Whether it may be sent again after any failure."""
        return self.kind == SAFE or self.resumable

    @property
    def streams(self):
        """Whether its answer is a series of events."""
        return self.kind == STREAM


@dataclasses.dataclass(slots=True)
class Request:
    """A request of a caller, over all its sendings.

    Attributes
    ----------
    kind : Kind
    target : str
    events : int
        Events of its whole stream; 0 for a plain answer.
    lasts_s : float
        Time that its answer takes at an idle upstream.
    until_s : float
        When its caller stops waiting.
    last_event : int
        Number of the last whole event read so far.
    tries : int
    """

    kind: Kind
    target: str
    events: int
    lasts_s: float
    until_s: float
    last_event: int = 0
    tries: int = 0


def draw_request(rng, kinds):
    """Return a request of one of some kinds, whose time limit begins now.

    Parameters
    ----------
    rng : random.Random
    kinds : sequence of Kind

    Returns
    -------
    Request
    """
    (kind,) = rng.choices(kinds, [kind.share for kind in kinds])
    until_s = time.monotonic() + kind.time_limit_ms / 1000
    if kind.streams:
        amount = min(
            kind.events_max, max(1, round(rng.expovariate(1 / kind.events_mean)))
        )
        time_ms = max(1, round(kind.work_ms * rng.uniform(*INTERVAL_FACTORS)))
        events, lasts_s = amount, amount * time_ms / 1000
    else:
        amount = rng.randint(*ANSWER_BYTES)
        time_ms = round(kind.work_ms * rng.uniform(*WORK_FACTORS))
        events, lasts_s = 0, time_ms / 1000
    target = encode_target(kind.prefix, amount, time_ms)
    return Request(kind, target, events, lasts_s, until_s)


def encode_head(request, request_id, host, key, form):
    """Return the head of one sending of a request.

    Parameters
    ----------
    request : Request
    request_id, host, key : str
    form : BodyForm

    Returns
    -------
    bytes
    """
    left_ms = max(1, round(1000 * (request.until_s - time.monotonic())))
    size = request.kind.request_bytes
    lines = [
        f"{request.kind.method} {request.target} HTTP/1.1",
        f"Host: {host}",
        f"Fuchsiahatch-Request-Id: {request_id}",
        f"Fuchsiahatch-Deadline-Ms: {left_ms}",
        f"Authorization: Token {key}",
    ]
    if request.last_event:
        lines.append(f"Last-Event-Id: {request.last_event}")
    if size and form is BodyForm.CHUNKS:
        lines.append("Transfer-Encoding: chunked")
    elif size or request.kind.method != "GET":
        lines.append(f"Content-Length: {size}")
    if size and form is BodyForm.EXPECT:
        lines.append("Expect: 100-continue")
    return "\r\n".join([*lines, "", ""]).encode()


def encode_body(request, form):
    """Return the body of a request in pieces, each with the pause before it.

    Returns
    -------
    list of (float, bytes)
        Seconds and bytes.
    """
    body = b"b" * request.kind.request_bytes
    if not body:
        return []
    if form is BodyForm.SLOW:
        half = len(body) // 2
        return [(0.0, body[:half]), (BODY_PAUSE_S, body[half:])]
    if form is not BodyForm.CHUNKS:
        return [(0.0, body)]
    starts = range(0, len(body), CHUNK_BYTES)
    chunks = [body[start : start + CHUNK_BYTES] for start in starts]
    coded = [b"%x\r\n%s\r\n" % (len(chunk), chunk) for chunk in chunks]
    return [(0.0, b"".join(coded) + b"0\r\n\r\n")]
