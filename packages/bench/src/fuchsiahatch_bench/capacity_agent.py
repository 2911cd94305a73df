"""Capacity of an agent's control and of the operators' command."""

import itertools

from fuchsiahatch_bench.capacity_plan import PLAN
from fuchsiahatch_bench.expected_sizes import CONTROL, SIZE
from fuchsiahatch_bench.projection import Row, Slopes, table


def agent_table(slopes: Slopes) -> str:
    """Return the agent's table, today and as planned."""
    return table(
        itertools.chain(
            _agent_rows(slopes, "all entries watch it", SIZE.entries, 1),
            _agent_rows(
                slopes,
                f"{PLAN.watchers} entries watch it",
                PLAN.watchers,
                PLAN.report_pause_s,
            ),
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


def _agent_rows(slopes: Slopes, when: str, watchers: int, pause_s: int) -> list[Row]:
    return [
        Row(
            f"reports on the wire, {when}",
            slopes.per("reports_wire_bytes_per_s") * watchers / pause_s,
            "B/s",
            CONTROL.wire_bytes_per_s,
            f"slope by watchers, a report each {pause_s} s",
        ),
        Row(
            f"processor, {when}",
            slopes.per("agents_report_ms_per_s") * watchers / pause_s,
            "ms/s",
            CONTROL.cpu_ms_per_s,
            "`agents_report_ms_per_s`",
        ),
    ]
