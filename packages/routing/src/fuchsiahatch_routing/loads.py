"""An entry's estimate of the load of each upstream between reports."""

import collections

#: Weight of an entry's own outstanding requests against the upstreams' reports.
OWN_WEIGHT = 0.5


class LoadTable:
    """Combines the upstreams' reports with this entry's requests since then.

    Parameters
    ----------
    own_weight : float
        0 uses the reports alone, 1 this entry's outstanding requests alone.

    Notes
    -----
    Guards against herding: a report is up to a heartbeat old, and all entries
    have the same one, so that by reports alone all send to the same upstream
    until the next. An entry's own outstanding requests are always up to date and
    differ between entries, but are a small sample. They are scaled to what all
    entries have outstanding, and the two estimates are averaged.

    .. versionadded:: 0.1
    """

    __slots__ = (
        "_outstanding",
        "_outstanding_at_report",
        "_own_weight",
        "_reported",
        "_sum_outstanding",
        "_sum_outstanding_at_report",
        "_sum_reported",
    )

    def __init__(self, own_weight: float = OWN_WEIGHT) -> None:
        self._own_weight = own_weight
        self._outstanding: collections.Counter[str] = collections.Counter()
        self._reported: dict[str, int] = {}
        self._outstanding_at_report: dict[str, int] = {}
        self._sum_outstanding = 0
        self._sum_reported = 0
        self._sum_outstanding_at_report = 0

    def __len__(self) -> int:
        return len(self._reported.keys() | self._outstanding.keys())

    def begin(self, host: str) -> None:
        """Count an attempt that is sent to a host."""
        self._outstanding[host] += 1
        self._sum_outstanding += 1

    def end(self, host: str) -> None:
        """Count the end of an attempt at a host."""
        self._outstanding[host] -= 1
        self._sum_outstanding -= 1

    def record_report(self, host: str, load: int) -> None:
        """Store a host's report of its load, running and waiting requests."""
        self._forget_report(host)
        outstanding = self._outstanding[host]
        self._reported[host] = load
        self._outstanding_at_report[host] = outstanding
        self._sum_reported += load
        self._sum_outstanding_at_report += outstanding

    def load_of(self, host: str) -> float:
        """Estimate how many requests run or wait at a host now."""
        outstanding = self._outstanding[host]
        if host not in self._reported:
            return outstanding
        since = outstanding - self._outstanding_at_report[host]
        by_report = max(outstanding, self._reported[host] + since)
        if not self._sum_outstanding:
            return by_report
        scaled = outstanding * self._scale()
        return self._own_weight * scaled + (1 - self._own_weight) * by_report

    def retain(self, hosts: set[str]) -> None:
        """Drop the reports of all hosts but these, and the counts that are zero."""
        for host in self._reported.keys() - hosts:
            self._forget_report(host)
        self._outstanding = +self._outstanding

    def _scale(self) -> float:
        """Return the ratio of the total load to this entry's part of it."""
        if not self._sum_outstanding_at_report:
            return 1.0
        return max(1.0, self._sum_reported / self._sum_outstanding_at_report)

    def _forget_report(self, host: str) -> None:
        self._sum_reported -= self._reported.pop(host, 0)
        self._sum_outstanding_at_report -= self._outstanding_at_report.pop(host, 0)
