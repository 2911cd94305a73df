"""Receiving the frames of one attempt: drops foreign and repeated frames."""

import typing as t

from fuchsiahatch_core.codes import Code
from fuchsiahatch_core.exceptions import AttemptError
from fuchsiahatch_delivery.answers import AnswerMeter

if t.TYPE_CHECKING:
    from fuchsiahatch_core.identities import AttemptId


class Intake:
    """Decides which frames belong to an attempt's answer, and whether it is whole.

    Parameters
    ----------
    attempt : AttemptId
        The attempt whose answer is received.

    Notes
    -----
    .. versionadded:: 0.1
    """

    __slots__ = ("_attempt", "_expected", "_meter", "ended", "first_byte_sent")

    def __init__(self, attempt: "AttemptId") -> None:
        self._attempt = attempt
        self._expected = 0
        self._meter = AnswerMeter()
        self.ended = False
        self.first_byte_sent = False

    def accepts(self, attempt: "AttemptId", sequence: int) -> bool:
        """Return whether a frame is the next one of this answer.

        Raises
        ------
        AttemptError
            When frames before it are missing.
        """
        # A late frame of another attempt would give a caller another one's answer; a
        # repeated one would duplicate a part of the answer.
        if attempt != self._attempt or sequence < self._expected:
            return False
        if sequence > self._expected:
            detail = f"frame {self._expected} of the answer was lost"
            raise AttemptError(detail, Code.TRUNCATED)
        self._expected += 1
        return True

    def head(self) -> None:
        """Note that the answer's head goes to the caller."""
        self.first_byte_sent = True

    def chunk(self, piece: bytes) -> None:
        """Note a piece that goes to the caller."""
        self._meter.add(piece)

    def end(self, length_bytes: int, digest: bytes) -> None:
        """Check the length and digest at the end against the received pieces.

        Raises
        ------
        AttemptError
            When the answer isn't what the home sent.
        """
        self._meter.check(length_bytes, digest)
        self.ended = True

    def finish(self) -> None:
        """Check, when no more frames come, that the end was among them.

        Raises
        ------
        AttemptError
            When it was not: a truncated answer must not look whole.
        """
        if not self.ended:
            raise AttemptError("the answer stopped without its end", Code.TRUNCATED)
