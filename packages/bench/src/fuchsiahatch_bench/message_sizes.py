"""Encoded sizes of the messages that recur, filled with typical values."""

from fuchsiahatch_core.identities import new_incarnation
from fuchsiahatch_wire import attempts_pb2, peers_pb2

_HOST = "engine-north-a-0042"
_TOKEN_EVENT = (
    b'data: {"model": "booking-assistant", "choices": [{"index": 0, '
    b'"delta": {"content": "front "}}]}\n\n'
)
_DIGEST_BYTES = 16


def measure_messages() -> dict[str, int]:
    """Return encoded bytes by the message's name."""
    incarnation = new_incarnation()
    attempt = attempts_pb2.AttemptId(
        entry="entry-north-a-12", incarnation=incarnation, counter=1_000_000
    )
    load = attempts_pb2.LoadReport(in_flight=30, queued=4, limit=32)
    report = attempts_pb2.AgentReport(
        host=_HOST, incarnation=incarnation, load=load, revision=1_000_000
    )
    end = attempts_pb2.End(length_bytes=50_000, digest=bytes(_DIGEST_BYTES), load=load)
    beat = peers_pb2.Beat(
        host="entry-north-a-12",
        incarnation=incarnation,
        number=1_000_000,
        age_ms=2_000,
        revision=1_000_000,
        roster_revision=1_000,
        open_requests=250,
    )
    messages = {
        "beat": beat,
        "agent_report": report,
        "token_frame": attempts_pb2.Frame(attempt=attempt, chunk=_TOKEN_EVENT),
        "end_frame": attempts_pb2.Frame(attempt=attempt, end=end),
    }
    sizes = {name: message.ByteSize() for name, message in messages.items()}
    return {**sizes, "token_event": len(_TOKEN_EVENT)}
