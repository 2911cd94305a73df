"""Map versions: each encodes its term and the last rank and standby of its switch."""

import typing as t

from fuchsiahatch_experts.rank_orders import RankReport

#: Size of the largest group whose ranks a version can encode.
MAX_RANKS = 256
#: Versions available to one term, after which its leader steps down. With this number
#: a version stays below 2^53 for terms up to thirteen million.
VERSIONS_PER_TERM = 10_000
_TERM_STRIDE = VERSIONS_PER_TERM * MAX_RANKS**2


def make_version(term: int, number: int, standby: int, last: int) -> int:
    """Return a version; versions of a later term or a later number are higher."""
    offset = (number * MAX_RANKS + standby) * MAX_RANKS + last
    return term * _TERM_STRIDE + offset


def last_rank(version: int) -> int:
    """Return the rank that is armed last, after all other ranks are armed."""
    return version % MAX_RANKS


def standby_rank(version: int) -> int:
    """Return the rank that holds passes and takes over if the leader fails."""
    return version // MAX_RANKS % MAX_RANKS


def newest_version(report: RankReport) -> int:
    """Return the newest version that a rank has prepared or is armed with."""
    armed = 0 if report.armed is None else report.armed.version
    return max(report.prepared, armed)


def is_last_unarmed(reports: t.Collection[RankReport], version: int) -> bool:
    """Return whether the other ranks' reports rule out that the last one is armed."""
    standby = standby_rank(version)
    return any(
        report.armed is None
        or report.armed.version != version
        or (report.rank == standby and report.uncommitted_version == version)
        for report in reports
    )
