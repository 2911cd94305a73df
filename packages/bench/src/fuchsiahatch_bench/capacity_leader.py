"""Capacity of step grants: the leader of a rank group, and one of its ranks."""

from fuchsiahatch_bench.expected_sizes import CONTROL, SIZE
from fuchsiahatch_bench.projection import Row, Slopes, table, total
from fuchsiahatch_core.settings import load_schema

#: Time of one step; the brief says a few milliseconds or more.
STEP_MS = 5
_FAN_OUT = 8
_SLOW_QUESTION_MS = 3_000
_LONG_WINDOW_STEPS = 2_048
_CALLS_A_WINDOW = 2
_MS_PER_S = 1_000


def leader_table(slopes: Slopes) -> str:
    """Return the leader's and a rank's table, as built and with a tree."""
    question_ms, window_steps = _default("heartbeat_ms"), _default("window_steps")
    others = SIZE.ranks - 1
    slow = (_SLOW_QUESTION_MS, _LONG_WINDOW_STEPS)
    return table(
        [
            *call_rows(slopes, "leader, as built", others, question_ms, window_steps),
            *call_rows(slopes, "a rank, as built", 1, question_ms, window_steps),
            *call_rows(slopes, "leader, slower", others, *slow),
            *call_rows(slopes, f"in a tree of {_FAN_OUT}, slower", _FAN_OUT + 1, *slow),
        ]
    )


def call_rows(
    slopes: Slopes, who: str, peers: int, question_ms: int, window_steps: int
) -> list[Row]:
    """Return what one agent's calls to and from its peers cost.

    Parameters
    ----------
    slopes : Slopes
    who : str
        Named in each row.
    peers : int
        Agents that it speaks with.
    question_ms : int
        Time between two questions to a peer.
    window_steps : int
    """
    questions_per_s = peers * _MS_PER_S / question_ms
    windows_per_s = _MS_PER_S / (window_steps * STEP_MS)
    window_calls_per_s = peers * _CALLS_A_WINDOW * windows_per_s
    wire = [
        Row(
            f"{who}: a question each {question_ms:,} ms, peers: {peers}",
            questions_per_s * slopes.values["step_ask_wire_bytes"],
            "B/s",
            None,
            "`step_ask_wire_bytes`",
        ),
        Row(
            f"{who}: windows of {window_steps:,} steps of {STEP_MS} ms",
            window_calls_per_s * slopes.values["step_window_wire_bytes"],
            "B/s",
            None,
            "`step_window_wire_bytes`, proposed and committed",
        ),
    ]
    # Caller and rank ran in one process, so one end is taken for a half.
    ask_ms = slopes.values["step_ask_ms"] / 2
    window_ms = slopes.values["step_window_ms"] / 2
    return [
        *wire,
        total(f"**{who}: on the wire**", wire, CONTROL.wire_bytes_per_s),
        Row(
            f"**{who}: processor**",
            questions_per_s * ask_ms + window_calls_per_s * window_ms,
            "ms/s",
            CONTROL.cpu_ms_per_s,
            "half of `step_ask_ms` and `step_window_ms`",
        ),
    ]


def _default(name: str) -> int:
    schema = load_schema("fuchsiahatch_daemon", "settings_schema.json")
    return schema["properties"]["group"]["properties"][name]["default"]
