"""Numbers the frames of one attempt's answer and closes them with its digest."""

import typing as t

from fuchsiahatch_core.exceptions import AttemptError, FuchsiahatchError
from fuchsiahatch_delivery.answers import AnswerMeter
from fuchsiahatch_delivery.verdicts import Verdict
from fuchsiahatch_wire import attempts_pb2

if t.TYPE_CHECKING:
    from fuchsiahatch_daemon.recording import Part


class FrameMaker:
    """Makes the frames of one attempt.

    Parameters
    ----------
    attempt : AttemptId
        As it came over the wire.

    Notes
    -----
    .. versionadded:: 0.1
    """

    __slots__ = ("_attempt", "_meter", "_sequence")

    def __init__(self, attempt: attempts_pb2.AttemptId) -> None:
        self._attempt = attempt
        self._meter = AnswerMeter()
        self._sequence = 0

    def of_part(self, part: "Part") -> attempts_pb2.Frame:
        """Make the frame of a head or of a piece."""
        if isinstance(part, bytes):
            self._meter.add(part)
            return self._next(chunk=part)
        return self._next(head=part)

    def end(self, load: attempts_pb2.LoadReport) -> attempts_pb2.Frame:
        """Make the frame that says the answer is whole."""
        end = attempts_pb2.End(
            length_bytes=self._meter.length_bytes,
            digest=self._meter.digest(),
            load=load,
        )
        return self._next(end=end)

    def refusal(
        self, fault: FuchsiahatchError, load: attempts_pb2.LoadReport
    ) -> attempts_pb2.Frame:
        """Make the frame that ends an attempt without a whole answer."""
        refusal = attempts_pb2.Refusal(
            verdict=int(verdict_of(fault)),
            code=int(fault.result),
            detail=fault.detail,
            retry_after_ms=fault.retry_after_ms or 0,
            load=load,
        )
        return self._next(refusal=refusal)

    def _next(self, **body: t.Any) -> attempts_pb2.Frame:
        frame = attempts_pb2.Frame(
            attempt=self._attempt, sequence=self._sequence, **body
        )
        self._sequence += 1
        return frame


def verdict_of(fault: FuchsiahatchError) -> Verdict:
    """Return the final word that an error of the home means."""
    return Verdict.UNKNOWN if isinstance(fault, AttemptError) else Verdict.NOT_RUN
