"""Capacity of an entry's control: as built, and as planned."""

import dataclasses

from fuchsiahatch_bench.capacity_plan import PLAN
from fuchsiahatch_bench.expected_sizes import CONTROL, SIZE
from fuchsiahatch_bench.projection import Row, Slopes, grid, shown, table, total
from fuchsiahatch_core.defaults import HEARTBEAT_MS

_WATCHERS = (2, 3, 5)
_REPORT_PAUSES_S = (1, 2, 5, 10)


def entry_today(slopes: Slopes) -> str:
    """Return the entry's table with every mechanism as it is measured."""
    polls_per_s = 1_000 / HEARTBEAT_MS
    document_bytes = slopes.lines["record_bytes"].at(SIZE.teams)
    list_bytes = slopes.lines["host_list_bytes"].at(SIZE.hosts)
    wire = [
        Row(
            "reports of all agents",
            slopes.per("reports_wire_bytes_per_s") * SIZE.upstreams,
            "B/s",
            None,
            "`reports_wire_bytes_per_s` by agents",
        ),
        Row(
            "host list, whole, each poll",
            list_bytes * polls_per_s,
            "B/s",
            None,
            "`host_list_bytes` by hosts; no headers",
        ),
        Row(
            "records, whole, each poll",
            slopes.lines["read_wire_bytes"].at(document_bytes) * polls_per_s,
            "B/s",
            None,
            "`record_bytes` by teams, then `read_wire_bytes`",
        ),
    ]
    decode_ms = slopes.per("record_decode_ms") * SIZE.teams
    cpu = [
        Row(
            "watching all agents",
            slopes.lines["entry_watch_ms_per_s"].at(SIZE.upstreams),
            "ms/s",
            None,
            "`entry_watch_ms_per_s` by agents",
        ),
        Row(
            "decoding the records at each poll",
            decode_ms * polls_per_s,
            "ms/s",
            None,
            "`record_decode_ms` by teams",
        ),
    ]
    memory = [
        Row(
            "process and known agents",
            slopes.lines["entry_watch_rss_bytes"].at(SIZE.upstreams),
            "B",
            None,
            "`entry_watch_rss_bytes` by agents",
        ),
        _records_memory(slopes, SIZE.teams),
    ]
    return table(_with_totals(wire, cpu, memory))


def entry_planned(slopes: Slopes) -> str:
    """Return the entry's table with subsets, segments and slower reports."""
    reports_per_s = 1 / PLAN.report_pause_s
    return table(
        _with_totals(
            _planned_wire(slopes, reports_per_s),
            _planned_cpu(slopes, reports_per_s),
            [
                Row(
                    "process and watched agents",
                    slopes.lines["entry_watch_rss_bytes"].at(PLAN.watched),
                    "B",
                    None,
                    f"`entry_watch_rss_bytes` at {PLAN.watched} agents",
                ),
                _records_memory(slopes, PLAN.segment_teams * PLAN.segments),
            ],
        )
    )


def entry_levers(slopes: Slopes) -> str:
    """Return what would lower the planned bytes of an entry."""
    planned = _planned_wire(slopes, 1 / PLAN.report_pause_s)
    reports, changes, freshness, hosts = planned
    read = slopes.lines["read_wire_bytes"]
    record_bytes = slopes.per("record_bytes")
    deltas = dataclasses.replace(
        changes,
        what="changes as single records",
        value=read.at(record_bytes) * PLAN.segment_changes_per_s * PLAN.segments,
        basis="`record_bytes` by teams, `read_wire_bytes`",
    )
    one_read = dataclasses.replace(
        freshness,
        what="freshness, one key for the revisions of all segments",
        value=freshness.value / PLAN.segments,
    )
    budget = CONTROL.wire_bytes_per_s
    return table(
        [
            total("**as planned**", planned, budget),
            deltas,
            total(
                "**with single records**", (reports, deltas, freshness, hosts), budget
            ),
            one_read,
            total("**with both**", (reports, deltas, one_read, hosts), budget),
        ]
    )


def entry_grid(slopes: Slopes) -> str:
    """Return the cost of reports for each number of watchers and each pause."""
    heads = ("Entries that watch an agent", "Agents watched by an entry")
    pauses = tuple(f"A report each {pause} s" for pause in _REPORT_PAUSES_S)
    rows = (
        (str(watchers), str(_watched(watchers)), *_grid_cells(slopes, watchers))
        for watchers in _WATCHERS
    )
    return grid((*heads, *pauses), rows)


def _planned_wire(slopes: Slopes, reports_per_s: float) -> list[Row]:
    segment_bytes = slopes.lines["record_bytes"].at(PLAN.segment_teams)
    read = slopes.lines["read_wire_bytes"]
    return [
        Row(
            f"reports of {PLAN.watched} agents",
            slopes.per("reports_wire_bytes_per_s") * PLAN.watched * reports_per_s,
            "B/s",
            None,
            f"slope by agents, a report each {PLAN.report_pause_s} s",
        ),
        Row(
            f"changes of {PLAN.segments} segments, whole documents",
            read.at(segment_bytes) * PLAN.segment_changes_per_s * PLAN.segments,
            "B/s",
            None,
            "`record_bytes`, `read_wire_bytes`",
        ),
        Row(
            f"freshness, an empty read each {PLAN.freshness_pause_s:g} s a segment",
            read.at(0) / PLAN.freshness_pause_s * PLAN.segments,
            "B/s",
            None,
            "`read_wire_bytes` at 0",
        ),
        Row(
            "host list, changed rows only",
            slopes.per("host_list_bytes") * SIZE.host_changes_per_s,
            "B/s",
            None,
            "`host_list_bytes` by rows that change",
        ),
    ]


def _planned_cpu(slopes: Slopes, reports_per_s: float) -> list[Row]:
    decode_ms = slopes.per("record_decode_ms") * PLAN.segment_teams
    return [
        Row(
            "idle process, with today's polls of both services",
            slopes.lines["entry_watch_ms_per_s"].intercept,
            "ms/s",
            None,
            "intercept of `entry_watch_ms_per_s`",
        ),
        Row(
            "reports",
            slopes.per("entry_watch_ms_per_s") * PLAN.watched * reports_per_s,
            "ms/s",
            None,
            "slope, by reports a second",
        ),
        Row(
            "decoding changed segments",
            decode_ms * PLAN.segment_changes_per_s * PLAN.segments,
            "ms/s",
            None,
            "`record_decode_ms`",
        ),
        Row(
            "freshness reads",
            slopes.lines["read_ms"].at(0) / PLAN.freshness_pause_s * PLAN.segments,
            "ms/s",
            None,
            "`read_ms` at 0",
        ),
    ]


def _records_memory(slopes: Slopes, teams: float) -> Row:
    return Row(
        f"records of {teams:,.0f} teams",
        slopes.lines["record_memory_bytes"].at(teams),
        "B",
        None,
        "`record_memory_bytes` by teams",
    )


def _with_totals(wire: list[Row], cpu: list[Row], memory: list[Row]) -> list[Row]:
    return [
        *wire,
        total("**on the wire**", wire, CONTROL.wire_bytes_per_s),
        *cpu,
        total("**processor**", cpu, CONTROL.cpu_ms_per_s),
        *memory,
        total("**memory**", memory, CONTROL.memory_bytes),
    ]


def _watched(watchers: int) -> int:
    return dataclasses.replace(PLAN, watchers=watchers).watched


def _grid_cells(slopes: Slopes, watchers: int) -> list[str]:
    watched = _watched(watchers)
    whole = slopes.per("reports_wire_bytes_per_s") * watched
    rates = (whole / pause for pause in _REPORT_PAUSES_S)
    return [
        f"{shown(rate, 'B/s')}{' (over)' if rate > CONTROL.wire_bytes_per_s else ''}"
        for rate in rates
    ]
