"""Capacity of an agent's control and of the operators' command."""

import itertools

from fuchsiahatch_bench.capacity_plan import PLAN
from fuchsiahatch_bench.expected_sizes import CONTROL, SIZE
from fuchsiahatch_bench.projection import Row, Slopes, table, total
from fuchsiahatch_daemon.following import LIST_MS


def agent_table(slopes: Slopes) -> str:
    """Return the agent's table, as built and as planned."""
    return table(
        itertools.chain(
            _as_built(slopes),
            _as_planned(slopes),
            [
                Row(
                    "memory of the idle process",
                    slopes.values["agent_idle_rss_bytes"],
                    "B",
                    CONTROL.memory_bytes,
                    "measured",
                )
            ],
        )
    )


def _as_built(slopes: Slopes) -> list[Row]:
    document = slopes.lines["record_bytes"].at(SIZE.teams)
    list_bytes = slopes.lines["host_list_bytes"].at(SIZE.hosts)
    wire = [
        _reports(slopes, SIZE.entries, 1),
        _following(slopes),
        _changes(document, SIZE.changes_per_s),
        Row(
            f"host list, whole, each {LIST_MS // 1_000} s",
            list_bytes * 1_000 / LIST_MS,
            "B/s",
            None,
            "`host_list_bytes` by hosts; no headers",
        ),
    ]
    return [
        *wire,
        total("**as built, on the wire**", wire, CONTROL.wire_bytes_per_s),
        _processor(slopes, "**as built, processor**", SIZE.entries, 1),
    ]


def _as_planned(slopes: Slopes) -> list[Row]:
    segment = slopes.lines["record_bytes"].at(PLAN.segment_teams)
    wire = [
        _reports(slopes, PLAN.watchers, PLAN.report_pause_s),
        _following(slopes),
        _changes(segment, SIZE.changes_per_s / SIZE.models),
    ]
    budget = CONTROL.wire_bytes_per_s
    return [
        *wire,
        total("**as planned, on the wire**", wire, budget),
        _processor(
            slopes, "**as planned, processor**", PLAN.watchers, PLAN.report_pause_s
        ),
    ]


def command_table(slopes: Slopes) -> str:
    """Return the table of the operators' command."""
    return table(
        [
            Row(
                "processor time of one use",
                slopes.values["command_cpu_ms"],
                "ms",
                None,
                "measured, start of the interpreter included",
            ),
            Row(
                "memory of one use",
                slopes.values["command_rss_bytes"],
                "B",
                CONTROL.memory_bytes,
                "measured",
            ),
            Row(
                "changes at the mean rate", SIZE.changes_per_s, "/s", None, "arithmetic"
            ),
            Row(
                "whole records, read and written for one change",
                2 * slopes.lines["record_bytes"].at(SIZE.teams),
                "B",
                None,
                "`record_bytes`; one segment for all teams",
            ),
            Row(
                "the same with a segment for each model",
                2 * slopes.lines["record_bytes"].at(PLAN.segment_teams),
                "B",
                None,
                "`record_bytes`",
            ),
        ]
    )


def _reports(slopes: Slopes, watchers: int, pause_s: float) -> Row:
    return Row(
        f"reports to {watchers} entries, each {pause_s:g} s",
        slopes.per("reports_wire_bytes_per_s") * watchers / pause_s,
        "B/s",
        None,
        "`reports_wire_bytes_per_s`",
    )


def _following(slopes: Slopes) -> Row:
    return Row(
        "following one entry, nothing new",
        slopes.per("follow_wire_bytes_per_s"),
        "B/s",
        None,
        "`follow_wire_bytes_per_s`",
    )


def _changes(document_bytes: float, changes_per_s: float) -> Row:
    return Row(
        "changes, whole documents",
        document_bytes * changes_per_s,
        "B/s",
        None,
        "`record_bytes` by teams; no headers",
    )


def _processor(slopes: Slopes, what: str, watchers: int, pause_s: float) -> Row:
    return Row(
        what,
        slopes.per("agents_report_ms_per_s") * watchers / pause_s,
        "ms/s",
        CONTROL.cpu_ms_per_s,
        "`agents_report_ms_per_s`; decoding not counted",
    )
