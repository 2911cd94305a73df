"""Capacity of the key-value service: its calls and the sizes of its values."""

from fuchsiahatch_bench.capacity_plan import PLAN
from fuchsiahatch_bench.expected_sizes import SERVICE, SIZE
from fuchsiahatch_bench.projection import Row, Slopes, table
from fuchsiahatch_daemon.configuration import WATCHERS_PER_REGION


def service_table(slopes: Slopes) -> str:
    """Return the table of the key-value service's calls and values."""
    calls_per_s = slopes.values["service_calls_per_s"]
    watches = WATCHERS_PER_REGION * SIZE.regions * SIZE.models
    return table(
        [
            Row(
                "reads: every entry confirms, as measured",
                SIZE.entries * calls_per_s,
                "/s",
                SERVICE.reads_per_s,
                "`service_calls_per_s` by entries; one call for all its segments",
            ),
            Row(
                f"reads: the same each {PLAN.confirm_pause_s:g} s",
                SIZE.entries / PLAN.confirm_pause_s,
                "/s",
                SERVICE.reads_per_s,
                "arithmetic",
            ),
            Row(
                f"waiting watches, {WATCHERS_PER_REGION} entries a region and segment",
                watches,
                "calls open",
                None,
                "arithmetic; each counts as a call while it waits",
            ),
            Row(
                "waiting watches, every entry one",
                SIZE.entries * slopes.values["watches_waiting"],
                "calls open",
                None,
                "measured after a start, before the first change",
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
