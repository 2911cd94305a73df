"""What failures of the expected size touch."""

from fuchsiahatch_bench.capacity_plan import PLAN
from fuchsiahatch_bench.expected_sizes import SIZE
from fuchsiahatch_bench.projection import Row, Slopes, grid, shown, table
from fuchsiahatch_core.defaults import LOOKUP_KEEP_MS, SUSPECT_AFTER_MS

_S_PER_DAY = 86_400
#: Hosts of one rack; the letter does not say, so this is an assumption.
RACK_HOSTS = 40


def failures_table(slopes: Slopes) -> str:
    """Return what each kind of failure touches at once."""
    heads = (
        "Failure",
        "Entries gone",
        "Upstreams gone",
        "Answers open there",
        "Upstreams left take",
    )
    entry_ratio = SIZE.entries / SIZE.hosts
    rack_entries = RACK_HOSTS * entry_ratio
    rows = (
        ("one entry", 1.0, 0.0),
        ("one upstream", 0.0, 1.0),
        (f"a rack of {RACK_HOSTS} (assumed)", rack_entries, RACK_HOSTS - rack_entries),
        (
            "an availability zone",
            SIZE.entries / SIZE.zones,
            SIZE.upstreams / SIZE.zones,
        ),
        ("a region", SIZE.entries / SIZE.regions, SIZE.upstreams / SIZE.regions),
    )
    return grid(heads, (_failure_cells(*row) for row in rows))


def rates_table(slopes: Slopes) -> str:
    """Return how often hosts come and go, and what each costs."""
    segment_bytes = slopes.lines["record_bytes"].at(PLAN.segment_teams)
    start_bytes = slopes.lines["read_wire_bytes"].at(segment_bytes) * PLAN.segments
    list_bytes = slopes.lines["host_list_bytes"].at(SIZE.hosts)
    return table(
        [
            Row(
                "time between two failures",
                _S_PER_DAY / SIZE.failures_per_day,
                "s",
                None,
                "arithmetic",
            ),
            Row(
                "time between two replacements",
                _S_PER_DAY / SIZE.replacements_per_day,
                "s",
                None,
                "arithmetic",
            ),
            Row(
                "a silent host is given no work after",
                SUSPECT_AFTER_MS,
                "ms",
                None,
                "`SUSPECT_AFTER_MS`; a broken connection tells sooner",
            ),
            Row(
                "a caller may keep a lookup for",
                LOOKUP_KEEP_MS,
                "ms",
                None,
                "`LOOKUP_KEEP_MS`",
            ),
            Row(
                "a new entry reads: records of its segments",
                start_bytes,
                "B",
                None,
                "`record_bytes`, `read_wire_bytes`",
            ),
            Row(
                "a new entry reads: the host list",
                list_bytes,
                "B",
                None,
                "`host_list_bytes`",
            ),
        ]
    )


def _failure_cells(what: str, entries: float, upstreams: float) -> tuple[str, ...]:
    at_entries = SIZE.open_requests * entries / SIZE.entries
    at_upstreams = SIZE.open_requests * upstreams / SIZE.upstreams
    left = SIZE.upstreams / (SIZE.upstreams - upstreams) - 1
    return (
        what,
        shown(entries, ""),
        shown(upstreams, ""),
        f"{shown(at_entries, '')} by entry, {shown(at_upstreams, '')} by upstream",
        f"{left:.1%} more",
    )
