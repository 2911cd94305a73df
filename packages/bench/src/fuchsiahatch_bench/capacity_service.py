"""Capacity of the key-value service: its calls and the sizes of its values."""

from fuchsiahatch_bench.capacity_plan import PLAN
from fuchsiahatch_bench.expected_sizes import SERVICE, SIZE
from fuchsiahatch_bench.projection import Row, Slopes, table
from fuchsiahatch_core.defaults import FRESH_MS, HEARTBEAT_MS


def service_table(slopes: Slopes) -> str:
    """Return the table of the key-value service's calls and values."""
    polls_per_s = 1_000 / HEARTBEAT_MS
    confirms_per_s = SIZE.entries / PLAN.freshness_pause_s
    watches = SIZE.entries * PLAN.segments
    return table(
        [
            Row(
                "reads, each entry polls one key",
                SIZE.entries * polls_per_s,
                "/s",
                SERVICE.reads_per_s,
                "arithmetic from the poll's pause",
            ),
            Row(
                f"reads, each entry polls {SIZE.models} segments",
                SIZE.entries * SIZE.models * polls_per_s,
                "/s",
                SERVICE.reads_per_s,
                "arithmetic",
            ),
            Row(
                f"reads, {PLAN.segments} segments confirmed twice in {FRESH_MS} ms",
                confirms_per_s * PLAN.segments,
                "/s",
                SERVICE.reads_per_s,
                "arithmetic",
            ),
            Row(
                "waiting watches, every entry on its segments",
                watches,
                "calls open",
                None,
                "arithmetic; each counts as a call while it waits",
            ),
            Row(
                "writes for changes",
                SIZE.changes_per_s,
                "/s",
                SERVICE.writes_per_s,
                "arithmetic, without conflicts",
            ),
            Row(
                "writes if every request bound its key there",
                SIZE.requests_per_s,
                "/s",
                SERVICE.writes_per_s,
                "arithmetic; why tickets come first",
            ),
            Row(
                "value of one segment for all teams",
                slopes.lines["record_bytes"].at(SIZE.teams),
                "B",
                SERVICE.value_bytes,
                "`record_bytes` by teams, without history",
            ),
            Row(
                "value of one segment for each model",
                slopes.lines["record_bytes"].at(PLAN.segment_teams),
                "B",
                SERVICE.value_bytes,
                "`record_bytes`, without history",
            ),
        ]
    )
