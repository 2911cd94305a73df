"""Puts what entries tell each other into protobuf messages, and reads it back."""

import dataclasses
import typing as t

from fuchsiahatch_membership.heartbeats import Beat
from fuchsiahatch_placement.acceptance import PeerAnswer, Question, Report
from fuchsiahatch_wire import peers_pb2


def to_wire_beats(beats: t.Iterable[Beat]) -> peers_pb2.Beats:
    """Put heartbeats into their message."""
    return peers_pb2.Beats(beats=[peers_pb2.Beat(**_fields(beat)) for beat in beats])


def from_wire_beats(message: peers_pb2.Beats) -> tuple[Beat, ...]:
    """Read heartbeats out of their message."""
    return tuple(Beat(**_fields(beat, Beat)) for beat in message.beats)


def to_wire_question(question: Question) -> peers_pb2.Question:
    """Put a question into its message."""
    return peers_pb2.Question(**_fields(question))


def from_wire_question(message: peers_pb2.Question) -> Question:
    """Read a question out of its message."""
    return Question(**_fields(message, Question))


def to_wire_report(report: Report) -> peers_pb2.Report:
    """Put a report into its message."""
    return peers_pb2.Report(**_fields(report))


def from_wire_report(message: peers_pb2.Report) -> Report:
    """Read a report out of its message."""
    named = _fields(message, Report)
    return Report(**named | {"schemas": frozenset(message.schemas)})


def to_wire_answer(answer: PeerAnswer) -> peers_pb2.Answer:
    """Put an answer to a question into its message."""
    return peers_pb2.Answer(
        question=to_wire_question(answer.question),
        report=to_wire_report(answer.report),
        roster_document=answer.roster_document,
        document=answer.document,
    )


def from_wire_answer(message: peers_pb2.Answer) -> PeerAnswer:
    """Read an answer to a question out of its message."""
    has_roster = message.HasField("roster_document")
    has_document = message.HasField("document")
    return PeerAnswer(
        from_wire_question(message.question),
        from_wire_report(message.report),
        message.roster_document if has_roster else None,
        message.document if has_document else None,
    )


def _fields(value: t.Any, kind: t.Any = None) -> dict[str, t.Any]:
    """Return a dataclass's fields, or a message's fields of the same names."""
    names = (field.name for field in dataclasses.fields(kind or value))
    return {name: getattr(value, name) for name in names}
