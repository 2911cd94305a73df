"""Messages of step grants in and out of their protobuf form."""

import typing as t

from fuchsiahatch_core.codes import Code
from fuchsiahatch_experts.grants import (
    Accepted,
    Answer,
    Ask,
    Commit,
    Committed,
    EngineState,
    Proposal,
    Propose,
    Refused,
    Request,
    Told,
    Window,
)
from fuchsiahatch_wire import steps_pb2

_Wish = t.TypeVar("_Wish", Propose, Commit)


def to_wire_ask(group: str, ask: Ask) -> steps_pb2.AskRequest:
    """Put a question into its message."""
    return steps_pb2.AskRequest(
        group=group,
        term=ask.term,
        epoch=ask.epoch,
        number=ask.number,
        begin=ask.begin,
        wanted_map=ask.wanted_map,
    )


def from_wire_ask(message: steps_pb2.AskRequest) -> Ask:
    """Read a question out of its message."""
    return Ask(
        message.term, message.epoch, message.number, message.begin, message.wanted_map
    )


def to_wire_window_request(
    group: str, request: Propose | Commit
) -> steps_pb2.WindowRequest:
    """Put a proposal or a commit into its message."""
    return steps_pb2.WindowRequest(
        group=group,
        term=request.term,
        epoch=request.epoch,
        incarnation=request.incarnation,
        window=_to_wire_window(request.window),
    )


def from_wire_window_request(
    message: steps_pb2.WindowRequest, kind: type[_Wish]
) -> _Wish:
    """Read a proposal or a commit out of its message."""
    window = _from_wire_window(message.window)
    return kind(message.term, message.epoch, message.incarnation, window)


def to_wire_answer(answer: Answer) -> steps_pb2.StepReply:
    """Put a rank's answer into its message."""
    reply = steps_pb2.StepReply(
        rank=answer.rank, incarnation=answer.incarnation, term=answer.term
    )
    if isinstance(answer, Refused):
        reply.asked_term = answer.asked_term
        reply.code = int(answer.code)
    elif isinstance(answer, Told):
        reply.told.CopyFrom(_to_wire_told(answer))
    else:
        reply.window.CopyFrom(_to_wire_window(answer.window))
    return reply


def from_wire_answer(reply: steps_pb2.StepReply, request: Request) -> Answer:
    """Read the answer to a request out of its message."""
    rank, incarnation, term = reply.rank, reply.incarnation, reply.term
    if reply.code:
        return Refused(rank, incarnation, term, reply.asked_term, Code(reply.code))
    if isinstance(request, Ask):
        told = reply.told
        engine = _from_wire_engine(told.engine)
        accepted = _from_wire_proposal(told)
        return Told(rank, incarnation, term, told.number, engine, accepted)
    kind = Accepted if isinstance(request, Propose) else Committed
    return kind(rank, incarnation, term, _from_wire_window(reply.window))


def _to_wire_told(told: Told) -> steps_pb2.ToldReply:
    engine = told.engine
    reply = steps_pb2.ToldReply(
        number=told.number,
        engine=steps_pb2.EngineState(
            epoch=engine.epoch,
            step=engine.step,
            weights=sorted(engine.weights),
            compute_ms=engine.compute_ms,
        ),
    )
    if engine.granted is not None:
        reply.engine.granted.CopyFrom(_to_wire_window(engine.granted))
    if told.accepted is not None:
        reply.accepted.CopyFrom(_to_wire_window(told.accepted.window))
        reply.accepted_term = told.accepted.term
    return reply


def _from_wire_engine(message: steps_pb2.EngineState) -> EngineState:
    granted = message.granted if message.HasField("granted") else None
    return EngineState(
        message.epoch,
        message.step,
        None if granted is None else _from_wire_window(granted),
        frozenset(message.weights),
        message.compute_ms,
    )


def _from_wire_proposal(told: steps_pb2.ToldReply) -> Proposal | None:
    if not told.HasField("accepted"):
        return None
    return Proposal(told.accepted_term, _from_wire_window(told.accepted))


def _to_wire_window(window: Window) -> steps_pb2.Window:
    return steps_pb2.Window(
        start=window.start, end=window.end, map_version=window.map_version
    )


def _from_wire_window(message: steps_pb2.Window) -> Window:
    return Window(message.start, message.end, message.map_version)
