"""Puts what entries tell each other into protobuf messages, and reads it back."""

import typing as t

from fuchsiahatch_membership.heartbeats import Beat
from fuchsiahatch_placement.acceptance import PeerAnswer, Question, Report
from fuchsiahatch_wire import peers_pb2


def to_wire_beats(beats: t.Iterable[Beat]) -> peers_pb2.Beats:
    """Put heartbeats into their message."""
    return peers_pb2.Beats(beats=list(map(_to_wire_beat, beats)))


def from_wire_beats(message: peers_pb2.Beats) -> tuple[Beat, ...]:
    """Read heartbeats out of their message."""
    return tuple(map(_from_wire_beat, message.beats))


def to_wire_question(question: Question) -> peers_pb2.Question:
    """Put a question into its message."""
    return peers_pb2.Question(
        host=question.host,
        incarnation=question.incarnation,
        number=question.number,
        roster_revision=question.roster_revision,
        revision=question.revision,
    )


def from_wire_question(message: peers_pb2.Question) -> Question:
    """Read a question out of its message."""
    return Question(
        message.host,
        message.incarnation,
        message.number,
        message.roster_revision,
        message.revision,
    )


def to_wire_report(report: Report) -> peers_pb2.Report:
    """Put a report into its message."""
    return peers_pb2.Report(
        host=report.host,
        incarnation=report.incarnation,
        region=report.region,
        zone=report.zone,
        roster_revision=report.roster_revision,
        revision=report.revision,
        roster_change_id=report.roster_change_id,
        change_id=report.change_id,
        votes=report.votes,
        reverted=report.reverted,
        schemas=sorted(report.schemas),
    )


def from_wire_report(message: peers_pb2.Report) -> Report:
    """Read a report out of its message."""
    return Report(
        message.host,
        message.incarnation,
        message.region,
        message.zone,
        message.roster_revision,
        message.revision,
        message.roster_change_id,
        message.change_id,
        message.votes,
        message.reverted,
        frozenset(message.schemas),
    )


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


def _to_wire_beat(beat: Beat) -> peers_pb2.Beat:
    return peers_pb2.Beat(
        host=beat.host,
        incarnation=beat.incarnation,
        number=beat.number,
        age_ms=beat.age_ms,
        leaving=beat.leaving,
        revision=beat.revision,
        roster_revision=beat.roster_revision,
        open_requests=beat.open_requests,
    )


def _from_wire_beat(message: peers_pb2.Beat) -> Beat:
    return Beat(
        message.host,
        message.incarnation,
        message.number,
        message.age_ms,
        message.leaving,
        message.revision,
        message.roster_revision,
        message.open_requests,
    )
