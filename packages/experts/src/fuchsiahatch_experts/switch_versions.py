"""Versions of maps: each names its term and its switch's last rank and standby."""

import typing as t

from fuchsiahatch_experts.rank_orders import RankReport

#: The largest group that a version can tell of.
RANKS_PER_VERSION = 256
#: Versions that one term may use, after which its leader makes way. With them a version
#: stays below 2^53 for terms up to thirteen million.
VERSIONS_PER_TERM = 10_000
_VERSIONS_PER_TERM = VERSIONS_PER_TERM * RANKS_PER_VERSION**2


def make_version(term: int, number: int, standby: int, last: int) -> int:
    """Return a version; those of a later term, or a later number, are higher."""
    slot = (number * RANKS_PER_VERSION + standby) * RANKS_PER_VERSION + last
    return term * _VERSIONS_PER_TERM + slot


def last_rank(version: int) -> int:
    """Return the rank that is armed last, and only while all others are."""
    return version % RANKS_PER_VERSION


def standby_rank(version: int) -> int:
    """Return the rank that holds passes for the leader, and takes over from it."""
    return version // RANKS_PER_VERSION % RANKS_PER_VERSION


def newest_version(report: RankReport) -> int:
    """Return the newest version that a rank has prepared or is armed with."""
    armed = 0 if report.armed is None else report.armed.version
    return max(report.prepared, armed)


def is_last_unarmed(reports: t.Collection[RankReport], version: int) -> bool:
    """Return whether the last rank of a switch can't be armed, by all others' word."""
    standby = standby_rank(version)
    return any(
        report.armed is None
        or report.armed.version != version
        or (report.rank == standby and report.uncommitted_version == version)
        for report in reports
    )
