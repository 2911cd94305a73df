"""Capacity of configuration: time to be in force, and an outage of the service."""

from fuchsiahatch_bench.expected_sizes import CONTROL, SERVICE, SIZE
from fuchsiahatch_bench.projection import Row, Slopes, table

_VOTERS = SIZE.entries / SIZE.regions


def changes_table(slopes: Slopes) -> str:
    """Return the table of changes, and of one entry while the service is down."""
    return table(
        [
            Row(
                f"accepted, worst, {slopes.values['config_entries']:.0f} entries",
                slopes.values["config_accepted_worst_ms"],
                "ms",
                SIZE.in_force_ms,
                "measured at that size only, one region, no network delay",
            ),
            Row(
                "service down: bytes of one entry, all of its region vote",
                slopes.lines["config_outage_payload_bytes"].at(_VOTERS),
                "B/s",
                CONTROL.wire_bytes_per_s,
                "`outage_payload_bytes` by entries of a region; bodies only",
            ),
            Row(
                "service down: calls that all entries try",
                slopes.values["config_outage_calls_per_s"] * SIZE.entries,
                "/s",
                SERVICE.reads_per_s,
                "calls of one entry in the largest fleet that was cut off",
            ),
        ]
    )
