"""Capacity of an entry's control: as built, and as planned."""

import dataclasses

from fuchsiahatch_bench.capacity_plan import FOLLOWERS, PLAN
from fuchsiahatch_bench.expected_sizes import CONTROL, SIZE
from fuchsiahatch_bench.projection import Row, Slopes, grid, shown, table, total
from fuchsiahatch_core.defaults import HEARTBEAT_MS

_WATCHERS = (2, 3, 5)
_REPORT_PAUSES_S = (1, 2, 5, 10)
_HEARTBEAT_S = HEARTBEAT_MS / 1_000


def entry_today(slopes: Slopes) -> str:
    """Return the entry's table with every mechanism as it is built."""
    document = slopes.lines["record_bytes"].at(SIZE.teams)
    list_bytes = slopes.lines["host_list_bytes"].at(SIZE.hosts)
    redecode_ms = slopes.lines["record_redecode_ms"].at(SIZE.teams)
    wire = [
        *_common_wire(slopes, SIZE.upstreams, _HEARTBEAT_S, _HEARTBEAT_S, _HEARTBEAT_S),
        *_change_wire(slopes, document, SIZE.changes_per_s),
        _bytes(
            "host list, whole, each poll",
            list_bytes / _HEARTBEAT_S,
            "`host_list_bytes` by hosts; no headers",
        ),
    ]
    cpu = [
        *_common_cpu(slopes, SIZE.upstreams, _HEARTBEAT_S),
        _ms(
            "decoding the records after each change",
            redecode_ms * SIZE.changes_per_s,
            "`record_redecode_ms` by teams",
        ),
    ]
    return _role_table(wire, cpu, _memory(slopes, SIZE.upstreams, SIZE.teams))


def entry_planned(slopes: Slopes) -> str:
    """Return the entry's table with subsets, segments and longer pauses."""
    redecode_ms = slopes.lines["record_redecode_ms"].at(PLAN.segment_teams)
    cpu = [
        *_common_cpu(slopes, PLAN.watched, PLAN.report_pause_s),
        _ms(
            "decoding changed segments",
            redecode_ms * PLAN.changes_per_s,
            "`record_redecode_ms` by teams of a segment",
        ),
    ]
    teams = PLAN.segment_teams * PLAN.segments
    memory = _memory(slopes, PLAN.watched, teams)
    return _role_table(_planned_wire(slopes), cpu, memory)


def entry_levers(slopes: Slopes) -> str:
    """Return what changes as single records would save."""
    planned = _planned_wire(slopes)
    documents = _planned_changes(slopes)
    kept = [row for row in planned if row not in documents]
    records = [
        dataclasses.replace(
            row,
            what=row.what.replace("whole documents", "single records"),
            value=row.value * slopes.per("record_bytes") / _segment_bytes(slopes),
        )
        for row in documents
    ]
    budget = CONTROL.wire_bytes_per_s
    return table(
        [
            total("**as planned**", planned, budget),
            *records,
            total("**with single records**", [*kept, *records], budget),
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


def _planned_wire(slopes: Slopes) -> list[Row]:
    return [
        *_common_wire(
            slopes,
            PLAN.watched,
            PLAN.report_pause_s,
            PLAN.beat_pause_s,
            PLAN.confirm_pause_s,
        ),
        *_planned_changes(slopes),
        _bytes(
            "host list, changed rows only",
            slopes.per("host_list_bytes") * SIZE.host_changes_per_s,
            "`host_list_bytes` by rows that change",
        ),
    ]


def _planned_changes(slopes: Slopes) -> list[Row]:
    return _change_wire(slopes, _segment_bytes(slopes), PLAN.changes_per_s)


def _segment_bytes(slopes: Slopes) -> float:
    return slopes.lines["record_bytes"].at(PLAN.segment_teams)


def _common_wire(
    slopes: Slopes,
    watched: int,
    report_pause_s: float,
    beat_pause_s: float,
    confirm_pause_s: float,
) -> list[Row]:
    return [
        _bytes(
            f"reports of {watched:,} agents",
            slopes.per("reports_wire_bytes_per_s") * watched / report_pause_s,
            f"slope by agents, a report each {report_pause_s:g} s",
        ),
        _bytes(
            f"{FOLLOWERS:.0f} agents that follow this entry",
            slopes.per("follow_wire_bytes_per_s") * FOLLOWERS,
            "`follow_wire_bytes_per_s` by agents, nothing new",
        ),
        _bytes(
            f"heartbeats of entries, each {beat_pause_s:g} s",
            slopes.values["beats_wire_bytes_per_s"] * _HEARTBEAT_S / beat_pause_s,
            "the largest measured fleet; fan-out and size are fixed",
        ),
        _bytes(
            f"confirming all revisions each {confirm_pause_s:g} s",
            slopes.values["confirm_wire_bytes"] / confirm_pause_s,
            "`confirm_wire_bytes`",
        ),
    ]


def _change_wire(slopes: Slopes, document: float, changes_per_s: float) -> list[Row]:
    return [
        _bytes(
            "changes, whole documents, from the service or an entry",
            slopes.lines["read_wire_bytes"].at(document) * changes_per_s,
            "`record_bytes` by teams, `read_wire_bytes`",
        ),
        _bytes(
            "changes, whole documents, to the agents that follow",
            document * changes_per_s * FOLLOWERS,
            "`record_bytes` by teams; no headers",
        ),
    ]


def _common_cpu(slopes: Slopes, watched: int, report_pause_s: float) -> list[Row]:
    reports_per_s = _HEARTBEAT_S / report_pause_s
    return [
        _ms(
            "entries, service and host list, without agents",
            slopes.values["beats_ms_per_s"],
            "the largest measured fleet, each 1 s",
        ),
        _ms(
            f"watching {watched:,} agents",
            slopes.per("entry_watch_ms_per_s") * watched * reports_per_s,
            "`entry_watch_ms_per_s` by agents, by reports a second",
        ),
    ]


def _memory(slopes: Slopes, watched: int, teams: float) -> list[Row]:
    return [
        Row(
            f"process and {watched:,} watched agents",
            slopes.lines["entry_watch_rss_bytes"].at(watched),
            "B",
            None,
            "`entry_watch_rss_bytes` by agents",
        ),
        Row(
            f"records of {teams:,.0f} teams",
            slopes.lines["record_memory_bytes"].at(teams),
            "B",
            None,
            "`record_memory_bytes` by teams",
        ),
    ]


def _role_table(wire: list[Row], cpu: list[Row], memory: list[Row]) -> str:
    return table(
        [
            *wire,
            total("**on the wire**", wire, CONTROL.wire_bytes_per_s),
            *cpu,
            total("**processor**", cpu, CONTROL.cpu_ms_per_s),
            *memory,
            total("**memory**", memory, CONTROL.memory_bytes),
        ]
    )


def _bytes(what: str, value: float, basis: str) -> Row:
    return Row(what, value, "B/s", None, basis)


def _ms(what: str, value: float, basis: str) -> Row:
    return Row(what, value, "ms/s", None, basis)


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
