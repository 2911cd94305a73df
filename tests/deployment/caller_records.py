"""What a caller saw of one sending of a request, as a JSON line."""

import dataclasses
import enum
import json


class Ending(enum.StrEnum):
    """How an answer ended for its caller."""

    WHOLE = "whole"
    FIN = "fin"
    RESET = "reset"
    TIMEOUT = "timeout"
    LEFT = "left"


class EndedBy(enum.StrEnum):
    """Who ended an answer or its connection."""

    ANSWER = "answer"
    ENTRY = "entry"
    CALLER = "caller"


@dataclasses.dataclass(slots=True)
class Record:
    """One sending of a request; times are by `time.monotonic`, 0 if never.

    Attributes
    ----------
    request, kind, target, caller, entry : str
        Its id, the kind's name, the target, who sent it, and the entry's address.
    local_port : int
        Port of the caller's connection; 0 if it wasn't established.
    number : int
        1 for the first sending of a request, one more for each further one.
    on_kept : bool
        Whether the connection had carried a request before.
    until_s : float
        End of the time limit, which counts from the request's first sending.
    sent_s, read_s : float
        When the first byte was sent, and when the last one was seen acknowledged.
    first_byte_s, last_byte_s, ended_s : float
        When the first and last bytes of the answer were read, and when it ended.
    status, events, bytes : int
        0 without an answer; whole events read; bytes of the body read.
    last_event : int
        Number of the event behind which the stream went on; 0 for a first sending.
    first_piece, last_piece : int
        Numbers of the first and last whole events.
    whole : bool
    ending : Ending
    ended_by : EndedBy
    manner : str
        What the caller does otherwise than most, with spaces between.
    seen : str
        How the caller saw the end: the flags that epoll reported, and the error.
    unread_bytes : int
        Bytes that were still readable at the end, and were dropped.
    whole_if_read : bool
        Whether the answer would have been whole with them.
    detail : str
    """

    request: str
    kind: str
    target: str
    caller: str
    entry: str
    local_port: int = 0
    number: int = 1
    on_kept: bool = False
    until_s: float = 0.0
    sent_s: float = 0.0
    read_s: float = 0.0
    first_byte_s: float = 0.0
    last_byte_s: float = 0.0
    ended_s: float = 0.0
    status: int = 0
    events: int = 0
    bytes: int = 0
    last_event: int = 0
    first_piece: int = 0
    last_piece: int = 0
    whole: bool = False
    ending: Ending = Ending.LEFT
    ended_by: EndedBy = EndedBy.CALLER
    manner: str = ""
    seen: str = ""
    unread_bytes: int = 0
    whole_if_read: bool = False
    detail: str = ""

    def encode(self):
        """Return it as a JSON line."""
        return json.dumps(dataclasses.asdict(self), separators=(",", ":"))
